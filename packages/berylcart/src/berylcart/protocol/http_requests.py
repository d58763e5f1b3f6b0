"""Parse the HTTP requests of a caller."""

import re
from collections import deque
from typing import NamedTuple

import httptools

from berylcart.state.relay_messages import CallerHead

HOST = b"host"
CONTENT_LENGTH = b"content-length"
TRANSFER_ENCODING = b"transfer-encoding"
CONNECTION = b"connection"
UPGRADE = b"upgrade"
EXPECT = b"expect"
CONTINUE = b"100-continue"
CONNECT = b"CONNECT"
HTTP_1_1 = "1.1"
# Headers that decide how a request is read.
READ_HEADERS = frozenset((HOST, CONTENT_LENGTH, TRANSFER_ENCODING, EXPECT))
VISIBLE_ASCII = re.compile(rb"[\x21-\x7e]+")
CONTINUE_RESPONSE = b"HTTP/1.1 100 \r\n\r\n"
BLANK_LINES = re.compile(rb"[\r\n]*")
# Ends a head, and a chunked body with its trailers.
BLANK_LINE = b"\r\n\r\n"
LINE_END_BYTES = len(b"\r\n")
# How much of a blank line may have been parsed without its end.
BLANK_LINE_TAIL_BYTES = len(BLANK_LINE) - 1
# Input of unknown structure is parsed in pieces, so that the time that one
# piece takes is bounded.
PIECE_BYTES = 16 * 2**10
# Memory of a header beside its characters, with CPython: a tuple, two byte
# strings, and its places in the lists that a request passes through.
HEADER_OVERHEAD_BYTES = 216
# Memory of an item of a list in a header once it is parsed: a tuple of a
# string and a number, and its place in a tuple.
LIST_ITEM_OVERHEAD_BYTES = 184


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
    interim response with status 100. size_bytes is the size of the head as it
    was received, without the blank line at its end.
    """

    head: CallerHead
    version: str
    expects_continue: bool
    size_bytes: int


class RequestEnd(NamedTuple):
    """Mark the end of a complete request.

    keep_alive tells whether another request may follow on the connection.
    """

    keep_alive: bool


RequestPart = RequestHead | RequestEnd | bytes


class RequestParser:
    r"""Parse requests incrementally, with a limit on the size of a head.

    Input is parsed as parts are asked for and never beyond the end of a
    request, so that what a caller sends ahead is held as bytes. The limit
    also applies to bytes that belong to no part: blank lines before a
    request, chunk sizes and extensions, and trailers.

    >>> parser = RequestParser(max_head_bytes=100)
    >>> parser.feed(b"GET /a HTTP/1.1\r\nHost: h\r\n\r\n")
    >>> parser.next_part().head.target, parser.next_part(), parser.next_part()
    ('/a', RequestEnd(keep_alive=True), None)
    """

    def __init__(self, max_head_bytes: int) -> None:
        self.max_head_bytes = max_head_bytes
        self.parser = httptools.HttpRequestParser(self)
        self.parts: deque[RequestPart] = deque()
        # Received bytes, of which those before the position are parsed.
        self.input = b""
        self.position = 0
        # The last parsed bytes, which may hold the start of a blank line.
        self.tail = b""
        self.target = b""
        self.headers: list[tuple[bytes, bytes]] = []
        self.is_in_head = False
        self.is_in_body = False
        # Bytes of the body that are yet to be parsed, None if it is chunked.
        self.remaining_bytes: int | None = 0
        self.body_pieces: list[bytes] = []
        # Whether the parser is given a head whose parts are known.
        self.is_repeated_head = False
        # Bytes parsed since the last part was completed.
        self.framing_bytes = 0
        # Size of the last head, as far as it is parsed.
        self.head_bytes = 0
        # Items of lists in its headers, by their commas.
        self.head_items = 0
        # Lines and items of heads and pieces of bodies parsed so far.
        self.parsed_items = 0
        self.error: RequestError | None = None

    def feed(self, data: bytes) -> None:
        """Add received bytes."""
        if self.error is not None:
            return
        if self.position < len(self.input):
            data = self.input[self.position :] + data
        self.input = data
        self.position = 0

    def next_part(self) -> RequestPart | None:
        """Return the next part of the input, if any; raises RequestError.

        An error is raised after the parts before it.
        """
        while not self.parts:
            if self.error is not None:
                raise self.error
            if not self.parse_piece():
                return None
        return self.parts.popleft()

    @property
    def has_input(self) -> bool:
        """Return whether bytes of another request have arrived."""
        if self.parts or self.is_in_head or self.error:
            return True
        return self.find_request() < len(self.input)

    @property
    def has_rest(self) -> bool:
        """Return whether bytes after the last returned part have arrived."""
        return bool(self.parts or self.unparsed_bytes)

    @property
    def unparsed_bytes(self) -> int:
        """Return the number of received bytes that are not parsed yet."""
        return len(self.input) - self.position

    @property
    def held_bytes(self) -> int:
        """Return the memory that the input and the last head take."""
        lines_bytes = HEADER_OVERHEAD_BYTES * len(self.headers)
        items_bytes = LIST_ITEM_OVERHEAD_BYTES * self.head_items
        return len(self.input) + self.head_bytes + lines_bytes + items_bytes

    def discard(self) -> None:
        """Drop all that is held; nothing more is parsed."""
        self.error = self.error or RequestError("the input was discarded")
        self.parts.clear()
        self.body_pieces = []
        self.advance(len(self.input))
        self.release_head()

    def release_head(self) -> None:
        """Drop the head of a request that has been served."""
        self.target = b""
        self.headers = []
        self.head_bytes = self.head_items = 0

    def find_request(self) -> int:
        """Return the position in the input after blank lines."""
        match = BLANK_LINES.match(self.input, self.position)
        return match.end() if match else self.position

    def skip_blank_lines(self) -> None:
        """Skip blank lines before a request."""
        if not (self.is_in_head or self.is_in_body):
            position = self.find_request()
            self.count_framing(position - self.position)
            self.advance(position)

    def advance(self, position: int) -> None:
        """Mark the input before a position as parsed."""
        self.position = position
        if position == len(self.input):
            self.input = b""
            self.position = 0

    def count_framing(self, count_bytes: int) -> None:
        """Count bytes that completed no part, up to the limit."""
        self.framing_bytes += count_bytes
        # The limit of a head does not include the blank line at its end.
        blank_bytes = 0 if self.is_in_body else LINE_END_BYTES
        limit_bytes = self.max_head_bytes + blank_bytes
        if self.framing_bytes > limit_bytes and self.error is None:
            section = "framing of the body" if self.is_in_body else "head"
            self.error = RequestError(
                f"the {section} exceeds {self.max_head_bytes} bytes",
                is_head_too_large=not self.is_in_body,
            )

    def find_piece_end(self) -> int:
        """Return up to where the input may be parsed next.

        This is not beyond the end of the current request, which is followed
        by another one.
        """
        start, end = self.position, len(self.input)
        if self.is_in_body and self.remaining_bytes is not None:
            # A length that differs from the library's must not stop parsing.
            return min(end, start + max(1, self.remaining_bytes))
        if self.tail:
            joint = (
                self.tail + self.input[start : start + BLANK_LINE_TAIL_BYTES]
            )
            found = joint.find(BLANK_LINE)
            if found >= 0:
                return start + found + len(BLANK_LINE) - len(self.tail)
        end = min(end, start + PIECE_BYTES)
        found = self.input.find(BLANK_LINE, start, end)
        return end if found < 0 else found + len(BLANK_LINE)

    def parse_piece(self) -> bool:
        """Parse a piece of the input; return whether there was any."""
        self.skip_blank_lines()
        if not self.input or self.error is not None:
            return self.error is not None
        piece = self.take_piece()
        self.feed_parser(piece)
        if self.body_pieces:
            self.flush_body()
        if self.parts:
            self.framing_bytes = 0
        else:
            self.count_framing(len(piece))
        if self.error is not None:
            self.advance(len(self.input))
        return True

    def take_piece(self) -> bytes:
        """Take a piece off the input."""
        end = self.find_piece_end()
        piece = self.input[self.position : end]
        self.advance(end)
        if not self.is_in_body:
            if not self.is_in_head:
                self.head_bytes = self.head_items = self.framing_bytes = 0
            self.head_bytes += len(piece)
            self.head_items += piece.count(b",")
        elif self.remaining_bytes is not None:
            self.remaining_bytes -= len(piece)
            return piece
        last_bytes = piece[-BLANK_LINE_TAIL_BYTES:]
        if len(last_bytes) < BLANK_LINE_TAIL_BYTES:
            last_bytes = (self.tail + last_bytes)[-BLANK_LINE_TAIL_BYTES:]
        self.tail = last_bytes
        return piece

    def feed_parser(self, data: bytes) -> None:
        """Parse bytes; keep the first error, if any."""
        try:
            self.feed_until_upgrade(data)
        except httptools.HttpParserError as error:
            if self.error is None:
                self.error = RequestError(str(error))

    def feed_until_upgrade(self, data: bytes) -> None:
        """Parse bytes; raises HttpParserError."""
        try:
            self.parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            if self.parser.get_method() == CONNECT:
                self.error = RequestError("bytes after an upgrade")
            else:
                self.decline_upgrade()

    def flush_body(self) -> None:
        """Add the body's bytes as one part, before the end if it is there."""
        self.parsed_items += len(self.body_pieces)
        body = b"".join(self.body_pieces)
        self.body_pieces = []
        if self.parts and isinstance(self.parts[-1], RequestEnd):
            self.parts.insert(len(self.parts) - 1, body)
        else:
            self.parts.append(body)

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
        self.tail = b""
        self.parsed_items += len(self.headers) + self.head_items
        version = self.parser.get_http_version()
        read = [each for each in self.headers if each[0] in READ_HEADERS]
        hosts = [value for name, value in read if name == HOST]
        if len(hosts) > 1 or (not hosts and version == HTTP_1_1):
            self.fail("a request names one host")
        if not VISIBLE_ASCII.fullmatch(self.target):
            self.fail("the target holds other than visible ASCII")
        lengths = [value for name, value in read if name == CONTENT_LENGTH]
        is_chunked = any(name == TRANSFER_ENCODING for name, _ in read)
        # httptools has checked that a length is a number.
        self.remaining_bytes = (
            None if is_chunked else int(lengths[0]) if lengths else 0
        )
        expectations = [v.lower() for name, v in read if name == EXPECT]
        self.parts.append(
            RequestHead(
                CallerHead(
                    self.parser.get_method().decode(),
                    self.target.decode(),
                    tuple(self.headers),
                ),
                version,
                version == HTTP_1_1 and CONTINUE in expectations,
                self.head_bytes - LINE_END_BYTES,
            )
        )

    def fail(self, detail: str) -> None:
        """Stop parsing the connection with an error."""
        self.error = RequestError(detail)
        raise self.error

    def on_body(self, data: bytes) -> None:
        """Append bytes of the body."""
        self.body_pieces.append(data)

    def on_message_complete(self) -> None:
        """Finish a request, unless its body is yet to be parsed."""
        is_offer = self.parser.should_upgrade()
        if is_offer and self.parser.get_method() != CONNECT:
            return
        self.is_in_body = False
        self.tail = b""
        self.parts.append(RequestEnd(self.parser.should_keep_alive()))


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
