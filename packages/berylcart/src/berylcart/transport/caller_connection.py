"""Read the requests of one caller's connection and write their answers."""

from collections.abc import Awaitable, Callable, Iterable
from traceback import format_exception
from typing import NamedTuple

import anyio
import h11

from berylcart import events
from berylcart.state.errors import BerylcartError, Code
from berylcart.state.relayed import CallerHead, Headers, Refusal
from berylcart.state.routes import CallerLimits
from berylcart.transport.channel import Channel

MS_PER_S = 1000
HTTP_HEAD_TOO_LARGE = 431
# What a caller may send ahead while its request is served.
READ_AHEAD_BYTES = 64 * 2**10
# A caller that reads nothing must not hold a connection for ever.
ERROR_SEND_TIMEOUT_S = 1.0

FRAMING = (b"content-length", b"transfer-encoding")


def is_ambiguous(head: CallerHead) -> bool:
    """Tell whether a body's length could be read in two ways.

    >>> length = (b"content-length", b"3")
    >>> chunked = (b"transfer-encoding", b"chunked")
    >>> is_ambiguous(CallerHead("POST", "/", (length,)))
    False
    >>> is_ambiguous(CallerHead("POST", "/", (length, chunked)))
    True
    """
    lengths = head.values(FRAMING[0])
    codings = head.values(FRAMING[1])
    return len(lengths) + len(codings) > 1


class Exchange:
    """Hold one request and write its answer."""

    def __init__(
        self, connection: "CallerConnection", head: CallerHead, body: bytes
    ) -> None:
        self.connection = connection
        self.head = head
        self.body = body
        self.received_at_s = anyio.current_time()
        self.is_started = False
        self.is_finished = False

    async def start(self, status: int, headers: Headers) -> None:
        """Write the head of the answer."""
        self.is_started = True
        extra: Headers = ()
        if self.connection.is_last():
            extra = ((b"connection", b"close"),)
        await self.connection.write(
            h11.Response(status_code=status, headers=[*headers, *extra])
        )

    async def send(self, data: bytes) -> None:
        """Write the next bytes of the answer."""
        await self.connection.write(h11.Data(data=data))

    async def finish(self) -> None:
        """End a whole answer."""
        await self.connection.write(h11.EndOfMessage())
        self.is_finished = True

    async def answer(self, refusal: Refusal) -> None:
        """Write a whole answer of the gateway itself."""
        length = str(len(refusal.body)).encode()
        headers = (*refusal.headers, (FRAMING[0], length))
        await self.start(refusal.status, headers)
        await self.send(refusal.body)
        await self.finish()


class ConnectionRules(NamedTuple):
    """Hold what a connection asks of the gateway.

    handle answers one exchange; it may leave it unfinished, upon which the
    connection is cut.
    """

    handle: Callable[[Exchange], Awaitable[None]]
    limits: Callable[[], CallerLimits]
    refuse: Callable[[BerylcartError], Refusal]
    is_closing: Callable[[], bool]


