"""Keep idle HTTP connections by address.

httpcore's own pool looks at every connection for each connection, with a
system call for each idle one, at every request.
"""

import anyio
import httpcore

MAX_CONNECTIONS = 1000
MAX_IDLE_PER_ADDRESS = 64
# Shorter than the usual five seconds of servers, so that a connection is
# seldom reused while its server closes it.
IDLE_EXPIRY_S = 2.0
SWEEP_INTERVAL_S = 1.0


def split_address(address: str) -> tuple[bytes, int]:
    """Split IP:PORT; raises httpcore.UnsupportedProtocol.

    >>> split_address("127.0.0.1:80"), split_address("[::1]:80")
    ((b'127.0.0.1', 80), (b'::1', 80))
    """
    host, _, port = address.rpartition(":")
    if not (host.isascii() and port.isascii() and port.isdigit()):
        raise httpcore.UnsupportedProtocol("an address is IP:PORT")
    return host.removeprefix("[").removesuffix("]").encode(), int(port)


class Connections:
    """Lend connections, up to a number at once over all addresses."""

    def __init__(self, max_connections: int = MAX_CONNECTIONS) -> None:
        self.limit = anyio.Semaphore(max_connections, fast_acquire=True)
        self.idle: dict[str, list[httpcore.AsyncHTTPConnection]] = {}
        self.swept_s = 0.0

    async def borrow(self, address: str) -> httpcore.AsyncHTTPConnection:
        """Take an idle connection or a new one; give it back after use."""
        await self.limit.acquire()
        try:
            await self.sweep()
            connection = await self.take_idle(address)
        except BaseException:
            self.limit.release()
            raise
        return connection or open_connection(address)

    async def take_idle(
        self, address: str
    ) -> httpcore.AsyncHTTPConnection | None:
        """Take the idle connection that was used last."""
        kept = self.idle.get(address, [])
        while kept:
            connection = kept.pop()
            if not connection.has_expired():
                return connection
            await close_all([connection])
        self.idle.pop(address, None)
        return None

    async def give_back(
        self, address: str, connection: httpcore.AsyncHTTPConnection
    ) -> None:
        """Keep a connection that can serve again, else close it."""
        self.limit.release()
        kept = self.idle.setdefault(address, [])
        is_usable = connection.is_idle() and not connection.is_closed()
        if is_usable and len(kept) < MAX_IDLE_PER_ADDRESS:
            kept.append(connection)
        else:
            await connection.aclose()

    async def sweep(self) -> None:
        """Close the connections that expired, at most once a second."""
        now_s = anyio.current_time()
        if now_s < self.swept_s + SWEEP_INTERVAL_S:
            return
        self.swept_s = now_s
        expired: list[httpcore.AsyncHTTPConnection] = []
        for address, kept in list(self.idle.items()):
            old = [one for one in kept if one.has_expired()]
            expired.extend(old)
            self.idle[address] = [one for one in kept if one not in old]
            if not self.idle[address]:
                del self.idle[address]
        await close_all(expired)

    async def aclose(self) -> None:
        """Close every idle connection."""
        closing = [one for kept in self.idle.values() for one in kept]
        self.idle.clear()
        await close_all(closing)


async def close_all(closing: list[httpcore.AsyncHTTPConnection]) -> None:
    """Close connections, also where the caller is being cancelled."""
    with anyio.CancelScope(shield=True):
        for connection in closing:
            await connection.aclose()


def open_connection(address: str) -> httpcore.AsyncHTTPConnection:
    """Describe a connection that opens with its first request."""
    host, port = split_address(address)
    origin = httpcore.Origin(b"http", host, port)
    return httpcore.AsyncHTTPConnection(origin, keepalive_expiry=IDLE_EXPIRY_S)
