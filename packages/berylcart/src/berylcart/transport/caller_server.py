"""Accept callers' connections on an address."""

import socket

import anyio
from anyio.abc import TaskGroup

from berylcart import events
from berylcart.transport.caller_connection import (
    CallerConnection,
    ConnectionRules,
)
from berylcart.transport.channel import Channel
from berylcart.transport.listening import address_of, bind

BACKLOG = 2048
# A caller that doesn't read for a while isn't cut for that alone: the deadline
# of its request and the share of memory bound it. Keep-alive still finds the
# one that vanished.
NO_USER_TIMEOUT_MS = 0
# After a failed accept, such as one without free descriptors.
ACCEPT_PAUSE_S = 0.05


class CallerServer:
    """Serve every connection to an IP:PORT address in a task of its own."""

    def __init__(
        self, address: str, rules: ConnectionRules, max_connections: int
    ) -> None:
        self.rules = rules
        self.max_connections = max_connections
        self.sock = bind(address)
        self.sock.setblocking(False)
        self.sock.listen(BACKLOG)
        self.connections: set[CallerConnection] = set()

    @property
    def address(self) -> str:
        """Give the IP:PORT address listened at."""
        return address_of(self.sock)

    async def run(self) -> None:
        """Accept connections until cancelled."""
        async with anyio.create_task_group() as tasks:
            try:
                while True:
                    await self.accept(tasks)
            finally:
                self.sock.close()

    async def accept(self, tasks: TaskGroup) -> None:
        """Accept the next connection."""
        await anyio.wait_readable(self.sock)
        try:
            sock, _ = self.sock.accept()
        except BlockingIOError:
            return
        except OSError as error:
            events.warning("caller.accept_failed", detail=str(error))
            await anyio.sleep(ACCEPT_PAUSE_S)
            return
        if len(self.connections) >= self.max_connections:
            events.warning("caller.too_many", count=len(self.connections))
            sock.close()
            return
        tasks.start_soon(self.serve, sock)

    async def serve(self, sock: socket.socket) -> None:
        """Serve one connection; a fault of ours ends only that one."""
        try:
            # A socket whose caller has left may refuse its options.
            connection = CallerConnection(
                Channel(sock, NO_USER_TIMEOUT_MS), self.rules
            )
        except Exception as error:
            events.info("caller.lost", detail=str(error))
            sock.close()
            return
        self.connections.add(connection)
        try:
            await connection.run()
        except Exception as error:
            events.error(
                "caller.fault", detail=f"{type(error).__name__}: {error}"
            )
        finally:
            self.connections.discard(connection)

    def close_idle(self) -> None:
        """Close the connections on which no request is in progress."""
        for connection in self.connections:
            if connection.idle_scope is not None:
                connection.idle_scope.cancel()
