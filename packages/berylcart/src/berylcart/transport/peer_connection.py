"""Carry the calls of both daemons at a connection's ends."""

import asyncio
from collections.abc import Awaitable, Callable
from functools import singledispatchmethod

from berylcart import events
from berylcart.clock import now_s
from berylcart.coordination.gateway.held_bytes import HeldBytes
from berylcart.protocol.peer_frames import (
    Frame,
    FrameReader,
    Notice,
    Request,
    Response,
    write_notice,
    write_request,
    write_response,
)
from berylcart.state.config_text import MAX_TEXT_BYTES

# A configuration text of the largest size, and its verdicts, must fit.
MAX_MESSAGE_BYTES = 2 * MAX_TEXT_BYTES
# What a peer that stopped reading may leave unsent before calls fail.
MAX_UNSENT_BYTES = 2 * MAX_MESSAGE_BYTES
# Time for a frame to arrive whole once it has begun. Calls end sooner by
# their own timeouts; this holds where a peer is the one that calls.
FRAME_TIMEOUT_S = 10.0
# Names the request, by its number, whose answer the caller gave up.
CANCEL = "cancel"

Answer = Callable[[str, bytes], Awaitable[bytes]]
Heed = Callable[[str, bytes], None]


class PeerCallError(Exception):
    """Carry the message with which a peer refused a call."""


