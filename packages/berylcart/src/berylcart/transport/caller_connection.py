"""Read the requests of one caller's connection and write their answers."""

from collections.abc import Awaitable, Callable
from traceback import format_exception
from typing import NamedTuple

import anyio

from berylcart import events
from berylcart.clock import now_s
from berylcart.coordination.gateway.held_bytes import HeldBytes
from berylcart.protocol.http_requests import (
    CONNECTION,
    GO_ON,
    HTTP_1_1,
    LENGTH,
    AnswerWriter,
    Part,
    RequestEnd,
    RequestError,
    RequestHead,
    RequestParser,
    head_bytes,
    is_ambiguous,
)
from berylcart.state.errors import BerylcartError, Code
from berylcart.state.relayed import CallerHead, Headers, Refusal
from berylcart.state.routes import CallerLimits
from berylcart.transport.channel import Channel

MS_PER_S = 1000
# What a caller may send ahead while its request is served.
READ_AHEAD_BYTES = 64 * 2**10
# A body must arrive at this rate on average after a grace period, below what
# the slowest mobile links (GPRS, 1 KB/s) carry.
MIN_BODY_BYTES_PER_S = 512
# The grace period in idle timeouts: one pause before a body, one within it.
BODY_GRACE_TIMEOUTS = 2
# A caller that reads nothing must not hold a connection for ever.
ERROR_SEND_TIMEOUT_S = 1.0
# For what a refused caller still sends; closing on it would reset the
# connection, and the caller might not see the refusal.
LINGER_TIMEOUT_S = 1.0
# What callers of a daemon wait after most other refusals.
FULL_RETRY_AFTER_MS = 500

CLOSE = (CONNECTION, b"close")


def body_time_s(received_bytes: int, idle_timeout_s: float) -> float:
    """Say how long after its head the next bytes of a body may come.

    >>> body_time_s(0, 15.0), body_time_s(5120, 15.0)
    (30.0, 40.0)
    """
    grace_s = BODY_GRACE_TIMEOUTS * idle_timeout_s
    return grace_s + received_bytes / MIN_BODY_BYTES_PER_S


class Exchange:
    """Hold one request and write its answer."""

    def __init__(
        self,
        connection: "CallerConnection",
        head: CallerHead,
        body: bytes,
        writer: AnswerWriter,
    ) -> None:
        self.connection = connection
        self.head = head
        self.body = body
        self.writer = writer
        self.received_at_s = now_s()
        self.is_started = False
        self.is_finished = False
        # Whether the answer says that the connection ends after it.
        self.is_last = False

    async def start(self, status: int, headers: Headers) -> None:
        """Write the head of the answer."""
        self.is_started = True
        self.is_last = self.connection.is_last()
        extra = (CLOSE,) if self.is_last else ()
        await self.write(self.writer.start(status, (*headers, *extra)))

    async def write(self, data: bytes) -> None:
        """Write bytes, which count as held while the caller takes them."""
        rest = self.connection.channel.send_now(data)
        if rest:
            with self.connection.holder.waiting(len(rest)):
                await self.connection.channel.send(rest)

    def hold(self, count_bytes: int) -> None:
        """Count bytes that are buffered, or fewer, for this caller."""
        self.connection.holder.add(count_bytes)

    async def send(self, data: bytes) -> None:
        """Write the next bytes of the answer."""
        await self.write(self.writer.data(data))

    async def finish(self) -> None:
        """End a whole answer."""
        await self.write(self.writer.end())
        self.is_finished = True

    async def answer(self, refusal: Refusal) -> None:
        """Write a whole answer of the gateway itself."""
        length = str(len(refusal.body)).encode()
        await self.start(refusal.status, (*refusal.headers, (LENGTH, length)))
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
    held: HeldBytes = HeldBytes()


