"""Check that answers are told apart, and broken ones never look whole."""

import pytest
from berylcart.protocol.http_answers import (
    MAX_HEAD_BYTES,
    AnswerEnd,
    AnswerError,
    AnswerHead,
    AnswerParser,
)

PLAIN = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nab"
CHUNKED = (
    b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
    b"1\r\na\r\n1\r\nb\r\n0\r\nx: y\r\n\r\n"
)
UNFRAMED = b"HTTP/1.1 200 OK\r\n\r\nab"


def read(parser, data=b"", step=1):
    """Give the parts read from bytes that come in steps."""
    for start in range(0, len(data), step):
        parser.feed(data[start : start + step])
    parts = []
    while (part := parser.take()) is not None:
        parts.append(part)
    return parts


def body(parts):
    return b"".join(part for part in parts if isinstance(part, bytes))


@pytest.mark.parametrize("data", [PLAIN, CHUNKED])
@pytest.mark.parametrize("step", [1, 5, 1000])
def test_answers_on_a_kept_connection(data, step):
    parser = AnswerParser()
    for _ in range(2):
        parts = read(parser, data, step)
        assert parts[0].status == 200
        assert body(parts) == b"ab"
        assert parts[-1] == AnswerEnd()
        assert parser.is_reusable


def test_informational_answer_is_passed_over():
    parts = read(AnswerParser(), b"HTTP/1.1 100 Continue\r\n\r\n" + PLAIN)
    assert [p.status for p in parts if isinstance(p, AnswerHead)] == [200]


def test_answer_without_length_ends_with_its_connection():
    parser = AnswerParser()
    assert AnswerEnd() not in read(parser, UNFRAMED)
    parser.feed_end()
    assert read(parser) == [AnswerEnd()]
    assert not parser.is_reusable


@pytest.mark.parametrize("data", [b"", PLAIN[:-1], CHUNKED[:-2], PLAIN])
def test_connection_that_ends_ends_no_framed_answer(data):
    parser = AnswerParser()
    read(parser, data)
    with pytest.raises(ConnectionResetError):
        parser.feed_end()


def test_second_answer_forbids_reuse():
    parser = AnswerParser()
    parts = read(parser, PLAIN + PLAIN[:10], 1000)
    assert parts[-1] == AnswerEnd()
    assert not parser.is_reusable


def test_garbage_after_an_answer_leaves_the_answer_whole():
    parser = AnswerParser()
    parser.feed(PLAIN + b"\x00garbage")
    assert isinstance(parser.take(), AnswerHead)
    assert parser.take() == b"ab"
    assert parser.take() == AnswerEnd()
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
def test_bytes_that_are_no_answer_are_an_error(data):
    with pytest.raises(AnswerError):
        read(AnswerParser(), data, len(data))


def test_closing_answer_forbids_reuse():
    parser = AnswerParser()
    read(parser, PLAIN.replace(b"OK\r\n", b"OK\r\nConnection: close\r\n"))
    assert not parser.is_reusable


def test_answer_to_a_question_for_the_head_has_no_body():
    parser = AnswerParser(is_head_only=True)
    parts = read(parser, PLAIN[:-2], 1000)
    assert parts[-1] == AnswerEnd()
    assert not parser.is_reusable


BEGUN = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"


@pytest.mark.parametrize("step", [1, 700, 2**16])
@pytest.mark.parametrize(
    ("start", "unit"),
    [
        (b"", b"\r\n"),
        (b"", b"HTTP/1.1 102 Processing\r\n\r\n"),
        (b"HTTP/1.1 200 ", b"x"),
        (b"HTTP/1.1 200 OK\r\nx: ", b"x"),
        (b"HTTP/1.1 200 OK\r\n", b"x: y\r\n"),
        (BEGUN, b"0"),
        (BEGUN + b"1;a=", b"x"),
        (BEGUN + b"0\r\nx: ", b"y"),
        (BEGUN + b"0\r\n", b"x: y\r\n"),
    ],
)
def test_endless_bytes_between_two_parts_are_an_error(start, unit, step):
    parser = AnswerParser()
    read(parser, start, 1000)
    count = 2 * MAX_HEAD_BYTES // len(unit) + 1
    with pytest.raises(AnswerError):
        read(parser, unit * count, step)


def test_framing_of_many_small_chunks_is_no_error():
    chunk = b"1;name=value\r\na\r\n"
    count = 2 * MAX_HEAD_BYTES // len(chunk)
    data = BEGUN + count * chunk + b"0\r\n" + 100 * b"x: y\r\n" + b"\r\n"
    parts = read(AnswerParser(), data, 50)
    assert body(parts) == b"a" * count
    assert parts[-1] == AnswerEnd()


def test_some_informational_answers_are_passed_over():
    parts = read(AnswerParser(), 9 * b"HTTP/1.1 103 Hints\r\n\r\n" + PLAIN)
    assert [p.status for p in parts if isinstance(p, AnswerHead)] == [200]


def test_upgrade_that_was_not_asked_for_is_an_error():
    # Its exception is no HttpParserError, and ended the task that read it.
    head = b"HTTP/1.1 101 Switching\r\nConnection: upgrade\r\nUpgrade: x\r\n"
    with pytest.raises(AnswerError):
        read(AnswerParser(), head + b"\r\nbytes", 1000)
