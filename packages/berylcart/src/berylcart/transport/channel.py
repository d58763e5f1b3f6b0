"""Send and receive bytes on one TCP connection.

A channel reads from its socket only on request and buffers nothing, so that
unread input can be detected before the connection is reused.
"""

import errno
import os
import socket
import struct
from collections.abc import Awaitable, Callable
from contextlib import suppress
from typing import NamedTuple

import anyio
import anyio.lowlevel

from berylcart.transport.socket_addresses import split_address
from berylcart.transport.tcp_info import read_tcp_info, unacknowledged_bytes

READ_BYTES = 64 * 2**10
# How often the peer's acknowledgement of the last bytes is looked for.
ACKNOWLEDGEMENT_POLL_S = 0.01
# How often the peer's end is looked for behind input that is left unread; well
# within the half second in which work for a peer that left is to end.
END_POLL_S = 0.1
NO_OUTPUT = memoryview(b"")
# Well below the shortest timeout that relies on detecting a dead connection.
USER_TIMEOUT_MS = 2000
# For a peer that may be busy: longer than most requests may take.
BUSY_USER_TIMEOUT_MS = 30_000
RESET_ON_CLOSE = struct.pack("ii", 1, 0)


class KeepAlive(NamedTuple):
    """Configure the probes of an idle connection, in whole seconds."""

    idle_s: int = 2
    interval_s: int = 1
    probes: int = 2

    @property
    def detection_s(self) -> int:
        """Return the longest time until a dead connection is found."""
        return self.idle_s + self.interval_s * self.probes


DEFAULT_KEEP_ALIVE = KeepAlive()
# The quickest last; a single probe may be lost on a connection that is sound.
KEEP_ALIVES = (DEFAULT_KEEP_ALIVE, KeepAlive(1, 1, 2), KeepAlive(1, 1, 1))


def keep_alive_within(limit_s: float) -> KeepAlive:
    """Return probes that find a dead connection in a time, or the quickest.

    >>> keep_alive_within(3.5).detection_s, keep_alive_within(0.5).detection_s
    (3, 2)
    """
    for keep_alive in KEEP_ALIVES:
        if keep_alive.detection_s <= limit_s:
            return keep_alive
    return KEEP_ALIVES[-1]


def configure_socket(
    sock: socket.socket,
    user_timeout_ms: int,
    keep_alive: KeepAlive = DEFAULT_KEEP_ALIVE,
) -> None:
    """Disable Nagle's algorithm and enable detection of dead connections."""
    sock.setblocking(False)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    options = {
        socket.TCP_USER_TIMEOUT: user_timeout_ms,
        socket.TCP_KEEPIDLE: keep_alive.idle_s,
        socket.TCP_KEEPINTVL: keep_alive.interval_s,
        socket.TCP_KEEPCNT: keep_alive.probes,
    }
    for option, value in options.items():
        sock.setsockopt(socket.IPPROTO_TCP, option, value)


