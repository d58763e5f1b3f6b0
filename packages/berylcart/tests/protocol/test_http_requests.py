"""Test that requests are separated and ambiguous ones rejected."""

import pytest
from berylcart.protocol.http_requests import (
    RequestEnd,
    RequestError,
    RequestHead,
    RequestParser,
)

MAX_HEAD = 200
POST = b"POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\nhi"


def parse(data, step=1, parser=None):
    """Feed bytes in chunks of step bytes and return the parsed parts."""
    parser = parser or RequestParser(MAX_HEAD)
    parts = []
    for start in range(0, len(data), step):
        parser.feed(data[start : start + step])
        while (part := parser.next_part()) is not None:
            parts.append(part)
    return parts


@pytest.mark.parametrize("step", [1, 7, 1000])
def test_pipelined_requests_are_separated(step):
    parts = parse(POST + POST.replace(b"/a", b"/b"), step)
    targets = [p.head.target for p in parts if isinstance(p, RequestHead)]
    assert targets == ["/a", "/b"]
    body = b"".join(p for p in parts if isinstance(p, bytes))
    assert body == b"hihi"
    assert parts.count(RequestEnd(keep_alive=True)) == 2


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
def test_invalid_or_ambiguous_request_raises(data):
    with pytest.raises(RequestError):
        parse(data, len(data))


def test_unbounded_head_is_too_large():
    with pytest.raises(RequestError) as raised:
        parse(b"GET / HTTP/1.1\r\nX: " + b"x" * MAX_HEAD)
    assert raised.value.is_head_too_large


def test_head_limit_does_not_apply_to_the_body():
    length = 10 * MAX_HEAD
    head = f"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: {length}\r\n\r\n"
    parts = parse(head.encode() + b"x" * length, step=50)
    assert sum(len(p) for p in parts if isinstance(p, bytes)) == length


@pytest.mark.parametrize(
    ("version", "header", "keep_alive"),
    [
        ("1.1", "", True),
        ("1.1", "Connection: close\r\n", False),
        ("1.0", "", False),
        ("1.0", "Connection: keep-alive\r\n", True),
    ],
)
def test_keep_alive_follows_version_and_header(version, header, keep_alive):
    data = f"GET / HTTP/{version}\r\nHost: h\r\n{header}\r\n".encode()
    assert parse(data)[-1] == RequestEnd(keep_alive)


OFFER = b"Connection: upgrade\r\nUpgrade: h2c\r\n"


@pytest.mark.parametrize(
    ("head", "body"),
    [
        (b"POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n", b"hi"),
        (
            b"POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n",
            b"1\r\nh\r\n1\r\ni\r\n0\r\n\r\n",
        ),
        (b"GET /a HTTP/1.1\r\nHost: h\r\n", b""),
        (b"POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\n", b""),
    ],
)
@pytest.mark.parametrize("step", [1, 7, 1000])
def test_request_with_an_upgrade_offer_keeps_its_body(head, body, step):
    """Such requests ran with an empty body, and a 400 followed."""
    data = (head + OFFER + b"\r\n" + body) * 3
    parser = RequestParser(MAX_HEAD)
    parts = parse(data, step, parser)
    heads = [part for part in parts if isinstance(part, RequestHead)]
    assert [each.head.target for each in heads] == ["/a"] * 3
    assert parts.count(RequestEnd(keep_alive=True)) == 3
    assert b"".join(p for p in parts if isinstance(p, bytes)) == (
        b"hi" * 3 if body else b""
    )
    assert not parser.has_input


def test_upgrade_offer_does_not_keep_a_closing_connection():
    head = b"POST / HTTP/1.0\r\nHost: h\r\nContent-Length: 2\r\n" + OFFER
    parts = parse(head + b"\r\nhi")
    assert b"".join(parts[1:-1]) == b"hi"
    assert parts[-1] == RequestEnd(keep_alive=False)


def test_connect_request_stops_parsing():
    parser = RequestParser(MAX_HEAD)
    parser.feed(b"CONNECT h:1 HTTP/1.1\r\nHost: h\r\n\r\n")
    assert isinstance(parser.next_part(), RequestHead)
    assert isinstance(parser.next_part(), RequestEnd)
    with pytest.raises(RequestError):
        parser.next_part()


def test_upgrade_offer_hides_no_second_length():
    head = b"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n" + OFFER
    parser = RequestParser(MAX_HEAD)
    parser.feed(head + b"Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n")
    with pytest.raises(RequestError):
        parser.next_part()


CHUNKED_HEAD = (
    b"POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"
)


@pytest.mark.parametrize("step", [1, 90, 1000])
@pytest.mark.parametrize(
    ("start", "unit", "is_head"),
    [
        (b"", b"\r\n", True),
        (b"GET /", b"a", True),
        (CHUNKED_HEAD, b"0", False),
        (CHUNKED_HEAD + b"1;a=", b"x", False),
        (CHUNKED_HEAD + b"0\r\nx: ", b"y", False),
        (CHUNKED_HEAD + b"0\r\n", b"x: y\r\n", False),
    ],
)
def test_unbounded_head_or_framing_raises(start, unit, is_head, step):
    parser = RequestParser(MAX_HEAD)
    parser.feed(start)
    while parser.next_part() is not None:
        pass
    data = unit * 2000
    for at in range(0, 2 * MAX_HEAD, step):
        parser.feed(data[at : at + step])
    with pytest.raises(RequestError) as raised:
        parser.next_part()
    assert raised.value.is_head_too_large is is_head


