"""Parse HTTP responses from the bytes of a connection."""

from collections import deque
from typing import NamedTuple

import httptools

from berylcart.protocol.response_heads import (
    CONTENT_LENGTH,
    INFORMATIONAL_STATUSES,
    TRANSFER_ENCODING,
    head_fault,
)
from berylcart.state.relay_messages import Headers

# Common servers limit heads to 8 to 64 KB; this is the largest of those
# limits.
MAX_HEAD_BYTES = 64 * 2**10
# Responses with these statuses have no body, whatever their headers say.
BODILESS_STATUSES = (204, 304)
# HttpParserUpgrade is not a subclass of HttpParserError. No request asks for
# an upgrade.
PARSER_ERRORS = (httptools.HttpParserError, httptools.HttpParserUpgrade)


class AnswerError(Exception):
    """Report bytes that are not a valid HTTP response.

    The class keeps its name because details of failed calls carry it to
    callers.
    """


class ResponseHead(NamedTuple):
    """Hold a final response's status and headers, names in lower case."""

    status: int
    headers: Headers


class ResponseEnd(NamedTuple):
    """Mark the end of a complete response."""


ResponsePart = ResponseHead | ResponseEnd | bytes


class ResponseParser:
    r"""Parse responses incrementally.

    Set is_response_to_head for the response to a HEAD request, which has no
    body.

    At most MAX_HEAD_BYTES may arrive without completing a part. This bounds a
    head together with the informational responses and blank lines before it,
    and the framing of a body (chunk sizes and extensions, trailers). Most of
    these bytes reach no parser callback, so feed() counts its input and resets
    the count when it completes a part. The limit can therefore be exceeded by
    less than the size of one feed.

    >>> parser = ResponseParser()
    >>> parser.feed(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nab")
    >>> parser.next_part()
    ResponseHead(status=200, headers=((b'content-length', b'2'),))
    >>> parser.next_part(), parser.next_part(), parser.is_reusable
    (b'ab', ResponseEnd(), True)
    """

    def __init__(self, is_response_to_head: bool = False) -> None:
        self.is_response_to_head = is_response_to_head
        self.parser = httptools.HttpResponseParser(self)
        self.parts: deque[ResponsePart] = deque()
        self.headers: list[tuple[bytes, bytes]] = []
        self.reason = b""
        self.is_in_message = False
        self.is_in_body = False
        self.is_close_delimited = False
        self.keep_alive = True
        # Bytes fed since the last part was completed.
        self.framing_bytes = 0
        self.error: AnswerError | None = None

    def feed(self, data: bytes) -> None:
        """Parse bytes; next_part raises an error after the parts before it."""
        if self.error is not None:
            return
        previous_parts = len(self.parts)
        try:
            self.parser.feed_data(data)
        except PARSER_ERRORS as error:
            # The parser wraps an error that a callback raised.
            cause = error.__context__
            self.error = (
                cause
                if isinstance(cause, AnswerError)
                else AnswerError(f"{type(error).__name__}: {error}")
            )
        if len(self.parts) > previous_parts:
            self.framing_bytes = 0
            return
        self.framing_bytes += len(data)
        if self.framing_bytes > MAX_HEAD_BYTES and self.error is None:
            self.error = AnswerError(
                f"{MAX_HEAD_BYTES} bytes without a head or a body"
            )

    def feed_eof(self) -> None:
        """Handle the end of the connection.

        This completes a response whose body is delimited by the end of the
        connection. Raises ConnectionResetError when a response is incomplete.
        """
        if not self.ends_with_connection:
            raise ConnectionResetError("closed before the answer's end")
        self.keep_alive = False
        self.on_message_complete()

    def next_part(self) -> ResponsePart | None:
        """Return the next parsed part, if any; raises AnswerError."""
        if self.parts:
            return self.parts.popleft()
        if self.error is not None:
            raise self.error
        return None

    @property
    def ends_with_connection(self) -> bool:
        """Return whether the end of the connection completes a response."""
        return self.is_in_body and self.is_close_delimited

    @property
    def is_reusable(self) -> bool:
        """Return whether another request may use the connection."""
        is_idle = (
            not self.parts and not self.is_in_message and self.error is None
        )
        return is_idle and self.keep_alive and not self.is_response_to_head

    def on_message_begin(self) -> None:
        """Start a response."""
        self.is_in_message = True
        self.headers = []
        self.reason = b""

    def on_status(self, reason: bytes) -> None:
        """Store a part of the reason."""
        self.reason += reason

    def on_header(self, name: bytes, value: bytes) -> None:
        """Store a header; trailers are discarded."""
        if not self.is_in_body:
            self.headers.append((name.lower(), value))

    def on_headers_complete(self) -> None:
        """Finish the head of a response; raises AnswerError."""
        status = self.parser.get_status_code()
        headers = tuple(self.headers)
        fault = head_fault(
            self.parser.get_http_version(), status, self.reason, headers
        )
        if fault is not None:
            raise AnswerError(f"the head has {fault}")
        if status in INFORMATIONAL_STATUSES:
            return
        self.parts.append(ResponseHead(status, headers))
        names = [name for name, _ in headers]
        self.is_close_delimited = (
            CONTENT_LENGTH not in names and TRANSFER_ENCODING not in names
        )
        self.is_close_delimited = (
            self.is_close_delimited and status not in BODILESS_STATUSES
        )
        self.is_in_body = True
        if self.is_response_to_head:
            self.on_message_complete()

    def on_body(self, data: bytes) -> None:
        """Append bytes of the body."""
        if not self.is_response_to_head:
            self.parts.append(data)

    def on_message_complete(self) -> None:
        """Finish a response, unless it is an informational one."""
        self.is_in_message = False
        if not self.is_in_body:
            return
        self.is_in_body = False
        self.keep_alive = self.keep_alive and self.parser.should_keep_alive()
        self.parts.append(ResponseEnd())
