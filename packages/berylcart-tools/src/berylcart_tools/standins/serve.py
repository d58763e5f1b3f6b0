"""Serve a stand-in's ASGI application over HTTP as a task."""

import socket
from collections.abc import AsyncGenerator, Callable, Coroutine, Iterator
from contextlib import asynccontextmanager, contextmanager
from typing import Any, NamedTuple

import anyio
import uvicorn
from anyio.abc import TaskStatus
from berylcart import events
from berylcart.transport.socket_addresses import bind, bound_address
from starlette.types import ASGIApp
from uvicorn.protocols.http.h11_impl import H11Protocol

from berylcart_tools.standins.faults import FaultMiddleware, Faults

KEEP_ALIVE_S = 5
BACKLOG = 512


class AppServer(uvicorn.Server):
    """Run a uvicorn server as a task of an enclosing task group."""

    def __init__(self, app: ASGIApp, faults: Faults) -> None:
        config = uvicorn.Config(
            FaultMiddleware(app, faults, self.abort_connection),
            http=H11Protocol,
            ws="none",
            lifespan="off",
            log_config=None,
            log_level="warning",
            access_log=False,
            proxy_headers=False,
            server_header=False,
            date_header=False,
            timeout_keep_alive=KEEP_ALIVE_S,
        )
        super().__init__(config)
        self.is_ready = anyio.Event()

    async def startup(
        self, sockets: list[socket.socket] | None = None
    ) -> None:
        """Start to listen, then set is_ready."""
        await super().startup(sockets)
        self.is_ready.set()

    @contextmanager
    def capture_signals(self) -> Iterator[None]:
        """Install no signal handlers; the process handles its own signals."""
        yield

    def connections(self) -> list[H11Protocol]:
        """List the open connections."""
        open_connections = list(self.server_state.connections)
        return [c for c in open_connections if isinstance(c, H11Protocol)]

    def abort_connection(self, client: Any) -> None:
        """Abort the connection from a client address, without a response."""
        for connection in self.connections():
            if connection.client == client:
                connection.transport.abort()

    def abort(self) -> None:
        """Close every connection and cancel every request, as in a crash."""
        for server in getattr(self, "servers", []):
            server.close()
        for connection in self.connections():
            connection.transport.abort()
        for task in list(self.server_state.tasks):
            task.cancel()


async def serve_app(
    kind: str,
    app: ASGIApp,
    faults: Faults,
    address: str,
    *,
    stop: anyio.Event | None = None,
    task_status: TaskStatus[str] = anyio.TASK_STATUS_IGNORED,
) -> None:
    """Serve until stop is set, then complete the requests in flight.

    Reports the bound address once started. Cancellation closes every
    connection at once. Raises BerylcartError if the address is in use.
    """
    stop = stop or anyio.Event()
    sock = bind(address)
    server = AppServer(app, faults)
    try:
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(server.serve, [sock])
            await server.is_ready.wait()
            bound = bound_address(sock)
            events.info("standin.ready", kind=kind, address=bound)
            task_status.started(bound)
            await stop.wait()
            server.should_exit = True
    finally:
        server.abort()
        sock.close()


@asynccontextmanager
async def running(
    serve: Callable[..., Coroutine[Any, Any, None]], settings: NamedTuple
) -> AsyncGenerator[str]:
    """Run a stand-in for the duration of a with block; yields its address."""
    async with anyio.create_task_group() as tasks:
        address: str = await tasks.start(serve, settings)
        yield address
        tasks.cancel_scope.cancel()