class CallerConnection:
    """Serve one connection until it ends."""

    def __init__(self, channel: Channel, rules: ConnectionRules) -> None:
        self.channel = channel
        self.rules = rules
        self.parser = RequestParser(rules.limits().head_bytes)
        self.idle_scope: anyio.CancelScope | None = None
        self.is_kept = True
        # Cancelled where the bytes held for this caller are too many.
        self.scope = anyio.CancelScope()
        self.holder = rules.held.holder(lambda: self.scope.cancel())

    def is_last(self) -> bool:
        """Tell whether the connection ends after this answer."""
        return not self.is_kept or self.rules.is_closing()

    async def run(self) -> None:
        """Answer requests one after another."""
        try:
            with self.scope:
                while await self.serve_next():
                    self.holder.release()
        except OSError as error:
            events.debug("caller.lost", detail=str(error))
        finally:
            if self.holder.is_cut:
                self.channel.reset()
            self.holder.release()
            self.channel.close()

    async def serve_next(self) -> bool:
        """Serve one request and tell whether another may follow."""
        try:
            exchange = await self.read_request()
        except RequestError as error:
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
        return not (exchange.is_last or exchange.writer.ends_connection)

    async def handle(self, exchange: Exchange) -> None:
        """Handle a request unless its caller leaves first."""
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self.watch, tasks.cancel_scope)
            try:
                await self.rules.handle(exchange)
            except OSError as error:
                events.info("caller.unreachable", detail=str(error))
            except ValueError as error:
                events.error("caller.answer_broken", detail=str(error))
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
            self.parser.feed(data)

    async def read_request(self) -> Exchange | None:
        """Read the next request whole, or nothing when there is none.

        Raises BerylcartError on one that exceeds a limit.
        """
        if not await self.wait_for_bytes():
            return None
        limits = self.rules.limits()
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
        writer = AnswerWriter(head.head.method, head.version)
        return Exchange(self, head.head, body, writer)

    async def wait_for_bytes(self) -> bool:
        """Wait for the first bytes of a request, up to the idle timeout."""
        if self.parser.is_begun:
            return True
        idle_s = self.rules.limits().idle_timeout_ms / MS_PER_S
        with anyio.move_on_after(idle_s) as scope:
            self.idle_scope = scope
            if self.is_last():
                # A request that has arrived is still answered.
                self.channel.look_first()
                scope.cancel()
            try:
                data = await self.channel.receive()
            finally:
                self.idle_scope = None
        if scope.cancelled_caught or not data:
            return False
        self.parser.feed(data)
        return True

    async def next_part(self) -> Part | None:
        """Read the next part of a request, nothing at its broken end.

        Raises RequestError.
        """
        while True:
            part = self.parser.take()
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
                f"the head exceeds {limits.head_bytes} bytes",
            )
        if is_ambiguous(part.head):
            raise BerylcartError(
                Code.BAD_REQUEST, "the body's length is given twice"
            )
        lengths = part.head.values(LENGTH)
        if lengths and int(lengths[0]) <= limits.body_bytes:
            self.check_room(int(lengths[0]))
        return part

    def check_room(self, count_bytes: int) -> None:
        """Raise BerylcartError OVERLOADED where bytes of a body don't fit."""
        if not self.rules.held.make_room(count_bytes, self.holder):
            raise BerylcartError(
                Code.OVERLOADED,
                f"no room for {count_bytes} bytes of a request",
                retry_after_ms=FULL_RETRY_AFTER_MS,
            )

    async def read_body(
        self, head: RequestHead, limits: CallerLimits
    ) -> bytes | None:
        """Read the body of a request; raises BerylcartError."""
        if head.is_continued and not self.parser.parts:
            await self.channel.send(GO_ON)
        body = bytearray()
        idle_s = limits.idle_timeout_ms / MS_PER_S
        begun_s = now_s()
        self.holder.waiting_since_s = begun_s
        while True:
            left_s = begun_s + body_time_s(len(body), idle_s) - now_s()
            with anyio.move_on_after(min(idle_s, left_s)):
                part = await self.next_part()
                if isinstance(part, RequestEnd):
                    self.is_kept = part.is_kept
                    self.holder.waiting_since_s = None
                    return bytes(body)
                if not isinstance(part, bytes):
                    return None
                self.check_room(len(part))
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
                f"{len(body)} bytes of the body within "
                f"{now_s() - begun_s:.1f} s, and too few of them lately",
            )

    async def refuse_malformed(self, error: RequestError) -> None:
        """Refuse what is no request."""
        is_head = error.is_head_too_large
        code = Code.HEAD_TOO_LARGE if is_head else Code.BAD_REQUEST
        await self.refuse(BerylcartError(code, str(error)))

    async def refuse(self, error: BerylcartError) -> None:
        """Answer a request that was not read whole; the connection ends."""
        events.info(
            "caller.refused", code=int(error.code), detail=error.detail
        )
        refusal = self.rules.refuse(error)
        length = str(len(refusal.body)).encode()
        writer = AnswerWriter("", HTTP_1_1)
        head = writer.start(
            refusal.status, (*refusal.headers, (LENGTH, length), CLOSE)
        )
        with anyio.move_on_after(ERROR_SEND_TIMEOUT_S):
            await self.channel.send(head + writer.data(refusal.body))
            await self.linger()

    async def linger(self) -> None:
        """Read what a refused caller still sends, up to a time and size."""
        self.channel.end_sending()
        left_bytes = self.rules.limits().body_bytes
        with anyio.move_on_after(LINGER_TIMEOUT_S):
            while left_bytes > 0 and (data := await self.channel.receive()):
                left_bytes -= len(data)
