"""Send and receive bytes on one TCP connection.

A channel reads from its socket only on request and buffers nothing, so that
unread input can be detected before the connection is reused.
"""

import errno
import os
import socket
import struct
from typing import NamedTuple

import anyio
import anyio.lowlevel

from berylcart.transport.socket_addresses import split_address

READ_BYTES = 64 * 2**10
# Well below the shortest timeout that relies on detecting a dead connection.
USER_TIMEOUT_MS = 2000
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
        self.is_closed = False
        # Whether the last read took all input that had arrived.
        self.is_input_drained = False
        # Whether the last read filled its buffer, so that more input may wait.
        self.was_read_full = False

    def try_send(self, data: bytes) -> memoryview:
        """Send what fits without waiting; return the unsent rest."""
        view = memoryview(data)
        if view:
            self.check_open()
            try:
                return view[self.sock.send(view, socket.MSG_NOSIGNAL) :]
            except BlockingIOError:
                pass
        return view

    async def send(self, data: bytes | memoryview) -> None:
        """Send all bytes."""
        view = memoryview(data)
        while view:
            self.check_open()
            try:
                sent = self.sock.send(view, socket.MSG_NOSIGNAL)
            except BlockingIOError:
                await anyio.wait_writable(self.sock)
            else:
                view = view[sent:]

    async def receive(self) -> bytes:
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
            if self.is_input_drained:
                await anyio.wait_readable(self.sock)
                self.check_open()
            try:
                data = self.sock.recv(READ_BYTES)
            except BlockingIOError:
                self.is_input_drained = True
                continue
            self.is_input_drained = 0 < len(data) < READ_BYTES
            self.was_read_full = len(data) == READ_BYTES
            return data

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
            return True
        except OSError:
            return False
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
