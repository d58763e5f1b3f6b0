"""Send HTTP requests and tell unsent ones from interrupted ones."""

import re
from collections.abc import (
    AsyncGenerator,
    AsyncIterator,
    Iterator,
    Mapping,
)
from contextlib import asynccontextmanager, contextmanager
from types import TracebackType
from typing import NamedTuple, Self

import anyio

from berylcart.protocol.http_answers import AnswerError
from berylcart.state.errors import BerylcartError, Code, Ran
from berylcart.state.relayed import Headers
from berylcart.transport.connections import MAX_CONNECTIONS, Connections
from berylcart.transport.upstream_connection import (
    UpstreamConnection,
    write_head,
)

MS_PER_S = 1000
CONNECT_TIMEOUT_MS = 1000
MAX_BODY_BYTES = 16 << 20

CONTROL = re.compile(r"[\x00-\x1f\x7f]")

FAILURES = (AnswerError, BerylcartError, OSError, ValueError)


class HttpError(BerylcartError):
    """Report an HTTP call without a whole answer.

    is_sent says whether any byte of the request may have been written.
    """

    def __init__(self, detail: str, *, is_sent: bool) -> None:
        ran = Ran.UNKNOWN if is_sent else Ran.NO
        super().__init__(Code.PEER_UNAVAILABLE, detail, ran=ran)
        self.is_sent = is_sent


class HttpTimeoutError(HttpError):
    """Report an HTTP call that took longer than its timeout."""


class HttpTooLargeError(HttpError):
    """Report an answer whose body exceeds its limit."""


class HttpRequest(NamedTuple):
    """Describe one request; address is IP:PORT, body is JSON."""

    method: str
    address: str
    path: str
    body: bytes = b""
    headers: tuple[tuple[str, str], ...] = ()
    timeout_ms: int = 5000


class HttpAnswer(NamedTuple):
    """Hold one whole answer; header names are in lower case."""

    status: int
    headers: Mapping[str, str]
    body: bytes


class HttpStream(NamedTuple):
    """Hold an answer whose body is still arriving."""

    status: int
    headers: Mapping[str, str]
    chunks: AsyncIterator[bytes]

    async def read_body(self, max_bytes: int = MAX_BODY_BYTES) -> bytes:
        """Read the rest of the body; raises HttpTooLargeError."""
        body = bytearray()
        async for chunk in self.chunks:
            body += chunk
            if len(body) > max_bytes:
                detail = "the answer is too large"
                raise HttpTooLargeError(detail, is_sent=True)
        return bytes(body)


def retry_after_ms(headers: Mapping[str, str]) -> int | None:
    """Read the Retry-After header, which counts whole seconds.

    >>> retry_after_ms({"retry-after": "2"}), retry_after_ms({})
    (2000, None)
    """
    text = headers.get("retry-after", "")
    if not (text.isascii() and text.isdigit() and len(text) < 10):
        return None
    return int(text) * MS_PER_S


def read_headers(pairs: Headers) -> dict[str, str]:
    """Read headers with their names in lower case.

    >>> read_headers(((b"Retry-After", b"1"),))
    {'retry-after': '1'}
    """
    return {
        name.decode("latin-1").lower(): value.decode("latin-1")
        for name, value in pairs
    }


def encode_text(text: str) -> bytes:
    """Encode a part of a request's head.

    Raises ValueError on text that no head can carry.
    """
    if CONTROL.search(text):
        raise ValueError("a control character in the head")
    return text.encode("latin-1")


def write_request(request: HttpRequest) -> bytes:
    """Write a request's head; raises ValueError."""
    headers = [
        ("Host", request.address),
        ("Content-Type", "application/json"),
        ("Content-Length", str(len(request.body))),
        *request.headers,
    ]
    lines = [encode_text(f"{name}: {value}") for name, value in headers]
    encode_text(request.path)
    return write_head(request.method, request.path, lines)


class Sending:
    """Note whether a request may have begun to be written."""

    def __init__(self) -> None:
        self.connection: UpstreamConnection | None = None

    @property
    def is_sent(self) -> bool:
        """Tell whether any byte may have been written."""
        return self.connection is not None and self.connection.is_sent

    @contextmanager
    def failures_reported(self) -> Iterator[None]:
        """Turn failures of the connection into HttpError."""
        try:
            yield
        except TimeoutError as error:
            raise HttpTimeoutError(
                "no connection in time", is_sent=self.is_sent
            ) from error
        except FAILURES as error:
            raise HttpError(
                f"{type(error).__name__}: {error}", is_sent=self.is_sent
            ) from error


class HttpClient:
    """Send requests over kept connections; close it with aclose."""

    def __init__(self, max_connections: int = MAX_CONNECTIONS) -> None:
        self.connections = Connections(max_connections)

    async def __aenter__(self) -> Self:
        """Give the client itself."""
        return self

    async def __aexit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        """Close every connection."""
        await self.aclose()

    async def aclose(self) -> None:
        """Close every connection."""
        self.connections.close()

    async def request(self, request: HttpRequest) -> HttpAnswer:
        """Send a request and read its whole answer; raises HttpError."""
        async with self.stream(request) as stream:
            body = await stream.read_body()
            return HttpAnswer(stream.status, stream.headers, body)

    @asynccontextmanager
    async def stream(self, request: HttpRequest) -> AsyncGenerator[HttpStream]:
        """Send a request and read its answer as it arrives.

        Raises HttpError. Leaving the block early closes the connection.
        """
        sending = Sending()
        with anyio.move_on_after(request.timeout_ms / MS_PER_S) as scope:
            async with self.open(request, sending) as stream:
                yield stream
        if scope.cancelled_caught:
            raise HttpTimeoutError(
                f"no whole answer within {request.timeout_ms} ms",
                is_sent=sending.is_sent,
            )

    @asynccontextmanager
    async def open(
        self, request: HttpRequest, sending: Sending
    ) -> AsyncGenerator[HttpStream]:
        """Open an answer on a connection that is given back afterwards."""
        with sending.failures_reported():
            head = write_request(request)
            connection = await self.connections.borrow(
                request.address,
                min(CONNECT_TIMEOUT_MS, request.timeout_ms) / MS_PER_S,
            )
        sending.connection = connection
        body = Body(connection, sending)
        try:
            with sending.failures_reported():
                await connection.send(request.method, head, request.body)
                status, headers = await connection.read_head()
            yield HttpStream(status, read_headers(headers), body.chunks())
        finally:
            self.connections.give_back(connection, body.is_whole)


class Body:
    """Read the body of an answer and note whether it was read whole."""

    def __init__(
        self, connection: UpstreamConnection, sending: Sending
    ) -> None:
        self.connection = connection
        self.sending = sending
        self.is_whole = False

    async def chunks(self) -> AsyncIterator[bytes]:
        """Read the parts of the body as they arrive."""
        while (data := await self.read()) is not None:
            yield data
        self.is_whole = True

    async def read(self) -> bytes | None:
        """Read the next part, None after the last one; raises HttpError."""
        with self.sending.failures_reported():
            return await self.connection.read_data()
