"""Send HTTP requests and tell unsent ones from interrupted ones."""

import re
from collections.abc import AsyncGenerator, AsyncIterator, Mapping
from contextlib import asynccontextmanager
from types import TracebackType
from typing import Any, NamedTuple, Self

import anyio
import httpcore

from berylcart.state.errors import BerylcartError, Code, Ran
from berylcart.transport.connections import (
    MAX_CONNECTIONS,
    Connections,
    split_address,
)

MS_PER_S = 1000
CONNECT_TIMEOUT_MS = 1000
MAX_BODY_BYTES = 16 << 20
SENDING_EVENT = "http11.send_request_headers.started"

CONTROL = re.compile(r"[\x00-\x1f\x7f]")

FAILURES = (
    httpcore.NetworkError,
    httpcore.ProtocolError,
    httpcore.UnsupportedProtocol,
)


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


def read_headers(pairs: list[tuple[bytes, bytes]]) -> dict[str, str]:
    """Read headers with their names in lower case.

    >>> read_headers([(b"Retry-After", b"1")])
    {'retry-after': '1'}
    """
    return {
        name.decode("latin-1").lower(): value.decode("latin-1")
        for name, value in pairs
    }


class SendWatch:
    """Note whether a request may have begun to be written."""

    def __init__(self) -> None:
        self.is_sent = False

    async def __call__(self, event: str, info: Mapping[str, Any]) -> None:
        """Take one trace event of httpcore."""
        if event == SENDING_EVENT:
            self.is_sent = True


def encode_text(text: str) -> bytes:
    """Encode a part of a request's head.

    Raises httpcore.LocalProtocolError on text that no head can carry.
    """
    if CONTROL.search(text):
        raise httpcore.LocalProtocolError("a control character in the head")
    try:
        return text.encode("latin-1")
    except UnicodeEncodeError:
        raise httpcore.LocalProtocolError("the head is not Latin-1") from None


def write_request(request: HttpRequest, watch: SendWatch) -> httpcore.Request:
    """Write a request for httpcore."""
    host, port = split_address(request.address)
    headers = [
        ("Host", request.address),
        ("Content-Type", "application/json"),
        ("Content-Length", str(len(request.body))),
        *request.headers,
    ]
    connect_ms = min(CONNECT_TIMEOUT_MS, request.timeout_ms)
    return httpcore.Request(
        request.method,
        httpcore.URL(
            scheme=b"http",
            host=host,
            port=port,
            target=encode_text(request.path),
        ),
        headers=[(encode_text(a), encode_text(b)) for a, b in headers],
        content=request.body,
        extensions={
            "timeout": {"connect": connect_ms / MS_PER_S},
            "trace": watch,
        },
    )


def timed_out(request: HttpRequest, watch: SendWatch) -> HttpTimeoutError:
    """Describe a request without a whole answer in time."""
    return HttpTimeoutError(
        f"no whole answer within {request.timeout_ms} ms",
        is_sent=watch.is_sent,
    )


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
        await self.connections.aclose()

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
        watch = SendWatch()
        try:
            with anyio.move_on_after(request.timeout_ms / MS_PER_S) as scope:
                async with self.open(request, watch) as response:
                    yield HttpStream(
                        response.status,
                        read_headers(response.headers),
                        response.aiter_stream(),
                    )
        except httpcore.TimeoutException as error:
            raise timed_out(request, watch) from error
        except FAILURES as error:
            raise HttpError(
                f"{type(error).__name__}: {error}", is_sent=watch.is_sent
            ) from error
        if scope.cancelled_caught:
            raise timed_out(request, watch)

    @asynccontextmanager
    async def open(
        self, request: HttpRequest, watch: SendWatch
    ) -> AsyncGenerator[httpcore.Response]:
        """Open an answer on a connection that is given back afterwards."""
        message = write_request(request, watch)
        connection = await self.connections.borrow(request.address)
        try:
            response = await connection.handle_async_request(message)
            try:
                yield response
            finally:
                with anyio.CancelScope(shield=True):
                    await response.aclose()
        finally:
            with anyio.CancelScope(shield=True):
                await self.connections.give_back(request.address, connection)
