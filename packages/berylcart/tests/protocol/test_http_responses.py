"""Test that responses are separated and incomplete ones are detected."""

import pytest
from berylcart.protocol.http_responses import (
    MAX_HEAD_BYTES,
    AnswerError,
    ResponseEnd,
    ResponseHead,
    ResponseParser,
)

from ..invalid_responses import INVALID_RESPONSES

WITH_LENGTH = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nab"
CHUNKED = (
    b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
    b"1\r\na\r\n1\r\nb\r\n0\r\nx: y\r\n\r\n"
)
CLOSE_DELIMITED = b"HTTP/1.1 200 OK\r\n\r\nab"


def parse(parser, data=b"", step=1):
    """Feed bytes in chunks of step bytes and return the parsed parts."""
    for start in range(0, len(data), step):
        parser.feed(data[start : start + step])
    parts = []
    while (part := parser.next_part()) is not None:
        parts.append(part)
    return parts


def body_of(parts):
    return b"".join(part for part in parts if isinstance(part, bytes))


@pytest.mark.parametrize("data", [WITH_LENGTH, CHUNKED])
@pytest.mark.parametrize("step", [1, 5, 1000])
def test_responses_on_a_persistent_connection(data, step):
    parser = ResponseParser()
    for _ in range(2):
        parts = parse(parser, data, step)
        assert parts[0].status == 200
        assert body_of(parts) == b"ab"
        assert parts[-1] == ResponseEnd()
        assert parser.is_reusable


def test_informational_response_is_skipped():
    parts = parse(
        ResponseParser(), b"HTTP/1.1 100 Continue\r\n\r\n" + WITH_LENGTH
    )
    assert [p.status for p in parts if isinstance(p, ResponseHead)] == [200]


def test_response_without_length_ends_with_the_connection():
    parser = ResponseParser()
    assert ResponseEnd() not in parse(parser, CLOSE_DELIMITED)
    parser.feed_eof()
    assert parse(parser) == [ResponseEnd()]
    assert not parser.is_reusable


@pytest.mark.parametrize(
    "data", [b"", WITH_LENGTH[:-1], CHUNKED[:-2], WITH_LENGTH]
)
def test_end_of_connection_does_not_complete_a_framed_response(data):
    parser = ResponseParser()
    parse(parser, data)
    with pytest.raises(ConnectionResetError):
        parser.feed_eof()


def test_unsolicited_second_response_prevents_reuse():
    parser = ResponseParser()
    parts = parse(parser, WITH_LENGTH + WITH_LENGTH[:10], 1000)
    assert parts[-1] == ResponseEnd()
    assert not parser.is_reusable


def test_response_before_garbage_is_complete():
    parser = ResponseParser()
    parser.feed(WITH_LENGTH + b"\x00garbage")
    assert isinstance(parser.next_part(), ResponseHead)
    assert parser.next_part() == b"ab"
    assert parser.next_part() == ResponseEnd()
    assert not parser.is_reusable


@pytest.mark.parametrize(
    "data",
    [
        b"\x00\xff",
        b"HTTP/1.1 2x0 OK\r\n\r\n",
        b"HTTP/1.1 200 OK\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\n",
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nz\r\n",
        b"HTTP/1.1 200 OK\r\nX: " + b"x" * MAX_HEAD_BYTES,
    ],
)
def test_invalid_response_raises(data):
    with pytest.raises(AnswerError):
        parse(ResponseParser(), data, len(data))


def test_connection_close_header_prevents_reuse():
    parser = ResponseParser()
    parse(
        parser, WITH_LENGTH.replace(b"OK\r\n", b"OK\r\nConnection: close\r\n")
    )
    assert not parser.is_reusable


def test_response_to_a_head_request_has_no_body():
    parser = ResponseParser(is_response_to_head=True)
    parts = parse(parser, WITH_LENGTH[:-2], 1000)
    assert parts[-1] == ResponseEnd()
    assert not parser.is_reusable


CHUNKED_HEAD = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"