class Channel:
    """Wrap one connected socket; the methods raise OSError on failure.

    The system reports an error of a connection once, to whichever call comes
    first, and then shows an end as after an orderly close. The channel keeps
    the first error, and raises it in place of such an end.

    user_timeout_ms is TCP_USER_TIMEOUT: it bounds the time without progress
    while data is unacknowledged or waits for the peer's receive window. 0
    selects the system default.
    """

    def __init__(
        self,
        sock: socket.socket,
        user_timeout_ms: int = USER_TIMEOUT_MS,
        keep_alive: KeepAlive = DEFAULT_KEEP_ALIVE,
    ) -> None:
        configure_socket(sock, user_timeout_ms, keep_alive)
        self.sock = sock
        self.user_timeout_ms = user_timeout_ms
        self.error: OSError | None = None
        # What start_sending() has yet to send.
        self.output = NO_OUTPUT
        # Whether a peer that does not read is distinguished from a dead one.
        self.allows_busy_peer = False
        self.is_closed = False
        # Whether the last read took all input that had arrived.
        self.is_input_drained = False
        # Whether the last read filled its buffer, so that more input may wait.
        self.was_read_full = False

    def fail(self, error: OSError) -> OSError:
        """Keep the first error of the connection and return it."""
        if self.error is None:
            self.error = error
        return error

    def try_send(self, data: bytes | memoryview) -> memoryview:
        """Send what fits without waiting; return the unsent rest."""
        view = memoryview(data)
        if view:
            self.check_open()
            try:
                return view[self.sock.send(view, socket.MSG_NOSIGNAL) :]
            except BlockingIOError:
                pass
            except OSError as error:
                raise self.fail(error) from None
        return view

    async def send(self, data: bytes | memoryview) -> None:
        """Send all bytes."""
        view = self.try_send(data)
        while view:
            await self.wait(anyio.wait_writable)
            view = self.try_send(view)

    def start_sending(self, *parts: bytes) -> None:
        """Send what fits; the rest is sent while input is waited for.

        An error does not show here, as input that arrived before it is still
        to be read. It is raised in place of the end of the input.
        """
        for part in parts:
            if self.output:
                self.output = memoryview(b"".join([self.output, part]))
            else:
                self.output = memoryview(part)
                self.send_output()

    def send_output(self) -> None:
        """Send what fits of the output; discard it after an error."""
        try:
            self.output = self.try_send(self.output)
        except OSError:
            self.output = NO_OUTPUT

    async def send_output_until_input(self) -> None:
        """Send the output until all of it is sent or there is input."""
        while self.output and not await self.wait_for_input_or_space():
            self.send_output()

    async def confirm_output(self) -> None:
        """Wait until the peer has acknowledged all output.

        The peer may have closed the connection in an orderly way before it
        received the output; it then answers the output with a reset.
        """
        while self.output:
            await self.wait(anyio.wait_writable)
            self.send_output()
        is_pending = True
        while is_pending:
            self.check_open()
            is_pending = unacknowledged_bytes(self.sock) > 0
            code = self.sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
            if code:
                self.fail(OSError(code, os.strerror(code)))
            if self.error is not None:
                raise self.error
            if is_pending:
                await anyio.sleep(ACKNOWLEDGEMENT_POLL_S)

    async def receive(self, max_bytes: int = READ_BYTES) -> bytes:
        """Receive some bytes, empty at the end of the connection.

        A fast sender can make every read succeed without waiting. Each full
        read is therefore followed by a checkpoint, so that other tasks and
        the timeouts of this one can run.
        """
        if self.was_read_full:
            self.was_read_full = False
            await anyio.lowlevel.checkpoint()
        while True:
            self.check_open()
            if self.output:
                self.send_output()
            if self.is_input_drained:
                await self.wait_for_input()
            try:
                data = self.sock.recv(max_bytes)
            except BlockingIOError:
                self.is_input_drained = True
                continue
            except OSError as error:
                raise self.fail(error) from None
            if not data and self.error is not None:
                raise self.error
            self.is_input_drained = 0 < len(data) < max_bytes
            self.was_read_full = len(data) == max_bytes
            return data

    async def wait_for_end(self) -> None:
        """Wait until the peer ends the connection, leaving input unread.

        Waits on where the system does not tell the state of a connection.
        """
        while True:
            await anyio.sleep(END_POLL_S)
            self.check_open()
            info = read_tcp_info(self.sock)
            if info is not None and info.has_peer_ended:
                return

    async def wait(
        self, condition: Callable[[socket.socket], Awaitable[None]]
    ) -> None:
        """Wait for a condition of the socket; raises OSError if closed."""
        self.check_open()
        with suppress(anyio.ClosedResourceError):
            await condition(self.sock)
        self.check_open()

    async def wait_for_input(self) -> None:
        """Wait until the socket may be read, sending output meanwhile."""
        while self.output:
            if await self.wait_for_input_or_space():
                return
            self.send_output()
        await self.wait(anyio.wait_readable)

    async def wait_for_input_or_space(self) -> bool:
        """Wait until the socket may be read or written; tell if read."""
        is_readable = False
        async with anyio.create_task_group() as tasks:

            async def wait_for_space() -> None:
                with suppress(anyio.ClosedResourceError):
                    await anyio.wait_writable(self.sock)
                tasks.cancel_scope.cancel()

            tasks.start_soon(wait_for_space)
            with suppress(anyio.ClosedResourceError):
                await anyio.wait_readable(self.sock)
                is_readable = True
            tasks.cancel_scope.cancel()
        self.check_open()
        return is_readable

    def allow_busy_peer(self) -> None:
        """Let the peer leave output unread for as long as it is alive.

        TCP_USER_TIMEOUT also ends the connection of a peer that acknowledges
        every probe but has no room. has_dead_peer() is to be called instead.
        """
        if not self.allows_busy_peer:
            self.allows_busy_peer = True
            self.set_user_timeout(BUSY_USER_TIMEOUT_MS)

    def expect_prompt_peer(self) -> None:
        """Undo allow_busy_peer(), once the peer has read all output."""
        if self.allows_busy_peer:
            self.allows_busy_peer = False
            self.set_user_timeout(self.user_timeout_ms)

    def set_user_timeout(self, user_timeout_ms: int) -> None:
        """Set TCP_USER_TIMEOUT."""
        self.sock.setsockopt(
            socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, user_timeout_ms
        )

    def has_dead_peer(self) -> bool:
        """Return whether the peer answers nothing that is sent to it."""
        if self.is_closed or not self.allows_busy_peer:
            return False
        info = read_tcp_info(self.sock)
        return info is not None and info.is_unanswered_for(
            self.user_timeout_ms
        )

    def shutdown_send(self) -> None:
        """Shut down the sending direction."""
        self.check_open()
        self.sock.shutdown(socket.SHUT_WR)

    def read_before_waiting(self) -> None:
        """Make the next receive try to read before it waits."""
        self.is_input_drained = False

    def check_open(self) -> None:
        """Raise OSError if the channel has been closed."""
        if self.is_closed:
            raise OSError(errno.EBADF, "the connection was closed")

    def is_idle(self) -> bool:
        """Return whether the connection is open and has no unread input."""
        if self.is_closed:
            return False
        try:
            self.sock.recv(1, socket.MSG_PEEK)
        except BlockingIOError:
            return self.error is None and not self.output
        except OSError as error:
            self.fail(error)
        return False

    def close(self) -> None:
        """Close the connection; does nothing if it is closed."""
        if not self.is_closed:
            self.is_closed = True
            anyio.notify_closing(self.sock)
            self.sock.close()

    def reset(self) -> None:
        """Close the connection with a TCP reset."""
        if not self.is_closed:
            self.sock.setsockopt(
                socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE
            )
        self.close()


async def connect(
    address: str, keep_alive: KeepAlive = DEFAULT_KEEP_ALIVE
) -> Channel:
    """Connect to IP:PORT; raises OSError."""
    host, port = split_address(address)
    family = socket.AF_INET6 if ":" in host else socket.AF_INET
    sock = socket.socket(family, socket.SOCK_STREAM, socket.IPPROTO_TCP)
    channel = Channel(sock, keep_alive=keep_alive)
    try:
        try:
            code = sock.connect_ex((host, port))
        except (TypeError, ValueError) as error:
            raise OSError(errno.EINVAL, f"{host!r}: {error}") from None
        if code == errno.EINPROGRESS:
            await anyio.wait_writable(sock)
            code = sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
        if code:
            raise OSError(code, os.strerror(code))
    except BaseException:
        channel.close()
        raise
    return channel
