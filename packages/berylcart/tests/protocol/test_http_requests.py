"""Check that requests are read in one way only and answers stay framed."""

import pytest
from berylcart.protocol.http_requests import (
    AnswerWriter,
    RequestEnd,
    RequestError,
    RequestHead,
    RequestParser,
)

MAX_HEAD = 200
POST = b"POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\nhi"


def read(data, step=1):
    """Give the parts read from bytes that come in steps."""
    parser = RequestParser(MAX_HEAD)
    parts = []
    for start in range(0, len(data), step):
        parser.feed(data[start : start + step])
        while (part := parser.take()) is not None:
            parts.append(part)
    return parts


@pytest.mark.parametrize("step", [1, 7, 1000])
def test_requests_sent_ahead_are_told_apart(step):
    parts = read(POST + POST.replace(b"/a", b"/b"), step)
    targets = [p.head.target for p in parts if isinstance(p, RequestHead)]
    assert targets == ["/a", "/b"]
    body = b"".join(p for p in parts if isinstance(p, bytes))
    assert body == b"hihi"
    assert parts.count(RequestEnd(is_kept=True)) == 2


@pytest.mark.parametrize(
    "data",
    [
        b"GET / HTTP/1.1\r\n\r\n",
        b"GET / HTTP/1.1\r\nHost: a\r\nHost: b\r\n\r\n",
        b"GET /\xe9 HTTP/1.1\r\nHost: a\r\n\r\n",
        b"GET / HTTP/1.1\r\nHost: a\r\nX: b\r\n c\r\n\r\n",
        b"GET / HTTP/1.1\r\nHost: a\r\nX : b\r\n\r\n",
        b"GET / HTTP/1.1\r\nHost: a\r\nX: b\x00c\r\n\r\n",
        b"GET / HTTP/1.1\nHost: a\nX: b\rc\n\n",
        b"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: +2\r\n\r\nhi",
        b"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 2\r\n"
        b"Content-Length: 3\r\n\r\nhi",
        b"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 2\r\n"
        b"Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
        b"POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: gzip\r\n\r\n",
        b"POST / HTTP/1.1\r\nHost: a\r\n"
        b"Transfer-Encoding: chunked\r\n\r\nx\r\n",
    ],
)
def test_what_could_be_read_in_two_ways_is_no_request(data):
    with pytest.raises(RequestError):
        read(data, len(data))


def test_head_that_never_ends_is_too_large():
    with pytest.raises(RequestError) as raised:
        read(b"GET / HTTP/1.1\r\nX: " + b"x" * MAX_HEAD)
    assert raised.value.is_head_too_large


def test_large_body_is_no_large_head():
    length = 10 * MAX_HEAD
    head = f"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: {length}\r\n\r\n"
    parts = read(head.encode() + b"x" * length, step=50)
    assert sum(len(p) for p in parts if isinstance(p, bytes)) == length


@pytest.mark.parametrize(
    ("version", "header", "is_kept"),
    [
        ("1.1", "", True),
        ("1.1", "Connection: close\r\n", False),
        ("1.0", "", False),
        ("1.0", "Connection: keep-alive\r\n", True),
    ],
)
def test_connection_is_kept_as_the_caller_asks(version, header, is_kept):
    data = f"GET / HTTP/{version}\r\nHost: h\r\n{header}\r\n".encode()
    assert read(data)[-1] == RequestEnd(is_kept)


def test_upgrade_that_is_asked_for_ends_the_connection():
    head = b"GET / HTTP/1.1\r\nHost: h\r\n"
    data = head + b"Connection: upgrade\r\nUpgrade: x\r\n\r\n"
    parser = RequestParser(MAX_HEAD)
    parser.feed(data)
    assert isinstance(parser.take(), RequestHead)
    assert isinstance(parser.take(), RequestEnd)
    with pytest.raises(RequestError):
        parser.take()


def test_answer_shorter_or_longer_than_said_is_not_ended():
    writer = AnswerWriter("GET", "1.1")
    writer.start(200, [(b"Content-Length", b"3")])
    writer.data(b"ab")
    with pytest.raises(ValueError, match="shorter"):
        writer.end()
    with pytest.raises(ValueError, match="longer"):
        writer.data(b"cd")


def test_answer_without_length_to_an_old_caller_ends_with_its_connection():
    writer = AnswerWriter("GET", "1.0")
    assert b"connection: close" in writer.start(200, [])
    assert writer.ends_connection
    assert writer.data(b"ab") + writer.end() == b"ab"


@pytest.mark.parametrize(("method", "status"), [("HEAD", 200), ("GET", 204)])
def test_answer_without_a_body_writes_none(method, status):
    writer = AnswerWriter(method, "1.1")
    head = writer.start(status, [])
    assert b"chunked" not in head
    assert writer.data(b"ab") + writer.end() == b""


def test_header_with_a_line_end_is_not_written():
    with pytest.raises(ValueError, match="line's end"):
        AnswerWriter("GET", "1.1").start(200, [(b"a", b"b\r\nc: d")])


CHUNKED = b"POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"


@pytest.mark.parametrize("step", [1, 90, 1000])
@pytest.mark.parametrize(
    ("start", "unit", "is_head"),
    [
        (b"", b"\r\n", True),
        (b"GET /", b"a", True),
        (CHUNKED, b"0", False),
        (CHUNKED + b"1;a=", b"x", False),
        (CHUNKED + b"0\r\nx: ", b"y", False),
        (CHUNKED + b"0\r\n", b"x: y\r\n", False),
    ],
)
def test_endless_bytes_between_two_parts_are_refused(
    start, unit, is_head, step
):
    parser = RequestParser(MAX_HEAD)
    parser.feed(start)
    while parser.take() is not None:
        pass
    data = unit * 2000
    for at in range(0, 2 * MAX_HEAD, step):
        parser.feed(data[at : at + step])
    with pytest.raises(RequestError) as raised:
        parser.take()
    assert raised.value.is_head_too_large is is_head


def test_framing_of_many_small_chunks_is_taken():
    data = CHUNKED + 100 * b"1;a=b\r\nx\r\n" + b"0\r\nx: y\r\n\r\n"
    parts = read(data)
    assert b"".join(p for p in parts if isinstance(p, bytes)) == 100 * b"x"
    assert parts[-1] == RequestEnd(is_kept=True)
