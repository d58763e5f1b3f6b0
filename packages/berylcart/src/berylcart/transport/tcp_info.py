"""Read what the system knows about the peer of a TCP connection."""

import fcntl
import socket
import struct
import termios
from typing import NamedTuple

# The start of Linux's struct tcp_info: eight single bytes, then 32-bit fields.
LAYOUT = struct.Struct("=8B13I")
STATE, RETRANSMITS, PROBES, LAST_ACK_MS = 0, 2, 3, 20
# States of Linux's tcp_states.h in which the peer has ended the connection or
# its sending direction: TIME_WAIT, CLOSE, CLOSE_WAIT, LAST_ACK, CLOSING.
ENDED_STATES = frozenset((6, 7, 8, 9, 11))
COUNT = struct.Struct("=i")
# A single transmission may be lost on a connection that is sound.
MIN_UNANSWERED = 2


class TcpInfo(NamedTuple):
    """Transmissions since the peer's last answer, and that answer's age.

    has_peer_ended is set once the peer's end of the connection has arrived,
    also behind unread input. unanswered counts repeated segments and probes of
    a closed window, which a peer that is alive acknowledges even if it reads
    nothing.
    """

    unanswered: int
    last_ack_ms: int
    has_peer_ended: bool = False

    def is_unanswered_for(self, limit_ms: int) -> bool:
        """Return whether the peer left transmissions unanswered so long.

        >>> TcpInfo(3, 2100).is_unanswered_for(2000)
        True
        >>> TcpInfo(0, 60_000).is_unanswered_for(2000)
        False
        """
        return (
            self.unanswered >= MIN_UNANSWERED and self.last_ack_ms >= limit_ms
        )


def read_tcp_info(sock: socket.socket) -> TcpInfo | None:
    """Return the state of a connection, None if the system doesn't tell."""
    try:
        data = sock.getsockopt(
            socket.IPPROTO_TCP, socket.TCP_INFO, LAYOUT.size
        )
    except OSError:
        return None
    if len(data) < LAYOUT.size:
        return None
    fields = LAYOUT.unpack(data)
    return TcpInfo(
        fields[RETRANSMITS] + fields[PROBES],
        fields[LAST_ACK_MS],
        fields[STATE] in ENDED_STATES,
    )


def unacknowledged_bytes(sock: socket.socket) -> int:
    """Return how many bytes the peer has yet to acknowledge, 0 if unknown."""
    try:
        data = fcntl.ioctl(sock, termios.TIOCOUTQ, COUNT.pack(0))
    except OSError:
        return 0
    (count,) = COUNT.unpack(data)
    return int(count)
