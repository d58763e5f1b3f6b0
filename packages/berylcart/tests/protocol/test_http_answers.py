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
