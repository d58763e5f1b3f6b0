"""Multiplex MessagePack-RPC calls of both peers on one connection."""

import asyncio
from collections.abc import Awaitable, Callable
from functools import singledispatchmethod

from berylcart import events
from berylcart.clock import now_s
from berylcart.coordination.gateway.buffer_budget import BufferBudget
from berylcart.protocol.peer_frames import (
    Frame,
    FrameReader,
    Notification,
    Request,
    Response,
    write_notification,
    write_request,
    write_response,
)
from berylcart.state.config_text import MAX_TEXT_BYTES

# Must hold a configuration text of the largest size and its verdicts.
MAX_MESSAGE_BYTES = 2 * MAX_TEXT_BYTES
# The connection is aborted when a slow peer leaves more than this unsent.
MAX_UNSENT_BYTES = 2 * MAX_MESSAGE_BYTES
# Time limit for receiving the rest of a frame. The timeouts of outgoing calls
# are shorter; this limit protects against slow incoming requests.
FRAME_TIMEOUT_S = 10.0
# The notification that cancels a request; its body is the request's number.
CANCEL_METHOD = "cancel"

RequestHandler = Callable[[str, bytes], Awaitable[bytes]]
NotificationHandler = Callable[[str, bytes], None]


class PeerCallError(Exception):
    """Report the error that a peer returned for a call."""


