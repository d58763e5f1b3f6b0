"""Serve the HTTP requests of one caller's connection."""

from collections.abc import Awaitable, Callable
from contextlib import suppress
from math import inf
from traceback import format_exception
from typing import NamedTuple

import anyio

from berylcart import events
from berylcart.clock import now_s
from berylcart.coordination.gateway.buffer_budget import (
    HEAD_SHARE,
    REQUEST_SHARE,
    BufferBudget,
)
from berylcart.coordination.gateway.drain import draining_error
from berylcart.coordination.gateway.input_turns import InputTurns, TurnMeter
from berylcart.protocol.http_requests import (
    CONTENT_LENGTH,
    CONTINUE_RESPONSE,
    HTTP_1_1,
    RequestEnd,
    RequestError,
    RequestHead,
    RequestParser,
    RequestPart,
    has_ambiguous_length,
)
from berylcart.protocol.response_writer import ResponseWriter
from berylcart.state.errors import BerylcartError, Code
from berylcart.state.relay_messages import BufferedResponse
from berylcart.state.routes import CallerLimits
from berylcart.transport.caller_exchange import CLOSE_HEADER, Exchange
from berylcart.transport.channel import Channel

MS_PER_S = 1000
# How much of a pipelining caller is read while its request is served. The rest
# stays with the system, which then makes the caller wait.
READ_AHEAD_BYTES = 16 * 2**10
# Heads that take no more memory than this are not refused for lack of it. It
# is several times what a request within usual sizes takes.
SMALL_HEAD_BYTES = 16 * 2**10
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


def body_time_limit_s(received_bytes: int, idle_timeout_s: float) -> float:
    """Return the time limit of a body, in seconds since its head.

    The limit grows with the bytes received so far.

    >>> body_time_limit_s(0, 15.0), body_time_limit_s(5120, 15.0)
    (30.0, 40.0)
    """
    grace_s = BODY_GRACE_IDLE_TIMEOUTS * idle_timeout_s
    return grace_s + received_bytes / MIN_BODY_BYTES_PER_S


class ConnectionOptions(NamedTuple):
    """Hold the callbacks and the memory accounting of connections.

    handle responds to one exchange. If it returns without finishing the
    response, the connection is reset.
    """

    handle: Callable[[Exchange], Awaitable[None]]
    limits: Callable[[], CallerLimits]
    refuse: Callable[[BerylcartError], BufferedResponse]
    is_closing: Callable[[], bool]
    buffer_budget: BufferBudget = BufferBudget()


