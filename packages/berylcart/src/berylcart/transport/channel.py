"""Send and receive bytes on one TCP connection.

A connection holds only bytes that were asked for, so that whether anything
unread waits on it can be told before it is used again.
"""

import errno
import os
import socket
import struct

import anyio
import anyio.lowlevel

from berylcart.transport.listening import split_address

READ_BYTES = 64 * 2**10
# Well under the shortest bound that rests on noticing a silent connection.
USER_TIMEOUT_MS = 2000
KEEPALIVE_IDLE_S = 2
KEEPALIVE_INTERVAL_S = 1
KEEPALIVE_PROBES = 2
RESET_ON_CLOSE = struct.pack("ii", 1, 0)


def tune(sock: socket.socket, user_timeout_ms: int) -> None:
    """Turn off delays, and let a silent connection end by itself."""
    sock.setblocking(False)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    options = {
        socket.TCP_USER_TIMEOUT: user_timeout_ms,
        socket.TCP_KEEPIDLE: KEEPALIVE_IDLE_S,
        socket.TCP_KEEPINTVL: KEEPALIVE_INTERVAL_S,
        socket.TCP_KEEPCNT: KEEPALIVE_PROBES,
    }
    for option, value in options.items():
        sock.setsockopt(socket.IPPROTO_TCP, option, value)


class Channel:
    """Hold one connected socket; its calls raise OSError on a failure.

    user_timeout_ms bounds the time without any progress while bytes wait to
    be sent, 0 leaves it to the system.
    """

    def __init__(
        self, sock: socket.socket, user_timeout_ms: int = USER_TIMEOUT_MS
    ) -> None:
        tune(sock, user_timeout_ms)
        self.sock = sock
        self.is_closed = False
        # Whether the last read took all that had arrived.
        self.is_drained = False
        # Whether the last read was full, so that more may have arrived.
        self.is_flooded = False

    def send_now(self, data: bytes) -> memoryview:
        """Send what can be sent without waiting, and give the rest."""
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
        """Receive some bytes, none at the end of the connection.

        A sender that is never waited for must not keep other tasks, nor the
        timeouts on this one, from running: full reads let them run between.
        """
        if self.is_flooded:
            self.is_flooded = False
            await anyio.lowlevel.checkpoint()
        while True:
            self.check_open()
            if self.is_drained:
                await anyio.wait_readable(self.sock)
                self.check_open()
            try:
                data = self.sock.recv(READ_BYTES)
            except BlockingIOError:
                self.is_drained = True
                continue
            self.is_drained = 0 < len(data) < READ_BYTES
            self.is_flooded = len(data) == READ_BYTES
            return data

    def end_sending(self) -> None:
        """Tell the other side that nothing more comes."""
        self.check_open()
        self.sock.shutdown(socket.SHUT_WR)

    def look_first(self) -> None:
        """Have the next receive take what has arrived before it waits."""
        self.is_drained = False

    def check_open(self) -> None:
        """Raise OSError on a channel that was closed meanwhile."""
        if self.is_closed:
            raise OSError(errno.EBADF, "the connection was closed")

    def is_quiet(self) -> bool:
        """Tell whether the connection is open with nothing unread on it."""
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
        """Close the connection; closing again does nothing."""
        if not self.is_closed:
            self.is_closed = True
            anyio.notify_closing(self.sock)
            self.sock.close()

    def reset(self) -> None:
        """Close the connection so that the other side sees a failure."""
        if not self.is_closed:
            self.sock.setsockopt(
                socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE
            )
        self.close()


async def connect(address: str) -> Channel:
    """Connect to IP:PORT; raises OSError."""
    host, port = split_address(address)
    family = socket.AF_INET6 if ":" in host else socket.AF_INET
    sock = socket.socket(family, socket.SOCK_STREAM, socket.IPPROTO_TCP)
    channel = Channel(sock)
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
