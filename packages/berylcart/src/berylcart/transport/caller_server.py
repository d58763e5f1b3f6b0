"""Accept callers' connections on an address."""

import socket
from collections.abc import Iterable

import anyio
from anyio.abc import TaskGroup

from berylcart import events
from berylcart.coordination.gateway.input_turns import InputTurns
from berylcart.transport.caller_connection import (
    MS_PER_S,
    CallerConnection,
    ConnectionOptions,
)
from berylcart.transport.channel import Channel
from berylcart.transport.socket_addresses import bind, bound_address

BACKLOG = 2048
# A caller that pauses reading is not disconnected for that alone: the deadline
# of its request and the memory limit bound it. TCP keep-alive still detects a
# caller that has vanished.
NO_USER_TIMEOUT_MS = 0
# Delay after a failed accept, for example when no file descriptor is free.
ACCEPT_RETRY_DELAY_S = 0.05


def choose_idle(
    connections: Iterable[CallerConnection],
) -> CallerConnection | None:
    """Choose which connection gives its place to a new one, if any.

    Callers that never sent a request come first, then those that have waited
    for the longest. None is chosen that a request is read or served on.
    """
    idle = [each for each in connections if each.is_idle]
    idle.sort(key=lambda each: (each.has_served, each.idle_end_s))
    return next((each for each in idle if each.channel.is_idle()), None)


def choose_unread(
    connections: Iterable[CallerConnection], min_unread_s: float
) -> CallerConnection | None:
    """Choose the connection whose caller has left a response unread longest.

    None is chosen that has waited for less than min_unread_s.
    """
    longest = max(connections, key=CallerConnection.unread_s, default=None)
    if longest is None or longest.unread_s() < min_unread_s:
        return None
    return longest


class CallerServer:
    """Serve each connection to an IP:PORT address in its own task."""

    def __init__(
        self, address: str, options: ConnectionOptions, max_connections: int
    ) -> None:
        self.options = options
        self.max_connections = max_connections
        self.input_turns = InputTurns()
        self.sock = bind(address)
        self.sock.setblocking(False)
        self.sock.listen(BACKLOG)
        self.connections: set[CallerConnection] = set()
        self.ended = anyio.Event()

    @property
    def address(self) -> str:
        """Return the IP:PORT address on which the server listens."""
        return bound_address(self.sock)

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
            await anyio.sleep(ACCEPT_RETRY_DELAY_S)
            return
        if len(self.connections) >= self.max_connections:
            is_place_free = self.free_place()
            events.warning(
                "caller.connection_limit_reached",
                count=len(self.connections),
                is_other_closed=is_place_free,
            )
            if not is_place_free:
                sock.close()
                return
        tasks.start_soon(self.serve, sock)

    def free_place(self) -> bool:
        """Close a connection that does nothing, if any; return whether."""
        idle = choose_idle(self.connections)
        if idle is not None:
            idle.close_idle()
            return True
        idle_timeout_s = self.options.limits().idle_timeout_ms / MS_PER_S
        unread = choose_unread(self.connections, idle_timeout_s)
        if unread is None:
            return False
        unread.abort()
        return True

    async def serve(self, sock: socket.socket) -> None:
        """Serve one connection; an exception closes only this connection."""
        try:
            # Setting options may fail if the caller has already disconnected.
            connection = CallerConnection(
                Channel(sock, NO_USER_TIMEOUT_MS),
                self.options,
                self.input_turns,
            )
        except Exception as error:
            events.info("caller.connection_lost", detail=str(error))
            sock.close()
            return
        self.connections.add(connection)
        try:
            await connection.run()
        except Exception as error:
            events.error(
                "caller.connection_failed",
                detail=f"{type(error).__name__}: {error}",
            )
        finally:
            self.connections.discard(connection)
            self.ended.set()

    def close_idle(self) -> None:
        """Close the connections without a request in progress."""
        for connection in self.connections:
            connection.close_idle()

    def refuse_incomplete(self) -> None:
        """Refuse the requests that have not arrived completely."""
        for connection in self.connections:
            connection.refuse_incomplete()

    async def wait_quiet(self) -> None:
        """Wait until no request or refusal is in progress.

        Connections must be closing, so that each ends with its response.
        """
        while any(not each.is_idle for each in self.connections):
            self.ended = anyio.Event()
            await self.ended.wait()
