"""Serve the HTTP requests of one caller's connection."""

from collections.abc import Awaitable, Callable
from traceback import format_exception
from typing import NamedTuple

import anyio

from berylcart import events
from berylcart.clock import now_s
from berylcart.coordination.gateway.held_bytes import HeldBytes
from berylcart.protocol.http_requests import (
    CONNECTION,
    CONTENT_LENGTH,
    CONTINUE_RESPONSE,
    HTTP_1_1,
    RequestEnd,
    RequestError,
    RequestHead,
    RequestParser,
    RequestPart,
    ResponseWriter,
    has_ambiguous_length,
    head_bytes,
)
from berylcart.state.errors import BerylcartError, Code
from berylcart.state.relayed import CallerHead, Headers, Refusal
from berylcart.state.routes import CallerLimits
from berylcart.transport.channel import Channel

MS_PER_S = 1000
# How much a caller may pipeline while its request is served.
READ_AHEAD_BYTES = 64 * 2**10
# Minimum average rate of a body after a grace period. It is below the rate of
# the slowest mobile links (GPRS, 1 KB/s).
MIN_BODY_BYTES_PER_S = 512
# Length of the grace period in idle timeouts. It allows one pause before the
# body and one within it.
BODY_GRACE_IDLE_TIMEOUTS = 2
# Bounds the time for which a caller that reads nothing holds a connection.
ERROR_SEND_TIMEOUT_S = 1.0
# How long to read and discard what a rejected caller still sends. Closing a
# socket with unread input resets the connection, and the caller might not
# receive the error response.
LINGER_TIMEOUT_S = 1.0
# Matches the retry delay of most other rejections by a daemon.
OVERLOADED_RETRY_AFTER_MS = 500

CLOSE_HEADER = (CONNECTION, b"close")


def body_time_limit_s(received_bytes: int, idle_timeout_s: float) -> float:
    """Return the time limit of a body, in seconds since its head.

    The limit grows with the bytes received so far.

    >>> body_time_limit_s(0, 15.0), body_time_limit_s(5120, 15.0)
    (30.0, 40.0)
    """
    grace_s = BODY_GRACE_IDLE_TIMEOUTS * idle_timeout_s
    return grace_s + received_bytes / MIN_BODY_BYTES_PER_S


class Exchange:
    """Hold one request and write its response."""

    def __init__(
        self,
        connection: "CallerConnection",
        head: CallerHead,
        body: bytes,
        writer: ResponseWriter,
    ) -> None:
        self.connection = connection
        self.head = head
        self.body = body
        self.writer = writer
        self.received_at_s = now_s()
        self.is_started = False
        self.is_finished = False
        # Whether the response carries the header "Connection: close".
        self.closes_after = False

    async def start(self, status: int, headers: Headers) -> None:
        """Write the head of the response."""
        self.is_started = True
        self.closes_after = self.connection.closes_after()
        extra_headers = (CLOSE_HEADER,) if self.closes_after else ()
        await self.write(self.writer.start(status, (*headers, *extra_headers)))

    async def write(self, data: bytes) -> None:
        """Write bytes; those that wait for the caller count as held."""
        unsent = self.connection.channel.try_send(data)
        if unsent:
            with self.connection.holder.waiting(len(unsent)):
                await self.connection.channel.send(unsent)

    def hold(self, count_bytes: int) -> None:
        """Add to the held bytes of this caller; negative to subtract."""
        self.connection.holder.add(count_bytes)

    async def send(self, data: bytes) -> None:
        """Write the next bytes of the response body."""
        await self.write(self.writer.data(data))

    async def finish(self) -> None:
        """Finish the response."""
        await self.write(self.writer.end())
        self.is_finished = True

    async def answer(self, refusal: Refusal) -> None:
        """Write a complete response that the gateway itself gives."""
        content_length = str(len(refusal.body)).encode()
        await self.start(
            refusal.status,
            (*refusal.headers, (CONTENT_LENGTH, content_length)),
        )
        await self.send(refusal.body)
        await self.finish()


