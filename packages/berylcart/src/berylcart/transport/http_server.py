"""Serve an ASGI application with limits on slow clients."""

import asyncio
import contextlib
from collections import deque
from collections.abc import Iterator
from typing import Any, ClassVar

import h11
import uvicorn
from uvicorn.protocols.http.h11_impl import H11Protocol

from berylcart.coordination.gateway.input_turns import InputTurns

BACKLOG = 2048
KEEP_ALIVE_S = 30
# Bounds the time that one read takes to parse.
READ_BYTES = 8 * 2**10
# Input up to this size is parsed at once; a usual request is smaller.
USUAL_READ_BYTES = 2 * 2**10


class LimitedProtocol(H11Protocol):
    """Limit the time for a request head, and parse large input in turns.

    silent holds the connections without any input, the oldest first.
    """

    head_timeout_s = 5.0
    max_connections = 2048
    input_turns = InputTurns()
    silent: ClassVar[dict["LimitedProtocol", None]] = {}

    def connection_made(self, transport: Any) -> None:
        """Accept a connection; if there are too many, close a silent one."""
        super().connection_made(transport)
        # Honoured by asyncio's transports.
        transport.max_size = READ_BYTES
        self.waiting_data: deque[bytes] = deque()
        self.parse_task: asyncio.Task[None] | None = None
        self.head_timer: asyncio.TimerHandle | None = None
        self.silent[self] = None
        if len(self.connections) > self.max_connections:
            oldest = next(iter(self.silent))
            del self.silent[oldest]
            oldest.transport.close()
            if oldest is self:
                return
        self.start_head_timer()

    def data_received(self, data: bytes) -> None:
        """Parse bytes, if they are many when it is this connection's turn."""
        self.silent.pop(self, None)
        if len(data) <= USUAL_READ_BYTES and self.parse_task is None:
            self.parse(data)
            return
        self.transport.pause_reading()
        # The base class may resume reading while earlier bytes wait.
        self.waiting_data.append(data)
        if self.parse_task is None:
            self.parse_task = self.loop.create_task(self.parse_in_turns())

    async def parse_in_turns(self) -> None:
        """Parse reads, each after those of connections that wait already."""
        while self.waiting_data:
            await self.input_turns.wait()
            if self.transport.is_closing():
                return
            self.parse(self.waiting_data.popleft())
        self.parse_task = None
        if not self.flow.read_paused:
            self.transport.resume_reading()

    def parse(self, data: bytes) -> None:
        """Parse bytes; start the timer if they begin a request head."""
        super().data_received(data)
        is_head_open = self.conn.their_state is h11.IDLE
        if is_head_open and self.conn.trailing_data[0]:
            self.start_head_timer()
        else:
            self.stop_head_timer()

    def connection_lost(self, exc: Exception | None) -> None:
        """Cancel the timer and the task of a closed connection."""
        self.silent.pop(self, None)
        self.stop_head_timer()
        if self.parse_task is not None:
            self.parse_task.cancel()
        super().connection_lost(exc)

    def on_response_complete(self) -> None:
        """Drop the request's head, which an idle connection would keep."""
        # Applications may have put a list of their own into the scope.
        self.headers = self.scope["headers"] = []
        super().on_response_complete()

    def start_head_timer(self) -> None:
        """Start the timer if it is not running."""
        if self.head_timer is None:
            self.head_timer = self.loop.call_later(
                self.head_timeout_s, self.transport.close
            )

    def stop_head_timer(self) -> None:
        """Cancel the timer if it is running."""
        if self.head_timer is not None:
            self.head_timer.cancel()
            self.head_timer = None


class EmbeddedServer(uvicorn.Server):
    """Leave signal handling to the program that embeds the server."""

    @contextlib.contextmanager
    def capture_signals(self) -> Iterator[None]:
        """Install no signal handlers."""
        yield


def make_asgi_server(
    app: Any,
    *,
    header_bytes: int,
    head_timeout_s: float,
    max_connections: int,
) -> EmbeddedServer:
    """Build a server, to be run with serve(sockets) on bound sockets.

    Set should_exit to make serve() return once the requests in flight have
    finished.
    """
    limits = {
        "head_timeout_s": head_timeout_s,
        "max_connections": max_connections,
        "input_turns": InputTurns(),
        "silent": {},
    }
    protocol = type("ConfiguredProtocol", (LimitedProtocol,), limits)
    config = uvicorn.Config(
        app,
        http=protocol,
        ws="none",
        lifespan="off",
        log_config=None,
        access_log=False,
        server_header=False,
        date_header=False,
        backlog=BACKLOG,
        timeout_keep_alive=KEEP_ALIVE_S,
        h11_max_incomplete_event_size=header_bytes,
    )
    return EmbeddedServer(config)
