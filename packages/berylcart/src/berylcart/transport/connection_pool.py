"""Pool idle HTTP connections by address."""

import anyio

from berylcart import clock
from berylcart.transport.channel import (
    DEFAULT_KEEP_ALIVE,
    KeepAlive,
    connect,
)
from berylcart.transport.upstream_connection import UpstreamConnection

MAX_CONNECTIONS = 1000
MAX_IDLE_PER_ADDRESS = 64
# Shorter than the common server-side keep-alive timeout of 5 s, so that a
# connection is seldom reused while its server closes it.
IDLE_EXPIRY_S = 2.0
SWEEP_INTERVAL_S = 1.0


class ConnectionPool:
    """Pool connections, with a limit on those in use over all addresses."""

    def __init__(
        self,
        max_connections: int = MAX_CONNECTIONS,
        keep_alive: KeepAlive = DEFAULT_KEEP_ALIVE,
    ) -> None:
        self.keep_alive = keep_alive
        self.in_use_limit = anyio.Semaphore(max_connections, fast_acquire=True)
        self.idle: dict[str, list[UpstreamConnection]] = {}
        self.last_sweep_s = 0.0

    async def acquire(
        self, address: str, connect_timeout_s: float
    ) -> UpstreamConnection:
        """Return an idle or a new connection, to be released after use.

        Raises OSError when connecting fails, and TimeoutError when it exceeds
        connect_timeout_s.
        """
        await self.in_use_limit.acquire()
        try:
            self.sweep()
            connection = self.pop_idle(address)
            if connection is not None:
                return connection
            with anyio.fail_after(connect_timeout_s):
                channel = await connect(address, self.keep_alive)
                return UpstreamConnection(address, channel)
        except BaseException:
            self.in_use_limit.release()
            raise

    def pop_idle(self, address: str) -> UpstreamConnection | None:
        """Remove and return the most recently used idle connection."""
        idle_connections = self.idle.get(address, [])
        while idle_connections:
            connection = idle_connections.pop()
            if connection.is_usable():
                return connection
            connection.channel.close()
        self.idle.pop(address, None)
        return None

    def release(
        self, connection: UpstreamConnection, is_complete: bool
    ) -> None:
        """Keep a connection whose response is complete, else close it."""
        self.in_use_limit.release()
        idle_connections = self.idle.setdefault(connection.address, [])
        has_capacity = len(idle_connections) < MAX_IDLE_PER_ADDRESS
        if (
            is_complete
            and has_capacity
            and connection.prepare_reuse(IDLE_EXPIRY_S)
        ):
            idle_connections.append(connection)
        else:
            connection.channel.close()

    def discard_idle(self, address: str) -> None:
        """Close the idle connections to an address."""
        for connection in self.idle.pop(address, []):
            connection.channel.close()

    def sweep(self) -> None:
        """Close expired connections, at most once per SWEEP_INTERVAL_S."""
        now_s = clock.now_s()
        if now_s < self.last_sweep_s + SWEEP_INTERVAL_S:
            return
        self.last_sweep_s = now_s
        for address, idle_connections in list(self.idle.items()):
            self.idle[address] = [
                each for each in idle_connections if each.is_usable()
            ]
            for connection in idle_connections:
                if connection not in self.idle[address]:
                    connection.channel.close()
            if not self.idle[address]:
                del self.idle[address]

    def close(self) -> None:
        """Close every idle connection."""
        for address in list(self.idle):
            self.discard_idle(address)