class ConnectionRules(NamedTuple):
    """Hold the callbacks and the memory accounting of connections.

    handle responds to one exchange. If it returns without finishing the
    response, the connection is reset.
    """

    handle: Callable[[Exchange], Awaitable[None]]
    limits: Callable[[], CallerLimits]
    refuse: Callable[[BerylcartError], Refusal]
    is_closing: Callable[[], bool]
    held: HeldBytes = HeldBytes()


class CallerConnection:
    """Serve one connection until it closes."""

    def __init__(self, channel: Channel, options: ConnectionRules) -> None:
        self.channel = channel
        self.options = options
        self.parser = RequestParser(options.limits().head_bytes)
        self.idle_scope: anyio.CancelScope | None = None
        self.keep_alive = True
        # Cancelled to disconnect this caller when memory is full.
        self.scope = anyio.CancelScope()
        self.holder = options.held.holder(lambda: self.scope.cancel())

    def closes_after(self) -> bool:
        """Return whether to close the connection after this response."""
        return not self.keep_alive or self.options.is_closing()

    async def run(self) -> None:
        """Serve requests one after another."""
        try:
            with self.scope:
                while await self.serve_next():
                    self.holder.release()
        except OSError as error:
            events.debug("caller.connection_lost", detail=str(error))
        finally:
            if self.holder.is_cut:
                self.channel.reset()
            self.holder.release()
            self.channel.close()

    async def serve_next(self) -> bool:
        """Serve one request; return whether another may follow."""
        try:
            exchange = await self.read_request()
        except RequestError as error:
            await self.reject_malformed(error)
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
        return not (
            exchange.closes_after or exchange.writer.is_close_delimited
        )

    async def handle(self, exchange: Exchange) -> None:
        """Handle a request; cancel it if the caller disconnects."""
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self.watch_for_disconnect, tasks.cancel_scope)
            try:
                await self.options.handle(exchange)
            except OSError as error:
                events.info("caller.send_failed", detail=str(error))
            except ValueError as error:
                events.error("caller.response_invalid", detail=str(error))
            except Exception as error:
                detail = "".join(format_exception(error))
                events.error("caller.handler_failed", detail=detail)
            tasks.cancel_scope.cancel()

    async def watch_for_disconnect(self, scope: anyio.CancelScope) -> None:
        """Parse pipelined input; cancel the scope when the caller leaves."""
        read_ahead_bytes = 0
        while read_ahead_bytes < READ_AHEAD_BYTES:
            try:
                data = await self.channel.receive()
            except OSError:
                data = b""
            if not data:
                scope.cancel()
                return
            read_ahead_bytes += len(data)
            self.parser.feed(data)

    async def read_request(self) -> Exchange | None:
        """Read the next complete request, None when the connection ends.

        Raises BerylcartError on a request that exceeds a limit.
        """
        if not await self.wait_for_bytes():
            return None
        limits = self.options.limits()
        head: RequestHead | None = None
        with anyio.move_on_after(limits.head_timeout_ms / MS_PER_S) as scope:
            head = await self.read_head(limits)
        if scope.cancelled_caught:
            raise BerylcartError(
                Code.REQUEST_TIMEOUT,
                f"request head incomplete after {limits.head_timeout_ms} ms",
            )
        if head is None:
            return None
        body = await self.read_body(head, limits)
        if body is None:
            return None
        writer = ResponseWriter(head.head.method, head.version)
        return Exchange(self, head.head, body, writer)

    async def wait_for_bytes(self) -> bool:
        """Wait for the first bytes of a request, up to the idle timeout."""
        if self.parser.has_input:
            return True
        idle_s = self.options.limits().idle_timeout_ms / MS_PER_S
        with anyio.move_on_after(idle_s) as scope:
            self.idle_scope = scope
            if self.closes_after():
                # A request that has already arrived is still served.
                self.channel.read_before_waiting()
                scope.cancel()
            try:
                data = await self.channel.receive()
            finally:
                self.idle_scope = None
        if scope.cancelled_caught or not data:
            return False
        self.parser.feed(data)
        return True

    async def next_part(self) -> RequestPart | None:
        """Read the next part of a request, None when the connection ends.

        Raises RequestError.
        """
        while True:
            part = self.parser.next_part()
            if part is not None:
                return part
            data = await self.channel.receive()
            if not data:
                return None
            self.parser.feed(data)

    async def read_head(self, limits: CallerLimits) -> RequestHead | None:
        """Read the head of a request; raises BerylcartError."""
        part = await self.next_part()
        if not isinstance(part, RequestHead):
            return None
        if head_bytes(part.head) > limits.head_bytes:
            raise BerylcartError(
                Code.HEAD_TOO_LARGE,
                f"the request head exceeds {limits.head_bytes} bytes",
            )
        if has_ambiguous_length(part.head):
            raise BerylcartError(
                Code.BAD_REQUEST,
                "the length of the body is given more than once",
            )
        lengths = part.head.values(CONTENT_LENGTH)
        if lengths and int(lengths[0]) <= limits.body_bytes:
            self.check_memory(int(lengths[0]))
        return part

    def check_memory(self, count_bytes: int) -> None:
        """Raise BerylcartError OVERLOADED if memory lacks room for a body."""
        if not self.options.held.make_room(count_bytes, self.holder):
            raise BerylcartError(
                Code.OVERLOADED,
                f"no memory to buffer {count_bytes} bytes of a request",
                retry_after_ms=OVERLOADED_RETRY_AFTER_MS,
            )

    async def read_body(
        self, head: RequestHead, limits: CallerLimits
    ) -> bytes | None:
        """Read the body of a request; raises BerylcartError."""
        if head.expects_continue and not self.parser.parts:
            await self.channel.send(CONTINUE_RESPONSE)
        body = bytearray()
        idle_s = limits.idle_timeout_ms / MS_PER_S
        started_s = now_s()
        self.holder.waiting_since_s = started_s
        while True:
            remaining_s = (
                started_s + body_time_limit_s(len(body), idle_s) - now_s()
            )
            with anyio.move_on_after(min(idle_s, remaining_s)):
                part = await self.next_part()
                if isinstance(part, RequestEnd):
                    self.keep_alive = part.keep_alive
                    self.holder.waiting_since_s = None
                    return bytes(body)
                if not isinstance(part, bytes):
                    return None
                self.check_memory(len(part))
                self.holder.add(len(part))
                body += part
                if len(body) > limits.body_bytes:
                    raise BerylcartError(
                        Code.BODY_TOO_LARGE,
                        f"the body exceeds {limits.body_bytes} bytes",
                    )
                continue
            raise BerylcartError(
                Code.REQUEST_TIMEOUT,
                f"request body too slow: {len(body)} bytes within "
                f"{now_s() - started_s:.1f} s",
            )

    async def reject_malformed(self, error: RequestError) -> None:
        """Reject input that is not a valid request."""
        is_head = error.is_head_too_large
        code = Code.HEAD_TOO_LARGE if is_head else Code.BAD_REQUEST
        await self.refuse(BerylcartError(code, str(error)))

    async def refuse(self, error: BerylcartError) -> None:
        """Reject an incomplete request and stop reading requests."""
        events.info(
            "caller.request_rejected",
            code=int(error.code),
            detail=error.detail,
        )
        refusal = self.options.refuse(error)
        content_length = str(len(refusal.body)).encode()
        writer = ResponseWriter("", HTTP_1_1)
        head = writer.start(
            refusal.status,
            (*refusal.headers, (CONTENT_LENGTH, content_length), CLOSE_HEADER),
        )
        with anyio.move_on_after(ERROR_SEND_TIMEOUT_S):
            await self.channel.send(head + writer.data(refusal.body))
            await self.linger()

    async def linger(self) -> None:
        """Discard further input for a bounded time and size before closing."""
        self.channel.shutdown_send()
        remaining_bytes = self.options.limits().body_bytes
        with anyio.move_on_after(LINGER_TIMEOUT_S):
            while remaining_bytes > 0 and (
                data := await self.channel.receive()
            ):
                remaining_bytes -= len(data)
