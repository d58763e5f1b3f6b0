"""Serialize the HTTP responses to a caller."""

import re
from collections.abc import Iterable

from berylcart.protocol.http_requests import CONTENT_LENGTH, HTTP_1_1

FORBIDDEN_HEADER_BYTES = re.compile(rb"[\r\n\0]")
# Responses with these statuses have no body.
BODILESS_STATUSES = (204, 304)


class ResponseWriter:
    r"""Serialize the response to one request.

    >>> writer = ResponseWriter("GET", "1.1")
    >>> writer.start(200, [(b"a", b"b")])
    b'HTTP/1.1 200 \r\na: b\r\ntransfer-encoding: chunked\r\n\r\n'
    >>> writer.data(b"xy"), writer.end()
    (b'2\r\nxy\r\n', b'0\r\n\r\n')
    """

    def __init__(self, method: str, version: str) -> None:
        self.method = method
        self.version = version
        self.is_bodiless = False
        self.is_chunked = False
        self.remaining_bytes: int | None = None
        # Set when the end of the connection delimits the body.
        self.is_close_delimited = False

    def start(
        self, status: int, headers: Iterable[tuple[bytes, bytes]]
    ) -> bytes:
        """Serialize the head; raises ValueError on an invalid header."""
        lines = [b"HTTP/1.1 %d " % status]
        for name, value in headers:
            if FORBIDDEN_HEADER_BYTES.search(
                value
            ) or FORBIDDEN_HEADER_BYTES.search(name):
                raise ValueError("a header contains a line break or a NUL")
            if name.lower() == CONTENT_LENGTH:
                self.remaining_bytes = int(value)
            lines.append(b"%s: %s" % (name, value))
        self.is_bodiless = self.method == "HEAD" or status in BODILESS_STATUSES
        if not self.is_bodiless and self.remaining_bytes is None:
            if self.version == HTTP_1_1:
                self.is_chunked = True
                lines.append(b"transfer-encoding: chunked")
            else:
                self.is_close_delimited = True
                lines.append(b"connection: close")
        return b"\r\n".join([*lines, b"", b""])

    def data(self, data: bytes) -> bytes:
        """Serialize bytes of the body.

        Raises ValueError when they exceed the Content-Length.
        """
        if self.is_bodiless or not data:
            return b""
        if self.is_chunked:
            return b"%x\r\n%s\r\n" % (len(data), data)
        if self.remaining_bytes is not None:
            self.remaining_bytes -= len(data)
            if self.remaining_bytes < 0:
                raise ValueError("the body is longer than its Content-Length")
        return data

    def end(self) -> bytes:
        """Finish the response; raises ValueError if the body is incomplete."""
        if self.is_bodiless:
            return b""
        if self.remaining_bytes:
            raise ValueError("the body is shorter than its Content-Length")
        return b"0\r\n\r\n" if self.is_chunked else b""
