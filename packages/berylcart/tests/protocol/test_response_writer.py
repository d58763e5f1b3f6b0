"""Test that responses are framed."""

import pytest
from berylcart.protocol.response_writer import ResponseWriter


def test_body_that_contradicts_its_content_length_raises():
    writer = ResponseWriter("GET", "1.1")
    writer.start(200, [(b"Content-Length", b"3")])
    writer.data(b"ab")
    with pytest.raises(ValueError, match="shorter than its Content-Length"):
        writer.end()
    with pytest.raises(ValueError, match="longer than its Content-Length"):
        writer.data(b"cd")


def test_http_1_0_response_without_length_is_close_delimited():
    writer = ResponseWriter("GET", "1.0")
    assert b"connection: close" in writer.start(200, [])
    assert writer.is_close_delimited
    assert writer.data(b"ab") + writer.end() == b"ab"


@pytest.mark.parametrize(("method", "status"), [("HEAD", 200), ("GET", 204)])
def test_bodiless_response_omits_the_body(method, status):
    writer = ResponseWriter(method, "1.1")
    head = writer.start(status, [])
    assert b"chunked" not in head
    assert writer.data(b"ab") + writer.end() == b""


def test_header_with_a_line_break_raises():
    with pytest.raises(ValueError, match="line break or a NUL"):
        ResponseWriter("GET", "1.1").start(200, [(b"a", b"b\r\nc: d")])
