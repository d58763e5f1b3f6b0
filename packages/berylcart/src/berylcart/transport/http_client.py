"""Send HTTP requests; errors tell whether a request may have been sent."""

import re
from collections.abc import (
    AsyncGenerator,
    AsyncIterator,
    Callable,
    Iterator,
    Mapping,
)
from contextlib import asynccontextmanager, contextmanager
from enum import Enum, auto
from types import TracebackType
from typing import NamedTuple, Self

import anyio

from berylcart import events
from berylcart.clock import now_s
from berylcart.coordination.gateway.buffer_budget import (
    BufferAccount,
    BufferBudget,
)
from berylcart.protocol.http_responses import AnswerError
from berylcart.state.errors import BerylcartError, Code, Ran
from berylcart.state.relay_messages import Headers
from berylcart.transport.channel import DEFAULT_KEEP_ALIVE, KeepAlive
from berylcart.transport.connection_pool import MAX_CONNECTIONS, ConnectionPool
from berylcart.transport.upstream_connection import (
    UpstreamConnection,
    write_head,
)

MS_PER_S = 1000
CONNECT_TIMEOUT_MS = 1000
# Limit on stale responses that may precede the one to a request.
MAX_STALE_RESPONSES = 2
MAX_BODY_BYTES = 16 << 20
# A limit below this holds for successful responses only: an error page may be
# longer than the response that was asked for.
MAX_ERROR_BODY_BYTES = 64 << 10
HTTP_ERRORS = range(400, 600)

CONTROL_CHARACTERS = re.compile(r"[\x00-\x1f\x7f]")

CONNECTION_ERRORS = (AnswerError, BerylcartError, OSError, ValueError)


class HttpError(BerylcartError):
    """Report an HTTP call without a complete response.

    is_sent tells whether any byte of the request may have been sent.
    """

    def __init__(self, detail: str, *, is_sent: bool) -> None:
        ran = Ran.UNKNOWN if is_sent else Ran.NO
        super().__init__(Code.PEER_UNAVAILABLE, detail, ran=ran)
        self.is_sent = is_sent


class HttpTimeoutError(HttpError):
    """Report an HTTP call that exceeded its timeout."""


class HttpTooLargeError(HttpError):
    """Report a response that exceeds its size limit or the memory limit."""


class HttpRequest(NamedTuple):
    """Describe one request; address is IP:PORT, body is JSON.

    max_body_bytes limits the body of a successful response.
    """

    method: str
    address: str
    path: str
    body: bytes = b""
    headers: tuple[tuple[str, str], ...] = ()
    timeout_ms: int = 5000
    max_body_bytes: int = MAX_BODY_BYTES


class HttpResponse(NamedTuple):
    """Hold a complete response; header names are in lower case."""

    status: int
    headers: Mapping[str, str]
    body: bytes


class ResponseMatch(Enum):
    """List to which request a response belongs.

    After a response that is OWN_OR_STALE the connection is closed, since the
    one to this request may follow on it.
    """

    OWN = auto()
    STALE = auto()
    OWN_OR_STALE = auto()


# Classifies a response. The set holds marks of the earlier responses of the
# connection and gets those of this one.
ResponseMatcher = Callable[[HttpResponse, set[str]], ResponseMatch]


def match_any(response: HttpResponse, seen_marks: set[str]) -> ResponseMatch:
    """Take every response for the request's own."""
    return ResponseMatch.OWN


class HttpStreamingResponse(NamedTuple):
    """Hold a response whose body is still arriving.

    What read_body() holds counts in the account, if there is one.
    """

    status: int
    headers: Mapping[str, str]
    chunks: AsyncIterator[bytes]
    body: "ResponseBody"
    account: BufferAccount | None = None

    async def read_body(self, max_bytes: int = MAX_BODY_BYTES) -> bytes:
        """Read the rest of the body; raises HttpTooLargeError."""
        if self.status in HTTP_ERRORS:
            max_bytes = max(max_bytes, MAX_ERROR_BODY_BYTES)
        body = bytearray()
        async for chunk in self.chunks:
            body += chunk
            if self.account is not None:
                self.account.add(len(chunk))
            if len(body) > max_bytes:
                detail = "the answer is too large"
                raise HttpTooLargeError(detail, is_sent=True)
        return bytes(body)


def retry_after_ms(headers: Mapping[str, str]) -> int | None:
    """Parse the Retry-After header, given in whole seconds.

    >>> retry_after_ms({"retry-after": "2"}), retry_after_ms({})
    (2000, None)
    """
    text = headers.get("retry-after", "")
    if not (text.isascii() and text.isdigit() and len(text) < 10):
        return None
    return int(text) * MS_PER_S


def read_headers(pairs: Headers) -> dict[str, str]:
    """Decode headers, with their names in lower case.

    >>> read_headers(((b"Retry-After", b"1"),))
    {'retry-after': '1'}
    """
    return {
        name.decode("latin-1").lower(): value.decode("latin-1")
        for name, value in pairs
    }


def encode_head_text(text: str) -> bytes:
    """Encode text for the head of a request.

    Raises ValueError on control characters and on text outside latin-1.
    """
    if CONTROL_CHARACTERS.search(text):
        raise ValueError("a control character in the head")
    return text.encode("latin-1")


