"""Keep idle HTTP connections by address."""

import anyio

from berylcart import clock
from berylcart.transport.channel import connect
from berylcart.transport.upstream_connection import UpstreamConnection

MAX_CONNECTIONS = 1000
MAX_IDLE_PER_ADDRESS = 64
# Shorter than the usual five seconds of servers, so that a connection is
# seldom reused while its server closes it.
IDLE_EXPIRY_S = 2.0
SWEEP_INTERVAL_S = 1.0


class Connections:
    """Lend connections, up to a number at once over all addresses."""

    def __init__(self, max_connections: int = MAX_CONNECTIONS) -> None:
        self.limit = anyio.Semaphore(max_connections, fast_acquire=True)
        self.idle: dict[str, list[UpstreamConnection]] = {}
        self.swept_s = 0.0

    async def borrow(
        self, address: str, connect_timeout_s: float
    ) -> UpstreamConnection:
        """Take an idle connection or a new one; give it back after use.

        Raises OSError where none opens, TimeoutError where it takes too long.
        """
        await self.limit.acquire()
        try:
            self.sweep()
            connection = self.take_idle(address)
            if connection is not None:
                return connection
            with anyio.fail_after(connect_timeout_s):
                return UpstreamConnection(address, await connect(address))
        except BaseException:
            self.limit.release()
            raise

    def take_idle(self, address: str) -> UpstreamConnection | None:
        """Take the idle connection that was used last."""
        kept = self.idle.get(address, [])
        while kept:
            connection = kept.pop()
            if connection.is_usable():
                return connection
            connection.channel.close()
        self.idle.pop(address, None)
        return None

    def give_back(
        self, connection: UpstreamConnection, is_whole: bool
    ) -> None:
        """Keep a connection whose answer was read whole, else close it."""
        self.limit.release()
        kept = self.idle.setdefault(connection.address, [])
        has_room = len(kept) < MAX_IDLE_PER_ADDRESS
        if is_whole and has_room and connection.prepare_reuse(IDLE_EXPIRY_S):
            kept.append(connection)
        else:
            connection.channel.close()

    def sweep(self) -> None:
        """Close the connections that expired, at most once a second."""
        now_s = clock.now_s()
        if now_s < self.swept_s + SWEEP_INTERVAL_S:
            return
        self.swept_s = now_s
        for address, kept in list(self.idle.items()):
            self.idle[address] = [one for one in kept if one.is_usable()]
            for connection in kept:
                if connection not in self.idle[address]:
                    connection.channel.close()
            if not self.idle[address]:
                del self.idle[address]

    def close(self) -> None:
        """Close every idle connection."""
        for kept in self.idle.values():
            for connection in kept:
                connection.channel.close()
        self.idle.clear()