class PeerConnection(asyncio.Protocol):
    """Send calls and notifications and serve those of the peer.

    on_request returns the body of a response or raises PeerCallError.
    on_notification must not raise.
    """

    def __init__(
        self,
        on_request: RequestHandler | None = None,
        on_notification: NotificationHandler | None = None,
        on_connection_lost: Callable[["PeerConnection"], None] | None = None,
        buffer_budget: BufferBudget | None = None,
        on_first_frame: Callable[["PeerConnection"], None] | None = None,
    ) -> None:
        self.on_request = on_request
        self.on_notification = on_notification
        self.on_connection_lost = on_connection_lost
        self.on_first_frame = on_first_frame
        self.transport: asyncio.Transport | None = None
        # Created with the first bytes and dropped at the end, as it holds
        # buffers and connections are freed by the garbage collector only.
        self.reader: FrameReader | None = None
        self.last_number = 0
        self.pending_calls: dict[int, asyncio.Future[bytes]] = {}
        self.request_tasks: dict[int, asyncio.Task[None]] = {}
        self.write_queue: list[bytes] = []
        self.frame_timer: asyncio.TimerHandle | None = None
        # Unsent bytes count as buffered while writing is paused.
        budget = buffer_budget or BufferBudget()
        self.buffer_account = budget.open_account(self.abort)
        # Counts the received bytes of an incomplete frame.
        self.read_account = budget.open_account(self.abort)
        self.is_write_paused = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport."""
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport

    def connection_lost(self, error: Exception | None) -> None:
        """Fail the outgoing calls and cancel the incoming requests."""
        self.transport = None
        self.reader = None
        self.buffer_account.release()
        self.read_account.release()
        self.stop_frame_timer()
        for call in self.pending_calls.values():
            if not call.done():
                call.set_exception(ConnectionResetError("connection lost"))
        self.pending_calls.clear()
        for task in self.request_tasks.values():
            task.cancel()
        if self.on_connection_lost is not None:
            self.on_connection_lost(self)

    @property
    def is_open(self) -> bool:
        """Return whether the connection can be used for a call."""
        return self.transport is not None and not self.transport.is_closing()

    def data_received(self, data: bytes) -> None:
        """Handle the frames in received bytes; close on a malformed one."""
        if self.reader is None:
            self.reader = FrameReader(MAX_MESSAGE_BYTES)
        reader = self.reader
        try:
            for frame in reader.feed(data):
                self.stop_frame_timer()
                if self.on_first_frame is not None:
                    self.on_first_frame(self)
                    self.on_first_frame = None
                self.handle_frame(frame)
        except Exception as error:
            # msgpack raises several unrelated types on malformed input.
            self.close_malformed(f"{type(error).__name__}: {error}")
            return
        self.count_received_bytes(reader.pending_bytes)
        if reader.has_partial_frame and self.frame_timer is None:
            self.frame_timer = asyncio.get_running_loop().call_later(
                FRAME_TIMEOUT_S,
                self.close_malformed,
                f"frame incomplete after {FRAME_TIMEOUT_S} s",
            )

    def count_received_bytes(self, pending_bytes: int) -> None:
        """Count the incomplete frame as buffered."""
        account = self.read_account
        change_bytes = pending_bytes - account.count_bytes
        if not change_bytes:
            return
        if account.waiting_since_s is None:
            account.waiting_since_s = now_s()
        account.add(change_bytes)
        if not account.count_bytes:
            account.waiting_since_s = None

    def stop_frame_timer(self) -> None:
        """Cancel the timer of the incomplete frame, if any."""
        if self.frame_timer is not None:
            self.frame_timer.cancel()
            self.frame_timer = None

    def close_malformed(self, detail: str) -> None:
        """Close a connection that received a malformed frame."""
        peer_name = self.transport and self.transport.get_extra_info(
            "peername"
        )
        events.warning(
            "peer.frame_malformed", peer=str(peer_name), detail=detail
        )
        self.close()

    @singledispatchmethod
    def handle_frame(self, frame: Frame) -> None:
        """Handle one frame."""
        raise NotImplementedError(type(frame))

    @handle_frame.register
    def _(self, frame: Response) -> None:
        call = self.pending_calls.pop(frame.number, None)
        if call is None or call.done():
            return
        if frame.error is None:
            call.set_result(frame.body)
        else:
            call.set_exception(PeerCallError(frame.error))

    @handle_frame.register
    def _(self, frame: Request) -> None:
        loop = asyncio.get_running_loop()
        self.request_tasks[frame.number] = loop.create_task(
            self.reply(frame.number, frame.method, frame.body)
        )

    @handle_frame.register
    def _(self, frame: Notification) -> None:
        if frame.method == CANCEL_METHOD:
            task = self.request_tasks.get(int(frame.body))
            if task is not None:
                task.cancel()
        elif self.on_notification is not None:
            self.on_notification(frame.method, frame.body)

    async def reply(self, number: int, method: str, body: bytes) -> None:
        """Handle one request and send its response."""
        try:
            if self.on_request is None:
                raise PeerCallError("this end answers no calls")
            reply = await self.on_request(method, body)
            self.write(write_response(number, None, reply))
        except PeerCallError as error:
            self.write(write_response(number, str(error), b""))
        except Exception as error:
            detail = f"{type(error).__name__}: {error}"
            events.error("peer.handler_failed", method=method, detail=detail)
            self.write(write_response(number, detail, b""))
        finally:
            self.request_tasks.pop(number, None)

    async def call(self, method: str, body: bytes) -> bytes:
        """Make a call.

        Raises PeerCallError when the peer returns an error and OSError when
        the connection fails. Cancelling the call cancels it on the peer too.
        """
        if not self.is_open:
            raise ConnectionResetError("the connection was closed")
        self.last_number += 1
        number = self.last_number
        loop = asyncio.get_running_loop()
        call: asyncio.Future[bytes] = loop.create_future()
        self.pending_calls[number] = call
        try:
            self.write(write_request(number, method, body))
            return await call
        except asyncio.CancelledError:
            self.notify(CANCEL_METHOD, str(number).encode())
            raise
        finally:
            self.pending_calls.pop(number, None)

    def notify(self, method: str, body: bytes) -> None:
        """Send a notification; does nothing on a lost connection."""
        self.write(write_notification(method, body))

    def write(self, data: bytes) -> None:
        """Queue a frame; sent with others of this event loop iteration."""
        if not self.is_open:
            return
        if not self.write_queue:
            asyncio.get_running_loop().call_soon(self.flush)
        self.write_queue.append(data)

    def flush(self) -> None:
        """Write the queued frames to the transport."""
        data = b"".join(self.write_queue)
        self.write_queue.clear()
        if self.transport is None:
            return
        self.transport.write(data)
        if self.is_write_paused:
            self.update_held_bytes()
        if self.transport is None:
            return
        if self.transport.get_write_buffer_size() > MAX_UNSENT_BYTES:
            events.warning(
                "peer.write_stalled", unacknowledged_bytes=len(data)
            )
            self.transport.abort()

    def pause_writing(self) -> None:
        """Start to count unsent bytes; the write buffer is full."""
        self.is_write_paused = True
        self.buffer_account.waiting_since_s = now_s()

    def resume_writing(self) -> None:
        """Stop counting unsent bytes; the write buffer has drained."""
        self.is_write_paused = False
        self.buffer_account.release()

    def update_held_bytes(self) -> None:
        """Set the buffered bytes to the size of the write buffer."""
        if self.transport is not None:
            size = self.transport.get_write_buffer_size()
            self.buffer_account.add(size - self.buffer_account.count_bytes)

    def abort(self) -> None:
        """Close the connection and discard unsent bytes."""
        if self.transport is not None:
            self.transport.abort()

    def close(self) -> None:
        """Close the connection after sending what was written."""
        if self.write_queue:
            self.flush()
        if self.transport is not None:
            self.transport.close()