class CallerConnection:
    """Serve one connection until it closes."""

    def __init__(
        self,
        channel: Channel,
        options: ConnectionOptions,
        input_turns: InputTurns,
    ) -> None:
        self.channel = channel
        self.options = options
        self.input_turns = input_turns
        self.parser = RequestParser(options.limits().head_bytes)
        self.idle_scope: anyio.CancelScope | None = None
        # Cancelled to refuse a request that has not arrived completely.
        self.reading_scope: anyio.CancelScope | None = None
        self.has_served = False
        self.keep_alive = True
        # Cancelled to disconnect this caller when memory is full.
        self.scope = anyio.CancelScope()
        self.buffer_account = options.buffer_budget.open_account(
            lambda: self.scope.cancel()
        )
        # Start of the wait for the caller to read a response, if it is
        # waited for.
        self.unread_since_s: float | None = None
        # What the account holds of the parser's memory.
        self.input_bytes = 0
        self.turn_meter = TurnMeter()

    async def send_slowly(self, data: memoryview) -> None:
        """Send bytes that wait for the caller; they count as buffered."""
        self.unread_since_s = now_s()
        try:
            with self.buffer_account.waiting(len(data)):
                await self.channel.send(data)
        finally:
            self.unread_since_s = None

    def unread_s(self) -> float:
        """Return for how long the caller has not read what was sent."""
        since_s = self.unread_since_s
        return 0.0 if since_s is None else now_s() - since_s

    def abort(self) -> None:
        """Reset the connection, whatever it is used for."""
        self.channel.reset()
        self.scope.cancel()

    def feed(self, data: bytes) -> None:
        """Parse received bytes within the limits in force."""
        self.parser.max_head_bytes = self.options.limits().head_bytes
        self.parser.feed(data)

    def count_input(self, *, is_checked: bool = False) -> None:
        """Count what the parser holds of the input and the last head.

        Raises BerylcartError OVERLOADED if it is checked and memory lacks
        room for a large head.
        """
        held_bytes = self.parser.held_bytes
        change_bytes = held_bytes - self.input_bytes
        if not change_bytes:
            return
        if is_checked and held_bytes > SMALL_HEAD_BYTES and change_bytes > 0:
            self.check_memory(change_bytes, HEAD_SHARE)
        self.input_bytes = held_bytes
        self.buffer_account.add(change_bytes)

    def finish_request(self) -> None:
        """Release the memory of a request; count what was sent ahead."""
        self.parser.release_head()
        self.buffer_account.release()
        self.input_bytes = 0
        if self.parser.unparsed_bytes:
            self.count_input()

    async def wait_for_turn(self) -> None:
        """Let others run before more input is processed."""
        await self.input_turns.wait()
        self.turn_meter.start(self.parser.parsed_items)

    def closes_after(self) -> bool:
        """Return whether to close the connection after this response."""
        return not self.keep_alive or self.options.is_closing()

    @property
    def is_idle(self) -> bool:
        """Return whether the connection waits for the start of a request."""
        return self.idle_scope is not None

    @property
    def idle_end_s(self) -> float:
        """Return when an idle connection is closed, in the runtime's time."""
        return inf if self.idle_scope is None else self.idle_scope.deadline

    def close_idle(self) -> None:
        """Close the connection if it waits for the start of a request."""
        if self.idle_scope is not None:
            self.idle_scope.cancel()
            self.idle_scope = None

    async def run(self) -> None:
        """Serve requests one after another."""
        try:
            with self.scope:
                while await self.serve_next():
                    self.finish_request()
        except OSError as error:
            events.debug("caller.connection_lost", detail=str(error))
        finally:
            if self.buffer_account.is_evicted:
                self.channel.reset()
            self.buffer_account.release()
            self.channel.close()

    async def serve_next(self) -> bool:
        """Serve one request; return whether another may follow."""
        try:
            exchange = await self.read_request()
        except RequestError as error:
            await self.reject_malformed(error)
            return False
        except BerylcartError as error:
            # The traceback holds what has been read of the body.
            error.__traceback__ = None
            await self.refuse(error)
            return False
        if exchange is None:
            return False
        self.has_served = True
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
        """Read ahead to a limit; cancel the scope when the caller leaves."""
        with suppress(OSError):
            while (
                room_bytes := READ_AHEAD_BYTES - self.parser.unparsed_bytes
            ) > 0:
                data = await self.channel.receive(room_bytes)
                if not data:
                    break
                self.feed(data)
                self.count_input()
            else:
                await self.channel.wait_for_end()
        scope.cancel()

    async def read_request(self) -> Exchange | None:
        """Read the next complete request, None when the connection ends.

        Raises BerylcartError on a request that exceeds a limit, or DRAINING
        if refuse_incomplete() is called meanwhile.
        """
        if not await self.wait_for_bytes():
            return None
        with anyio.CancelScope() as scope:
            self.reading_scope = scope
            try:
                return await self.read_message()
            finally:
                self.reading_scope = None
        raise draining_error("this entry stopped before the request arrived")

    def refuse_incomplete(self) -> None:
        """Refuse a request that is being read."""
        if self.reading_scope is not None:
            self.reading_scope.cancel()

    async def read_message(self) -> Exchange | None:
        """Read a request whose first bytes have arrived.

        Returns None when the connection ends. Raises BerylcartError on a
        request that exceeds a limit.
        """
        limits = self.options.limits()
        head: RequestHead | None = None
        with anyio.move_on_after(limits.head_timeout_ms / MS_PER_S) as scope:
            head = await self.read_head(limits)
        if scope.cancelled_caught:
            raise BerylcartError(
                Code.REQUEST_TIMEOUT,
                f"no whole head within {limits.head_timeout_ms} ms",
            )
        if head is None:
            return None
        body = await self.read_body(head, limits)
        if body is None:
            return None
        if self.turn_meter.is_used_up(self.parser.parsed_items):
            await self.wait_for_turn()
        writer = ResponseWriter(head.head.method, head.version)
        return Exchange(self, head.head, body, writer)

    async def wait_for_bytes(self) -> bool:
        """Wait for the first bytes of a request, up to the idle timeout."""
        if self.parser.has_input:
            if self.has_served:
                await self.wait_for_turn()
            return True
        idle_timeout_s = self.options.limits().idle_timeout_ms / MS_PER_S
        with anyio.move_on_after(idle_timeout_s) as scope:
            self.idle_scope = scope
            if self.has_served and self.closes_after():
                # A request that has already arrived is still served.
                self.channel.read_before_waiting()
                scope.cancel()
            try:
                data = await self.channel.receive()
            finally:
                self.idle_scope = None
        if scope.cancelled_caught or not data:
            return False
        self.feed(data)
        return True

    async def next_part(self, *, is_head: bool = False) -> RequestPart | None:
        """Read the next part of a request, None when the connection ends.

        Raises RequestError, and BerylcartError OVERLOADED on a large head.
        """
        while True:
            if self.turn_meter.is_used_up(self.parser.parsed_items):
                await self.wait_for_turn()
            part = self.parser.next_part()
            self.count_input(is_checked=is_head)
            if part is not None:
                return part
            if self.buffer_account.waiting_since_s is None:
                self.buffer_account.waiting_since_s = now_s()
            data = await self.channel.receive()
            if not data:
                return None
            self.feed(data)

    async def read_head(self, limits: CallerLimits) -> RequestHead | None:
        """Read the head of a request; raises BerylcartError."""
        part = await self.next_part(is_head=True)
        if not isinstance(part, RequestHead):
            return None
        if part.size_bytes > limits.head_bytes:
            raise BerylcartError(
                Code.HEAD_TOO_LARGE,
                f"the head exceeds {limits.head_bytes} bytes",
            )
        if has_ambiguous_length(part.head):
            raise BerylcartError(
                Code.BAD_REQUEST,
                "the body's length is given twice",
            )
        return part

    def reserve_memory(self, head: RequestHead, limits: CallerLimits) -> int:
        """Count a body whose length is known as if it had arrived.

        Otherwise bodies that arrive at the same time could each be admitted
        and then find no room for their ends. Returns the reserved bytes;
        raises BerylcartError OVERLOADED.
        """
        lengths = head.head.values(CONTENT_LENGTH)
        body_bytes = int(lengths[0]) if lengths else 0
        if not 0 < body_bytes <= limits.body_bytes:
            return 0
        self.check_memory(body_bytes)
        self.buffer_account.add(body_bytes)
        return body_bytes

    def check_memory(
        self, count_bytes: int, share: float = REQUEST_SHARE
    ) -> None:
        """Raise BerylcartError OVERLOADED without room in a share."""
        if not self.options.buffer_budget.make_room(
            count_bytes, self.buffer_account, share
        ):
            raise BerylcartError(
                Code.OVERLOADED,
                f"no room for {count_bytes} bytes of a request",
                retry_after_ms=OVERLOADED_RETRY_AFTER_MS,
            )

    async def read_body(
        self, head: RequestHead, limits: CallerLimits
    ) -> bytes | None:
        """Read the body of a request; raises BerylcartError."""
        reserved_bytes = self.reserve_memory(head, limits)
        if head.expects_continue and not self.parser.has_rest:
            await self.channel.send(CONTINUE_RESPONSE)
        body = bytearray()
        idle_timeout_s = limits.idle_timeout_ms / MS_PER_S
        started_s = now_s()
        self.buffer_account.waiting_since_s = started_s
        while True:
            remaining_s = (
                started_s
                + body_time_limit_s(len(body), idle_timeout_s)
                - now_s()
            )
            with anyio.move_on_after(min(idle_timeout_s, remaining_s)):
                part = await self.next_part()
                if isinstance(part, RequestEnd):
                    self.keep_alive = part.keep_alive
                    self.buffer_account.waiting_since_s = None
                    return bytes(body)
                if not isinstance(part, bytes):
                    return None
                if not reserved_bytes:
                    self.check_memory(len(part))
                    self.buffer_account.add(len(part))
                body += part
                if len(body) > limits.body_bytes:
                    raise BerylcartError(
                        Code.BODY_TOO_LARGE,
                        f"the body exceeds {limits.body_bytes} bytes",
                    )
                continue
            raise BerylcartError(
                Code.REQUEST_TIMEOUT,
                f"{len(body)} bytes of the body within "
                f"{now_s() - started_s:.1f} s, and too few of them lately",
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
        self.parser.discard()
        self.buffer_account.release()
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