class PeerConnection(asyncio.Protocol):
    """Send requests and notices and answer those of the other end.

    answer gives the body of a request's answer, or raises PeerCallError; heed
    takes a notice and must not raise.
    """

    def __init__(
        self,
        answer: Answer | None = None,
        heed: Heed | None = None,
        on_lost: Callable[["PeerConnection"], None] | None = None,
        held: HeldBytes | None = None,
    ) -> None:
        self.answer = answer
        self.heed = heed
        self.on_lost = on_lost
        self.transport: asyncio.Transport | None = None
        self.reader = FrameReader(MAX_MESSAGE_BYTES)
        self.number = 0
        self.calls: dict[int, asyncio.Future[bytes]] = {}
        self.answering: dict[int, asyncio.Task[None]] = {}
        self.unwritten: list[bytes] = []
        self.frame_timer: asyncio.TimerHandle | None = None
        # What is unsent counts as held while the peer must be waited for.
        self.holder = (held or HeldBytes()).holder(self.abort)
        self.is_waiting = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Take the transport."""
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport

    def connection_lost(self, error: Exception | None) -> None:
        """Fail the calls in progress and stop answering."""
        self.transport = None
        self.holder.release()
        self.stop_frame_timer()
        for call in self.calls.values():
            if not call.done():
                call.set_exception(ConnectionResetError("connection lost"))
        self.calls.clear()
        for task in self.answering.values():
            task.cancel()
        if self.on_lost is not None:
            self.on_lost(self)

    @property
    def is_open(self) -> bool:
        """Tell whether the connection can carry a call."""
        return self.transport is not None and not self.transport.is_closing()

    def data_received(self, data: bytes) -> None:
        """Take bytes; a malformed frame ends the connection."""
        try:
            for frame in self.reader.feed(data):
                self.stop_frame_timer()
                self.take(frame)
        except Exception as error:
            # msgpack raises several unrelated types on malformed input.
            self.end_malformed(f"{type(error).__name__}: {error}")
            return
        if self.reader.is_in_frame and self.frame_timer is None:
            self.frame_timer = asyncio.get_running_loop().call_later(
                FRAME_TIMEOUT_S,
                self.end_malformed,
                f"no whole frame within {FRAME_TIMEOUT_S} s",
            )

    def stop_frame_timer(self) -> None:
        """Stop timing a frame that is whole or never will be."""
        if self.frame_timer is not None:
            self.frame_timer.cancel()
            self.frame_timer = None

    def end_malformed(self, detail: str) -> None:
        """End a connection whose peer sent what is no frame."""
        peer = self.transport and self.transport.get_extra_info("peername")
        events.warning("peer.malformed", peer=str(peer), detail=detail)
        self.close()

    @singledispatchmethod
    def take(self, frame: Frame) -> None:
        """Act on one frame."""
        raise NotImplementedError(type(frame))

    @take.register
    def _(self, frame: Response) -> None:
        call = self.calls.pop(frame.number, None)
        if call is None or call.done():
            return
        if frame.error is None:
            call.set_result(frame.body)
        else:
            call.set_exception(PeerCallError(frame.error))

    @take.register
    def _(self, frame: Request) -> None:
        loop = asyncio.get_running_loop()
        self.answering[frame.number] = loop.create_task(
            self.reply(frame.number, frame.method, frame.body)
        )

    @take.register
    def _(self, frame: Notice) -> None:
        if frame.method == CANCEL:
            task = self.answering.get(int(frame.body))
            if task is not None:
                task.cancel()
        elif self.heed is not None:
            self.heed(frame.method, frame.body)

    async def reply(self, number: int, method: str, body: bytes) -> None:
        """Answer one request."""
        try:
            if self.answer is None:
                raise PeerCallError("this end answers no calls")
            reply = await self.answer(method, body)
            self.write(write_response(number, None, reply))
        except PeerCallError as error:
            self.write(write_response(number, str(error), b""))
        except Exception as error:
            detail = f"{type(error).__name__}: {error}"
            events.error("peer.fault", method=method, detail=detail)
            self.write(write_response(number, detail, b""))
        finally:
            self.answering.pop(number, None)

    async def call(self, method: str, body: bytes) -> bytes:
        """Make a call.

        Raises PeerCallError when the peer refuses it and OSError when the
        connection fails. The peer stops working on a call that is cancelled.
        """
        if not self.is_open:
            raise ConnectionResetError("the connection was closed")
        self.number += 1
        number = self.number
        loop = asyncio.get_running_loop()
        call: asyncio.Future[bytes] = loop.create_future()
        self.calls[number] = call
        try:
            self.write(write_request(number, method, body))
            return await call
        except asyncio.CancelledError:
            self.notify(CANCEL, str(number).encode())
            raise
        finally:
            self.calls.pop(number, None)

    def notify(self, method: str, body: bytes) -> None:
        """Tell the peer something; does nothing on a lost connection."""
        self.write(write_notice(method, body))

    def write(self, data: bytes) -> None:
        """Write a frame together with others of this turn of the loop."""
        if not self.is_open:
            return
        if not self.unwritten:
            asyncio.get_running_loop().call_soon(self.flush)
        self.unwritten.append(data)

    def flush(self) -> None:
        """Write the frames that were collected."""
        data = b"".join(self.unwritten)
        self.unwritten.clear()
        if self.transport is None:
            return
        self.transport.write(data)
        if self.is_waiting:
            self.note_unsent()
        if self.transport is None:
            return
        if self.transport.get_write_buffer_size() > MAX_UNSENT_BYTES:
            events.warning("peer.stalled", unsent_bytes=len(data))
            self.transport.abort()

    def pause_writing(self) -> None:
        """Learn that what is unsent grows large."""
        self.is_waiting = True
        self.holder.waiting_since_s = now_s()

    def resume_writing(self) -> None:
        """Learn that the peer took most of what was unsent."""
        self.is_waiting = False
        self.holder.release()

    def note_unsent(self) -> None:
        """Count what is unsent."""
        if self.transport is not None:
            size = self.transport.get_write_buffer_size()
            self.holder.add(size - self.holder.count_bytes)

    def abort(self) -> None:
        """Close the connection with what is unsent."""
        if self.transport is not None:
            self.transport.abort()

    def close(self) -> None:
        """Close the connection once what was written is sent."""
        if self.unwritten:
            self.flush()
        if self.transport is not None:
            self.transport.close()
