"""Turn the bytes of a caller's connection into requests, and write answers."""

import re
from collections import deque
from collections.abc import Iterable
from typing import NamedTuple

import httptools

from berylcart.state.relayed import CallerHead, Headers

HOST = b"host"
LENGTH = b"content-length"
CODING = b"transfer-encoding"
CONNECTION = b"connection"
EXPECT = b"expect"
CONTINUE = b"100-continue"
HTTP_1_1 = "1.1"
TARGET = re.compile(rb"[\x21-\x7e]+")
LINE_ENDS = re.compile(rb"[\r\n\0]")
# Statuses whose answers have no body.
BODILESS = (204, 304)
GO_ON = b"HTTP/1.1 100 \r\n\r\n"


class RequestError(Exception):
    """Report bytes that are no request."""

    def __init__(
        self, detail: str, *, is_head_too_large: bool = False
    ) -> None:
        super().__init__(detail)
        self.is_head_too_large = is_head_too_large


class RequestHead(NamedTuple):
    """Hold a request's head; is_continued asks for a word before the body."""

    head: CallerHead
    version: str
    is_continued: bool


class RequestEnd(NamedTuple):
    """Mark the end of a whole request, and whether another may follow."""

    is_kept: bool


Part = RequestHead | RequestEnd | bytes


class RequestParser:
    r"""Read requests with heads of some size at most.

    The size also bounds what may arrive between two parts without being in
    one: blank lines before a request, chunk sizes and extensions, trailers.

    >>> parser = RequestParser(max_head_bytes=100)
    >>> parser.feed(b"GET /a HTTP/1.1\r\nHost: h\r\n\r\n")
    >>> parser.take().head.target, parser.take(), parser.take()
    ('/a', RequestEnd(is_kept=True), None)
    """

    def __init__(self, max_head_bytes: int) -> None:
        self.max_head_bytes = max_head_bytes
        self.parser = httptools.HttpRequestParser(self)
        self.parts: deque[Part] = deque()
        self.target = b""
        self.headers: list[tuple[bytes, bytes]] = []
        self.is_in_head = False
        self.is_in_body = False
        # Bytes fed since the last part.
        self.framing_bytes = 0
        self.error: RequestError | None = None

    def feed(self, data: bytes) -> None:
        """Take bytes; an error shows once what came before is taken."""
        if self.error is not None:
            return
        known_parts = len(self.parts)
        try:
            self.parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            # The upgrade is not offered; nothing may follow the answer.
            self.error = RequestError("bytes after an upgrade")
        except httptools.HttpParserError as error:
            if self.error is None:
                self.error = RequestError(str(error))
        if len(self.parts) > known_parts:
            self.framing_bytes = 0
            return
        self.framing_bytes += len(data)
        if self.framing_bytes > self.max_head_bytes and self.error is None:
            what = "framing of the body" if self.is_in_body else "head"
            self.error = RequestError(
                f"the {what} exceeds {self.max_head_bytes} bytes",
                is_head_too_large=not self.is_in_body,
            )

    def take(self) -> Part | None:
        """Take the next part that has arrived; raises RequestError."""
        if self.parts:
            return self.parts.popleft()
        if self.error is not None:
            raise self.error
        return None

    @property
    def is_begun(self) -> bool:
        """Tell whether bytes of a request wait that was not yet taken."""
        return bool(self.parts or self.is_in_head or self.error)

    def on_message_begin(self) -> None:
        """Begin a request."""
        self.is_in_head = True
        self.target = b""
        self.headers = []

    def on_url(self, data: bytes) -> None:
        """Take a part of the target."""
        self.target += data

    def on_header(self, name: bytes, value: bytes) -> None:
        """Take a header, or a trailer, which is dropped."""
        if self.is_in_head:
            self.headers.append((name.lower(), value.strip(b" \t")))

    def on_headers_complete(self) -> None:
        """End the head of a request."""
        self.is_in_head = False
        self.is_in_body = True
        version = self.parser.get_http_version()
        hosts = [value for name, value in self.headers if name == HOST]
        if len(hosts) > 1 or (not hosts and version == HTTP_1_1):
            self.refuse("a request names one host")
        if not TARGET.fullmatch(self.target):
            self.refuse("the target holds other than visible ASCII")
        expected = [v.lower() for n, v in self.headers if n == EXPECT]
        self.parts.append(
            RequestHead(
                CallerHead(
                    self.parser.get_method().decode(),
                    self.target.decode(),
                    tuple(self.headers),
                ),
                version,
                version == HTTP_1_1 and CONTINUE in expected,
            )
        )

    def refuse(self, detail: str) -> None:
        """End the reading of a connection; the parser stops as well."""
        self.error = RequestError(detail)
        raise self.error

    def on_body(self, data: bytes) -> None:
        """Take bytes of the body."""
        self.parts.append(data)

    def on_message_complete(self) -> None:
        """End a request."""
        self.is_in_body = False
        self.parts.append(RequestEnd(self.parser.should_keep_alive()))


