"""Turn the bytes of a connection into the answers that came on it."""

from collections import deque
from typing import NamedTuple

import httptools

from berylcart.state.relayed import Headers

# Usual servers refuse heads of 8 to 64 KB; the largest of them holds here.
MAX_HEAD_BYTES = 64 * 2**10
INFORMATIONAL = range(100, 200)
# Statuses whose answers have no body whatever their headers say.
BODILESS = (204, 304)
# An upgrade, which is never asked for, is no kind of HttpParserError.
PARSER_ERRORS = (httptools.HttpParserError, httptools.HttpParserUpgrade)
LENGTH = b"content-length"
CODING = b"transfer-encoding"


class AnswerError(Exception):
    """Report bytes that are no answer in the protocol."""


class AnswerHead(NamedTuple):
    """Hold a final answer's status and headers, names in lower case."""

    status: int
    headers: Headers


class AnswerEnd(NamedTuple):
    """Mark the end of a whole answer."""


Part = AnswerHead | AnswerEnd | bytes


class AnswerParser:
    r"""Read answers; is_head_only where they come without their bodies.

    At most MAX_HEAD_BYTES may arrive between two parts: a head together with
    the informational answers and blank lines before it, or what frames a
    body (chunk sizes and extensions, trailers). Most of these bytes reach no
    callback, so bytes are counted as they are fed. A feed that gives out a
    part sets the count to zero; the excess is below the size of one feed.

    >>> parser = AnswerParser()
    >>> parser.feed(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nab")
    >>> parser.take()
    AnswerHead(status=200, headers=((b'content-length', b'2'),))
    >>> parser.take(), parser.take(), parser.is_reusable
    (b'ab', AnswerEnd(), True)
    """

    def __init__(self, is_head_only: bool = False) -> None:
        self.is_head_only = is_head_only
        self.parser = httptools.HttpResponseParser(self)
        self.parts: deque[Part] = deque()
        self.headers: list[tuple[bytes, bytes]] = []
        self.is_begun = False
        self.is_in_body = False
        self.needs_end = False
        self.is_kept = True
        # Bytes fed since the last part.
        self.framing_bytes = 0
        self.error: AnswerError | None = None

    def feed(self, data: bytes) -> None:
        """Take bytes; an error shows once what came before is taken."""
        if self.error is not None:
            return
        known_parts = len(self.parts)
        try:
            self.parser.feed_data(data)
        except PARSER_ERRORS as error:
            self.error = AnswerError(f"{type(error).__name__}: {error}")
        if len(self.parts) > known_parts:
            self.framing_bytes = 0
            return
        self.framing_bytes += len(data)
        if self.framing_bytes > MAX_HEAD_BYTES and self.error is None:
            self.error = AnswerError(
                f"{MAX_HEAD_BYTES} bytes without a head or a body"
            )

    def feed_end(self) -> None:
        """Take the connection's end, which ends an answer without length.

        Raises ConnectionResetError where an answer is broken off.
        """
        if not (self.is_in_body and self.needs_end):
            raise ConnectionResetError("closed before the answer's end")
        self.is_kept = False
        self.on_message_complete()

    def take(self) -> Part | None:
        """Take the next part that has arrived; raises AnswerError."""
        if self.parts:
            return self.parts.popleft()
        if self.error is not None:
            raise self.error
        return None

    @property
    def is_reusable(self) -> bool:
        """Tell whether nothing but whole answers came, and more may."""
        is_idle = not self.parts and not self.is_begun and self.error is None
        return is_idle and self.is_kept and not self.is_head_only

    def on_message_begin(self) -> None:
        """Begin an answer."""
        self.is_begun = True
        self.headers = []

    def on_header(self, name: bytes, value: bytes) -> None:
        """Take a header, or a trailer, which is dropped."""
        if not self.is_in_body:
            self.headers.append((name.lower(), value))

    def on_headers_complete(self) -> None:
        """End the head of an answer."""
        status = self.parser.get_status_code()
        if status in INFORMATIONAL:
            return
        self.parts.append(AnswerHead(status, tuple(self.headers)))
        names = [name for name, _ in self.headers]
        self.needs_end = LENGTH not in names and CODING not in names
        self.needs_end = self.needs_end and status not in BODILESS
        self.is_in_body = True
        if self.is_head_only:
            self.on_message_complete()

    def on_body(self, data: bytes) -> None:
        """Take bytes of the body."""
        if not self.is_head_only:
            self.parts.append(data)

    def on_message_complete(self) -> None:
        """End an answer, unless only an informational one."""
        self.is_begun = False
        if not self.is_in_body:
            return
        self.is_in_body = False
        self.is_kept = self.is_kept and self.parser.should_keep_alive()
        self.parts.append(AnswerEnd())