@pytest.mark.parametrize("step", [1, 700, 2**16])
@pytest.mark.parametrize(
    ("start", "unit"),
    [
        (b"", b"\r\n"),
        (b"", b"HTTP/1.1 102 Processing\r\n\r\n"),
        (b"HTTP/1.1 200 ", b"x"),
        (b"HTTP/1.1 200 OK\r\nx: ", b"x"),
        (b"HTTP/1.1 200 OK\r\n", b"x: y\r\n"),
        (CHUNKED_HEAD, b"0"),
        (CHUNKED_HEAD + b"1;a=", b"x"),
        (CHUNKED_HEAD + b"0\r\nx: ", b"y"),
        (CHUNKED_HEAD + b"0\r\n", b"x: y\r\n"),
    ],
)
def test_unbounded_head_or_framing_raises(start, unit, step):
    parser = ResponseParser()
    parse(parser, start, 1000)
    count = 2 * MAX_HEAD_BYTES // len(unit) + 1
    with pytest.raises(AnswerError):
        parse(parser, unit * count, step)


def test_many_small_chunks_are_accepted():
    chunk = b"1;name=value\r\na\r\n"
    count = 2 * MAX_HEAD_BYTES // len(chunk)
    data = (
        CHUNKED_HEAD + count * chunk + b"0\r\n" + 100 * b"x: y\r\n" + b"\r\n"
    )
    parts = parse(ResponseParser(), data, 50)
    assert body_of(parts) == b"a" * count
    assert parts[-1] == ResponseEnd()


def test_several_informational_responses_are_skipped():
    parts = parse(
        ResponseParser(), 9 * b"HTTP/1.1 103 Hints\r\n\r\n" + WITH_LENGTH
    )
    assert [p.status for p in parts if isinstance(p, ResponseHead)] == [200]


def test_unsolicited_upgrade_raises():
    # HttpParserUpgrade is not an HttpParserError; uncaught, it ended the task
    # that read the connection.
    head = b"HTTP/1.1 101 Switching\r\nConnection: upgrade\r\nUpgrade: x\r\n"
    with pytest.raises(AnswerError):
        parse(ResponseParser(), head + b"\r\nbytes", 1000)


HEAD_END = b"\r\n\r\n"
CUT_RESPONSES = [
    WITH_LENGTH,
    CHUNKED,
    b"HTTP/1.1 200 OK\r\nSeal: s\r\nContent-Length: 0\r\n\r\n",
    b"HTTP/1.1 200 OK\r\nContent-Length: 10\r\nSeal: s\r\n\r\n0123456789",
    b"HTTP/1.1 100 Continue\r\n\r\n" + WITH_LENGTH,
    b"HTTP/1.1 204 No Content\r\nSeal: s\r\n\r\n",
    CLOSE_DELIMITED.partition(HEAD_END)[0] + HEAD_END,
]


@pytest.mark.parametrize("step", [1, 1000])
@pytest.mark.parametrize("data", CUT_RESPONSES)
def test_no_part_of_a_response_is_complete(data, step):
    """A head that was cut off became an empty successful response."""
    for size in range(len(data)):
        parser = ResponseParser()
        parts = parse(parser, data[:size], step)
        assert ResponseEnd() not in parts
        with pytest.raises(ConnectionResetError):
            parser.feed_eof()
        assert ResponseEnd() not in parse(parser)


def test_bare_line_feeds_are_no_response():
    parser = ResponseParser()
    with pytest.raises(AnswerError):
        parse(parser, b"HTTP/1.1 200 OK\nContent-Length: 0\n\n")


@pytest.mark.parametrize("step", [1, 1000])
@pytest.mark.parametrize("data", INVALID_RESPONSES)
def test_what_is_no_response_is_not_completed(data, step):
    """Statuses such as 000 and unclear lengths came through as responses."""
    parser = ResponseParser()
    for start in range(0, len(data), step):
        parser.feed(data[start : start + step])
    assert ResponseEnd() not in parser.parts
    with pytest.raises(AnswerError):
        parse(parser)


@pytest.mark.parametrize(
    "data",
    [
        b"HTTP/1.1 204 No Content\r\n\r\n",
        b"HTTP/1.1 204 No Content\r\nContent-Length: 0\r\n\r\n",
        b"HTTP/1.1 304 Not Modified\r\nContent-Length: 5\r\n\r\n",
        b"HTTP/1.1 200 Tr\xe8s\tbien\r\nContent-Length: 0\r\n\r\n",
        b"HTTP/1.1 599 Odd\r\nContent-Length: 0\r\n\r\n",
        b"HTTP/1.1 200\r\nTransfer-Encoding: Chunked\r\n\r\n0\r\n\r\n",
        b"HTTP/1.1 103 Early Hints\r\nA: b\r\n\r\n" + WITH_LENGTH,
    ],
)
def test_unusual_response_is_completed(data):
    assert parse(ResponseParser(), data)[-1] == ResponseEnd()