class AnswerWriter:
    r"""Write the answer to one request.

    >>> writer = AnswerWriter("GET", "1.1")
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
        self.left_bytes: int | None = None
        # Set where only the connection's end can end the answer.
        self.ends_connection = False

    def start(
        self, status: int, headers: Iterable[tuple[bytes, bytes]]
    ) -> bytes:
        """Write the head; raises ValueError on headers that can't be sent."""
        lines = [b"HTTP/1.1 %d " % status]
        for name, value in headers:
            if LINE_ENDS.search(value) or LINE_ENDS.search(name):
                raise ValueError("a header holds a line's end")
            if name.lower() == LENGTH:
                self.left_bytes = int(value)
            lines.append(b"%s: %s" % (name, value))
        self.is_bodiless = self.method == "HEAD" or status in BODILESS
        if not self.is_bodiless and self.left_bytes is None:
            if self.version == HTTP_1_1:
                self.is_chunked = True
                lines.append(b"transfer-encoding: chunked")
            else:
                self.ends_connection = True
                lines.append(b"connection: close")
        return b"\r\n".join([*lines, b"", b""])

    def data(self, data: bytes) -> bytes:
        """Write bytes of the body; raises ValueError beyond its length."""
        if self.is_bodiless or not data:
            return b""
        if self.is_chunked:
            return b"%x\r\n%s\r\n" % (len(data), data)
        if self.left_bytes is not None:
            self.left_bytes -= len(data)
            if self.left_bytes < 0:
                raise ValueError("the body is longer than was said")
        return data

    def end(self) -> bytes:
        """End the answer; raises ValueError where bytes are missing."""
        if self.is_bodiless:
            return b""
        if self.left_bytes:
            raise ValueError("the body is shorter than was said")
        return b"0\r\n\r\n" if self.is_chunked else b""


def header_bytes(headers: Headers) -> Iterable[int]:
    """Measure each header as it is written."""
    return (len(name) + len(value) + len(": \r\n") for name, value in headers)


def head_bytes(head: CallerHead) -> int:
    """Measure a head as it is written.

    >>> head_bytes(CallerHead("GET", "/", ((b"a", b"b"),)))
    22
    """
    line = len(head.method) + len(head.target) + len("  HTTP/1.1\r\n")
    return line + sum(header_bytes(head.headers))


def is_ambiguous(head: CallerHead) -> bool:
    """Tell whether a body's length could be read in two ways.

    >>> length = (b"content-length", b"3")
    >>> chunked = (b"transfer-encoding", b"chunked")
    >>> is_ambiguous(CallerHead("POST", "/", (length,)))
    False
    >>> is_ambiguous(CallerHead("POST", "/", (length, chunked)))
    True
    """
    lengths = head.values(LENGTH)
    codings = head.values(CODING)
    return len(lengths) + len(codings) > 1
