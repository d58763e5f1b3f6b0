"""Parse the HTTP requests of a caller and serialize the responses."""

import re
from collections import deque
from collections.abc import Iterable
from typing import NamedTuple

import httptools

from berylcart.state.relay_messages import CallerHead, Headers

HOST = b"host"
CONTENT_LENGTH = b"content-length"
TRANSFER_ENCODING = b"transfer-encoding"
CONNECTION = b"connection"
UPGRADE = b"upgrade"
EXPECT = b"expect"
CONTINUE = b"100-continue"
CONNECT = b"CONNECT"
HTTP_1_1 = "1.1"
VISIBLE_ASCII = re.compile(rb"[\x21-\x7e]+")
FORBIDDEN_HEADER_BYTES = re.compile(rb"[\r\n\0]")
# Responses with these statuses have no body.
BODILESS_STATUSES = (204, 304)
CONTINUE_RESPONSE = b"HTTP/1.1 100 \r\n\r\n"


class RequestError(Exception):
    """Report bytes that are not a valid HTTP request."""

    def __init__(
        self, detail: str, *, is_head_too_large: bool = False
    ) -> None:
        super().__init__(detail)
        self.is_head_too_large = is_head_too_large


class RequestHead(NamedTuple):
    """Hold a request's head.

    expects_continue is set when the caller sends the body only after an
    interim response with status 100.
    """

    head: CallerHead
    version: str
    expects_continue: bool


class RequestEnd(NamedTuple):
    """Mark the end of a complete request.

    keep_alive tells whether another request may follow on the connection.
    """

    keep_alive: bool


RequestPart = RequestHead | RequestEnd | bytes


class RequestParser:
    r"""Parse requests incrementally, with a limit on the size of a head.

    The limit also applies to bytes that belong to no part: blank lines before
    a request, chunk sizes and extensions, and trailers.

    >>> parser = RequestParser(max_head_bytes=100)
    >>> parser.feed(b"GET /a HTTP/1.1\r\nHost: h\r\n\r\n")
    >>> parser.next_part().head.target, parser.next_part(), parser.next_part()
    ('/a', RequestEnd(keep_alive=True), None)
    """

    def __init__(self, max_head_bytes: int) -> None:
        self.max_head_bytes = max_head_bytes
        self.parser = httptools.HttpRequestParser(self)
        self.parts: deque[RequestPart] = deque()
        self.target = b""
        self.headers: list[tuple[bytes, bytes]] = []
        self.is_in_head = False
        self.is_in_body = False
        # Whether the parser is given a head whose parts are known.
        self.is_repeated_head = False
        # Bytes fed since the last part was completed.
        self.framing_bytes = 0
        self.error: RequestError | None = None

    def feed(self, data: bytes) -> None:
        """Parse bytes; next_part raises an error after the parts before it."""
        if self.error is not None:
            return
        previous_parts = len(self.parts)
        try:
            self.feed_parser(data)
        except httptools.HttpParserError as error:
            if self.error is None:
                self.error = RequestError(str(error))
        if len(self.parts) > previous_parts:
            self.framing_bytes = 0
            return
        self.framing_bytes += len(data)
        if self.framing_bytes > self.max_head_bytes and self.error is None:
            section = "framing of the body" if self.is_in_body else "head"
            self.error = RequestError(
                f"the {section} exceeds {self.max_head_bytes} bytes",
                is_head_too_large=not self.is_in_body,
            )

    def feed_parser(self, data: bytes) -> None:
        """Parse bytes; raises HttpParserError."""
        while True:
            try:
                self.parser.feed_data(data)
            except httptools.HttpParserUpgrade as upgrade:
                if self.parser.get_method() == CONNECT:
                    self.error = RequestError("bytes after an upgrade")
                    return
                (position,) = upgrade.args
                data = data[position:]
                self.decline_upgrade()
            else:
                return

    def decline_upgrade(self) -> None:
        """Parse what follows a request that offers another protocol as HTTP.

        httptools leaves the body of such a request to the other protocol, so
        the head is parsed once more without the offer.
        """
        head = CallerHead(
            self.parser.get_method().decode(),
            self.target.decode(),
            tuple(self.headers),
        )
        version = self.parser.get_http_version()
        self.parser = httptools.HttpRequestParser(self)
        self.is_repeated_head = True
        self.parser.feed_data(write_head_without_upgrade(head, version))

    def next_part(self) -> RequestPart | None:
        """Return the next parsed part, if any; raises RequestError."""
        if self.parts:
            return self.parts.popleft()
        if self.error is not None:
            raise self.error
        return None

    @property
    def has_input(self) -> bool:
        """Return whether bytes of another request have arrived."""
        return bool(self.parts or self.is_in_head or self.error)

    def on_message_begin(self) -> None:
        """Start a request."""
        if self.is_repeated_head:
            return
        self.is_in_head = True
        self.target = b""
        self.headers = []

    def on_url(self, data: bytes) -> None:
        """Append a part of the target."""
        if not self.is_repeated_head:
            self.target += data

    def on_header(self, name: bytes, value: bytes) -> None:
        """Store a header; trailers are discarded."""
        if self.is_in_head:
            self.headers.append((name.lower(), value.strip(b" \t")))

    def on_headers_complete(self) -> None:
        """Validate and finish the head of a request."""
        if self.is_repeated_head:
            self.is_repeated_head = False
            return
        self.is_in_head = False
        self.is_in_body = True
        version = self.parser.get_http_version()
        hosts = [value for name, value in self.headers if name == HOST]
        if len(hosts) > 1 or (not hosts and version == HTTP_1_1):
            self.fail("a request names one host")
        if not VISIBLE_ASCII.fullmatch(self.target):
            self.fail("the target holds other than visible ASCII")
        expectations = [v.lower() for n, v in self.headers if n == EXPECT]
        self.parts.append(
            RequestHead(
                CallerHead(
                    self.parser.get_method().decode(),
                    self.target.decode(),
                    tuple(self.headers),
                ),
                version,
                version == HTTP_1_1 and CONTINUE in expectations,
            )
        )

    def fail(self, detail: str) -> None:
        """Stop parsing the connection with an error."""
        self.error = RequestError(detail)
        raise self.error

    def on_body(self, data: bytes) -> None:
        """Append bytes of the body."""
        self.parts.append(data)

    def on_message_complete(self) -> None:
        """Finish a request, unless its body is yet to be parsed."""
        is_offer = self.parser.should_upgrade()
        if is_offer and self.parser.get_method() != CONNECT:
            return
        self.is_in_body = False
        self.parts.append(RequestEnd(self.parser.should_keep_alive()))


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


