"""TCP relay that adds a one-way delay, to emulate network distance.

Run it as a process; its argument is a JSON list of routes.
"""

import json
import sys
from collections.abc import Sequence
from functools import partial
from typing import NamedTuple

import anyio
from anyio.abc import ByteReceiveStream, ByteSendStream, SocketStream
from anyio.streams.memory import (
    MemoryObjectReceiveStream,
    MemoryObjectSendStream,
)

MS_PER_S = 1000
MAX_CHUNKS_IN_FLIGHT = 1024
CONNECTION_ERRORS = (
    anyio.BrokenResourceError,
    anyio.ClosedResourceError,
    OSError,
)

Chunk = tuple[float, bytes]


class Route(NamedTuple):
    """Map a local port to a target address and its one-way delay."""

    port: int
    target: str
    delay_ms: float


async def schedule_chunks(
    source: ByteReceiveStream,
    chunks: MemoryObjectSendStream[Chunk],
    delay_s: float,
) -> None:
    """Read chunks and queue each with its delivery time."""
    async with chunks:
        try:
            async for payload in source:
                await chunks.send((anyio.current_time() + delay_s, payload))
        except CONNECTION_ERRORS:
            return


async def deliver_chunks(
    chunks: MemoryObjectReceiveStream[Chunk], target: ByteSendStream
) -> None:
    """Send each queued chunk at its delivery time."""
    async for due_s, payload in chunks:
        await anyio.sleep_until(due_s)
        await target.send(payload)


async def forward(
    source: SocketStream, target: SocketStream, delay_s: float
) -> None:
    """Forward one direction of a connection until end of stream."""
    sender, receiver = anyio.create_memory_object_stream[Chunk](
        MAX_CHUNKS_IN_FLIGHT
    )
    async with anyio.create_task_group() as tasks, receiver:
        tasks.start_soon(schedule_chunks, source, sender, delay_s)
        try:
            await deliver_chunks(receiver, target)
            await target.send_eof()
        except CONNECTION_ERRORS:
            tasks.cancel_scope.cancel()


async def relay_connection(client: SocketStream, route: Route) -> None:
    """Relay one connection; close both sides when the target ends it."""
    host, _, port = route.target.rpartition(":")
    delay_s = route.delay_ms / MS_PER_S
    async with client:
        try:
            upstream = await anyio.connect_tcp(host, int(port))
        except OSError:
            return
        async with upstream, anyio.create_task_group() as tasks:
            tasks.start_soon(forward, client, upstream, delay_s)
            await forward(upstream, client, delay_s)
            tasks.cancel_scope.cancel()


async def serve_routes(routes: Sequence[Route]) -> None:
    """Listen on the port of every route until cancelled."""
    async with anyio.create_task_group() as tasks:
        for route in routes:
            listener = await anyio.create_tcp_listener(
                local_host="127.0.0.1", local_port=route.port
            )
            tasks.start_soon(
                listener.serve, partial(relay_connection, route=route)
            )


def main() -> None:
    """Serve the routes given on the command line."""
    routes = [Route(*item) for item in json.loads(sys.argv[1])]
    anyio.run(serve_routes, routes)


if __name__ == "__main__":
    main()