class CallerConnection:
    """Serve one connection until it ends."""

    def __init__(self, channel: Channel, rules: ConnectionRules) -> None:
        self.channel = channel
        self.rules = rules
        self.http = h11.Connection(
            h11.SERVER,
            max_incomplete_event_size=rules.limits().head_bytes,
        )
        self.idle_scope: anyio.CancelScope | None = None

    def is_last(self) -> bool:
        """Tell whether the connection ends after this answer."""
        return self.rules.is_closing()

    async def write(self, event: h11.Event) -> None:
        """Write one part of an answer."""
        data = self.http.send(event)
        if data:
            await self.channel.send(data)

    async def run(self) -> None:
        """Answer requests one after another."""
        try:
            while await self.serve_next():
                self.http.start_next_cycle()
        except OSError as error:
            events.debug("caller.lost", detail=str(error))
        finally:
            self.channel.close()

    async def serve_next(self) -> bool:
        """Serve one request and tell whether another may follow."""
        try:
            exchange = await self.read_request()
        except h11.RemoteProtocolError as error:
            await self.refuse_malformed(error)
            return False
        except BerylcartError as error:
            await self.refuse(error)
            return False
        if exchange is None:
            return False
        await self.handle(exchange)
        if not exchange.is_finished:
            self.channel.reset()
            return False
        states = (self.http.our_state, self.http.their_state)
        return states == (h11.DONE, h11.DONE)

    async def handle(self, exchange: Exchange) -> None:
        """Handle a request unless its caller leaves first."""
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self.watch, tasks.cancel_scope)
            try:
                await self.rules.handle(exchange)
            except OSError as error:
                events.info("caller.unreachable", detail=str(error))
            except Exception as error:
                detail = "".join(format_exception(error))
                events.error("caller.fault", detail=detail)
            tasks.cancel_scope.cancel()

    async def watch(self, scope: anyio.CancelScope) -> None:
        """Cancel the handling of a request whose caller leaves."""
        ahead = 0
        while ahead < READ_AHEAD_BYTES:
            try:
                data = await self.channel.receive()
            except OSError:
                data = b""
            if not data:
                scope.cancel()
                return
            ahead += len(data)
            self.http.receive_data(data)

    async def read_request(self) -> Exchange | None:
        """Read the next request whole, or nothing when there is none.

        Raises BerylcartError on one that exceeds a limit.
        """
        if not await self.wait_for_bytes():
            return None
        limits = self.rules.limits()
        head: CallerHead | None = None
        with anyio.move_on_after(limits.head_timeout_ms / MS_PER_S) as scope:
            head = await self.read_head(limits)
        if scope.cancelled_caught:
            raise BerylcartError(
                Code.REQUEST_TIMEOUT,
                f"no whole head within {limits.head_timeout_ms} ms",
            )
        if head is None:
            return None
        body = await self.read_body(limits)
        return None if body is None else Exchange(self, head, body)

    async def wait_for_bytes(self) -> bool:
        """Wait for the first bytes of a request, up to the idle timeout."""
        if self.http.trailing_data[0]:
            return True
        idle_s = self.rules.limits().idle_timeout_ms / MS_PER_S
        with anyio.move_on_after(idle_s) as scope:
            self.idle_scope = scope
            if self.is_last():
                scope.cancel()
            try:
                data = await self.channel.receive()
            finally:
                self.idle_scope = None
        if scope.cancelled_caught or not data:
            return False
        self.http.receive_data(data)
        return True

    async def next_event(self) -> h11.Event | None:
        """Read the next part of a request, nothing at its broken end."""
        while True:
            event = self.http.next_event()
            if event is h11.PAUSED or isinstance(event, h11.ConnectionClosed):
                return None
            if event is not h11.NEED_DATA:
                assert isinstance(event, h11.Event)
                return event
            data = await self.channel.receive()
            if not data:
                return None
            self.http.receive_data(data)

    async def read_head(self, limits: CallerLimits) -> CallerHead | None:
        """Read the head of a request; raises BerylcartError."""
        event = await self.next_event()
        if not isinstance(event, h11.Request):
            return None
        head = CallerHead(
            event.method.decode(),
            event.target.decode(),
            tuple(
                (bytes(name), bytes(value)) for name, value in event.headers
            ),
        )
        if head_bytes(head) > limits.head_bytes:
            raise BerylcartError(
                Code.HEAD_TOO_LARGE,
                f"the head exceeds {limits.head_bytes} bytes",
            )
        if is_ambiguous(head):
            raise BerylcartError(
                Code.BAD_REQUEST, "the body's length is given twice"
            )
        return head

    async def read_body(self, limits: CallerLimits) -> bytes | None:
        """Read the body of a request; raises BerylcartError."""
        if self.http.they_are_waiting_for_100_continue:
            go_on = h11.InformationalResponse(status_code=100, headers=[])
            await self.write(go_on)
        body = bytearray()
        while True:
            with anyio.move_on_after(limits.idle_timeout_ms / MS_PER_S):
                event = await self.next_event()
                if isinstance(event, h11.EndOfMessage):
                    return bytes(body)
                if not isinstance(event, h11.Data):
                    return None
                body += event.data
                if len(body) > limits.body_bytes:
                    raise BerylcartError(
                        Code.BODY_TOO_LARGE,
                        f"the body exceeds {limits.body_bytes} bytes",
                    )
                continue
            raise BerylcartError(
                Code.REQUEST_TIMEOUT,
                f"no byte of the body within {limits.idle_timeout_ms} ms",
            )

    async def refuse_malformed(self, error: h11.RemoteProtocolError) -> None:
        """Refuse what is no request."""
        is_head = error.error_status_hint == HTTP_HEAD_TOO_LARGE
        code = Code.HEAD_TOO_LARGE if is_head else Code.BAD_REQUEST
        await self.refuse(BerylcartError(code, str(error)))

    async def refuse(self, error: BerylcartError) -> None:
        """Answer a request that was not read whole; the connection ends."""
        events.info(
            "caller.refused", code=int(error.code), detail=error.detail
        )
        refusal = self.rules.refuse(error)
        headers = [
            *refusal.headers,
            (FRAMING[0], str(len(refusal.body)).encode()),
            (b"connection", b"close"),
        ]
        if self.http.our_state not in (h11.IDLE, h11.SEND_RESPONSE):
            return
        with anyio.move_on_after(ERROR_SEND_TIMEOUT_S):
            await self.write(
                h11.Response(status_code=refusal.status, headers=headers)
            )
            await self.write(h11.Data(data=refusal.body))
            await self.write(h11.EndOfMessage())


def head_bytes(head: CallerHead) -> int:
    """Measure a head as it is written.

    >>> head_bytes(CallerHead("GET", "/", ((b"a", b"b"),)))
    22
    """
    line = len(head.method) + len(head.target) + len("  HTTP/1.1\r\n")
    return line + sum(header_bytes(head.headers))


def header_bytes(headers: Headers) -> Iterable[int]:
    """Measure each header as it is written."""
    return (len(name) + len(value) + len(": \r\n") for name, value in headers)