def test_many_small_chunks_are_accepted():
    data = CHUNKED_HEAD + 100 * b"1;a=b\r\nx\r\n" + b"0\r\nx: y\r\n\r\n"
    parts = parse(data)
    assert b"".join(p for p in parts if isinstance(p, bytes)) == 100 * b"x"
    assert parts[-1] == RequestEnd(keep_alive=True)


def test_requests_sent_ahead_stay_bytes():
    """A whole read was parsed, each short request into kilobytes."""
    parser = RequestParser(MAX_HEAD)
    request = b"GET /a HTTP/1.1\r\nHost: h\r\n\r\n"
    parser.feed(request * 1000)
    for number in range(1, 4):
        assert isinstance(parser.next_part(), RequestHead)
        assert isinstance(parser.next_part(), RequestEnd)
        assert not parser.parts
        assert parser.unparsed_bytes == (1000 - number) * len(request)
        assert parser.has_input


@pytest.mark.parametrize("step", [1, 2, 3, 5, 1000])
def test_no_piece_goes_beyond_the_end_of_a_request(step):
    requests = (
        b"\r\n" + POST,
        CHUNKED_HEAD + b"4\r\n\r\n\r\n\r\n0\r\nx: y\r\n\r\n",
        b"GET /a HTTP/1.1\r\nHost: h\r\n" + OFFER + b"\r\n",
    )
    data = b"".join(requests) * 2
    parser = RequestParser(MAX_HEAD)
    ends = []
    for start in range(0, len(data), step):
        parser.feed(data[start : start + step])
        while (part := parser.next_part()) is not None:
            if isinstance(part, RequestEnd):
                assert not parser.parts
                fed_bytes = min(start + step, len(data))
                ends.append(fed_bytes - parser.unparsed_bytes)
    sizes = [len(each) for each in requests * 2]
    assert ends == [sum(sizes[: n + 1]) for n in range(len(sizes))]


@pytest.mark.parametrize("line", [b"a:\r\n", b"a:b\r\n", b"!~:\t\r\n"])
@pytest.mark.parametrize("step", [1, 1000])
def test_head_size_is_that_of_the_received_bytes(line, step):
    """A blank was counted after each colon, and legal heads got 431."""
    start = b"GET / HTTP/1.1\r\nHost: h\r\n"
    head = start + line * ((MAX_HEAD - len(start) - 4) // len(line))
    head += b"a:%s\r\n" % (b"b" * (MAX_HEAD - len(head) - 4))
    assert len(head) == MAX_HEAD
    parts = parse(b"\r\n" + head + b"\r\n", step)
    assert parts[0].size_bytes == MAX_HEAD


def test_head_above_the_limit_tells_its_size_or_raises():
    head = b"GET / HTTP/1.1\r\nHost: h\r\na:" + b"b" * MAX_HEAD + b"\r\n\r\n"
    assert parse(head, len(head))[0].size_bytes == len(head) - 2
    with pytest.raises(RequestError) as raised:
        parse(head, 1)
    assert raised.value.is_head_too_large


def test_tiny_chunks_arrive_as_one_part():
    parser = RequestParser(MAX_HEAD)
    parser.feed(CHUNKED_HEAD + b"1\r\nx\r\n" * 1000 + b"0\r\n\r\n")
    assert isinstance(parser.next_part(), RequestHead)
    assert parser.next_part() == b"x" * 1000
    assert isinstance(parser.next_part(), RequestEnd)


def test_memory_of_short_lines_is_counted_while_the_head_arrives():
    parser = RequestParser(2**14)
    parser.feed(b"GET / HTTP/1.1\r\nHost: h\r\n" + b"a:\r\n" * 1000)
    assert parser.next_part() is None
    assert parser.held_bytes > 100 * 1000
    parser.discard()
    assert parser.held_bytes == 0
    with pytest.raises(RequestError):
        parser.next_part()


def test_memory_of_lists_in_headers_is_counted():
    """A list of 16 KB became half a megabyte of prompt parts."""
    head = b"GET / HTTP/1.1\r\nHost: h\r\nx: " + b"a1:999," * 1000
    parser = RequestParser(2**14)
    parser.feed(head + b"\r\n\r\n")
    parser.next_part()
    assert parser.held_bytes > 100 * 1000
    assert parser.parsed_items > 1000


def test_memory_of_a_head_is_counted_until_it_is_released():
    parser = RequestParser(MAX_HEAD)
    parser.feed(POST)
    while parser.next_part() is not None:
        pass
    assert parser.held_bytes > len(POST)
    parser.release_head()
    assert parser.held_bytes == 0