def write_request(request: HttpRequest) -> bytes:
    """Serialize the head of a request; raises ValueError."""
    headers = [
        ("Host", request.address),
        ("Content-Type", "application/json"),
        ("Content-Length", str(len(request.body))),
        *request.headers,
    ]
    lines = [encode_head_text(f"{name}: {value}") for name, value in headers]
    encode_head_text(request.path)
    return write_head(request.method, request.path, lines)


class SendState:
    """Track whether any byte of a request may have been sent."""

    def __init__(self) -> None:
        self.connection: UpstreamConnection | None = None

    @property
    def is_sent(self) -> bool:
        """Return whether any byte may have been sent."""
        return self.connection is not None and self.connection.is_sent

    @contextmanager
    def convert_failures(self) -> Iterator[None]:
        """Convert failures of the connection to HttpError."""
        try:
            yield
        except TimeoutError as error:
            detail = "the connection timed out"
            if not self.is_sent:
                detail = "no connection in time"
            raise HttpTimeoutError(detail, is_sent=self.is_sent) from error
        except CONNECTION_ERRORS as error:
            raise HttpError(
                f"{type(error).__name__}: {error}", is_sent=self.is_sent
            ) from error


class HttpClient:
    """Send requests over pooled connections; close it with aclose."""

    def __init__(
        self,
        max_connections: int = MAX_CONNECTIONS,
        keep_alive: KeepAlive = DEFAULT_KEEP_ALIVE,
        buffer_budget: BufferBudget | None = None,
    ) -> None:
        self.pool = ConnectionPool(max_connections, keep_alive)
        self.buffer_budget = buffer_budget or BufferBudget()

    async def __aenter__(self) -> Self:
        """Return the client itself."""
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
        self.pool.close()

    async def request(
        self, request: HttpRequest, match: ResponseMatcher = match_any
    ) -> HttpResponse:
        """Send a request and read the complete response; raises HttpError.

        Responses that match finds stale are discarded.
        """
        async with self.stream(request) as stream:
            connection = stream.body.connection
            for _ in range(MAX_STALE_RESPONSES + 1):
                body = await stream.read_body(request.max_body_bytes)
                response = HttpResponse(stream.status, stream.headers, body)
                found = match(response, connection.seen_marks)
                if found is not ResponseMatch.STALE:
                    if found is ResponseMatch.OWN_OR_STALE:
                        connection.is_broken = True
                    return response
                events.warning(
                    "upstream.stale_response_discarded",
                    address=request.address,
                    path=request.path,
                )
                if stream.account is not None:
                    stream.account.release()
                stream = await stream.body.next_response(stream.account)
            raise HttpError("no answer to this request", is_sent=True)

    @asynccontextmanager
    async def stream(
        self, request: HttpRequest
    ) -> AsyncGenerator[HttpStreamingResponse]:
        """Send a request and stream the response body.

        Raises HttpError. Leaving the block early closes the connection.
        """
        send_state = SendState()
        with anyio.move_on_after(request.timeout_ms / MS_PER_S) as scope:
            account = self.buffer_budget.open_account(scope.cancel)
            account.waiting_since_s = now_s()
            try:
                async with self.open_stream(request, send_state) as stream:
                    yield stream._replace(account=account)
            finally:
                account.release()
        if account.is_evicted:
            raise HttpTooLargeError(
                "no memory for the answer", is_sent=send_state.is_sent
            )
        if scope.cancelled_caught:
            raise HttpTimeoutError(
                f"no whole answer within {request.timeout_ms} ms",
                is_sent=send_state.is_sent,
            )

    @asynccontextmanager
    async def open_stream(
        self, request: HttpRequest, send_state: SendState
    ) -> AsyncGenerator[HttpStreamingResponse]:
        """Send a request on a pooled connection; release it on exit."""
        with send_state.convert_failures():
            head = write_request(request)
            connection = await self.pool.acquire(
                request.address,
                min(CONNECT_TIMEOUT_MS, request.timeout_ms) / MS_PER_S,
            )
        send_state.connection = connection
        body = ResponseBody(connection, send_state)
        try:
            with send_state.convert_failures():
                await connection.send(request.method, head, request.body)
            yield await body.next_response()
        except HttpError:
            # What ended this connection may have ended idle ones unnoticed.
            self.pool.discard_idle(request.address)
            connection.is_broken = True
            raise
        finally:
            self.pool.release(connection, body.is_complete)


class ResponseBody:
    """Read a response body and track whether it is complete."""

    def __init__(
        self, connection: UpstreamConnection, send_state: SendState
    ) -> None:
        self.connection = connection
        self.send_state = send_state
        self.is_complete = False

    async def next_response(
        self, account: BufferAccount | None = None
    ) -> HttpStreamingResponse:
        """Read the head of the next response; raises HttpError."""
        self.is_complete = False
        with self.send_state.convert_failures():
            status, headers = await self.connection.read_head()
        return HttpStreamingResponse(
            status, read_headers(headers), self.chunks(), self, account
        )

    async def chunks(self) -> AsyncIterator[bytes]:
        """Yield the parts of the body as they arrive."""
        while (data := await self.read()) is not None:
            yield data
        self.is_complete = True

    async def read(self) -> bytes | None:
        """Return the next part, None at the end; raises HttpError."""
        with self.send_state.convert_failures():
            return await self.connection.read_data()