def write_head_without_upgrade(head: CallerHead, version: str) -> bytes:
    r"""Serialize a request's head without its offer of another protocol.

    >>> headers = ((b"connection", b"close, Upgrade"), (b"upgrade", b"h2c"))
    >>> write_head_without_upgrade(CallerHead("GET", "/", headers), "1.1")
    b'GET / HTTP/1.1\r\nconnection: close\r\n\r\n'
    """
    lines = [f"{head.method} {head.target} HTTP/{version}".encode()]
    for name, value in head.headers:
        if name == UPGRADE:
            continue
        kept = value
        if name == CONNECTION:
            options = [option.strip() for option in value.split(b",")]
            kept = b", ".join(o for o in options if o.lower() != UPGRADE)
        lines.append(b"%s: %s" % (name, kept))
    return b"\r\n".join([*lines, b"", b""])


def header_sizes(headers: Headers) -> Iterable[int]:
    """Yield the serialized size of each header."""
    return (len(name) + len(value) + len(": \r\n") for name, value in headers)


def head_bytes(head: CallerHead) -> int:
    """Return the serialized size of a request's head.

    >>> head_bytes(CallerHead("GET", "/", ((b"a", b"b"),)))
    22
    """
    request_line_bytes = (
        len(head.method) + len(head.target) + len("  HTTP/1.1\r\n")
    )
    return request_line_bytes + sum(header_sizes(head.headers))


def has_ambiguous_length(head: CallerHead) -> bool:
    """Return whether the length of the body is given more than once.

    >>> length = (b"content-length", b"3")
    >>> chunked = (b"transfer-encoding", b"chunked")
    >>> has_ambiguous_length(CallerHead("POST", "/", (length,)))
    False
    >>> has_ambiguous_length(CallerHead("POST", "/", (length, chunked)))
    True
    """
    lengths = head.values(CONTENT_LENGTH)
    codings = head.values(TRANSFER_ENCODING)
    return len(lengths) + len(codings) > 1
