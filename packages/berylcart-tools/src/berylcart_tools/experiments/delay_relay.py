"""Relay TCP connections with a one-way delay, as distance causes.

Run as a process: its argument is a JSON list of routes.
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
MAX_PENDING_CHUNKS = 1024
CLOSED = (anyio.BrokenResourceError, anyio.ClosedResourceError, OSError)

Chunk = tuple[float, bytes]


class Route(NamedTuple):
    """Relay one local port to an address."""

    port: int
    target: str
    delay_ms: float


async def read_chunks(
    source: ByteReceiveStream,
    chunks: MemoryObjectSendStream[Chunk],
    delay_s: float,
) -> None:
    """Note when each chunk is due at the other end."""
    async with chunks:
        try:
            async for data in source:
                await chunks.send((anyio.current_time() + delay_s, data))
        except CLOSED:
            return


async def write_chunks(
    chunks: MemoryObjectReceiveStream[Chunk], target: ByteSendStream
) -> None:
    """Send each chunk when it is due."""
    async for due_s, data in chunks:
        await anyio.sleep_until(due_s)
        await target.send(data)


async def pump(
    source: SocketStream, target: SocketStream, delay_s: float
) -> None:
    """Relay one direction of a connection to its end."""
    sender, receiver = anyio.create_memory_object_stream[Chunk](
        MAX_PENDING_CHUNKS
    )
    async with anyio.create_task_group() as tasks, receiver:
        tasks.start_soon(read_chunks, source, sender, delay_s)
        try:
            await write_chunks(receiver, target)
            await target.send_eof()
        except CLOSED:
            tasks.cancel_scope.cancel()


async def relay(client: SocketStream, route: Route) -> None:
    """Relay one connection; both sides close when either one does."""
    host, _, port = route.target.rpartition(":")
    delay_s = route.delay_ms / MS_PER_S
    async with client:
        try:
            upstream = await anyio.connect_tcp(host, int(port))
        except OSError:
            return
        async with upstream, anyio.create_task_group() as tasks:
            tasks.start_soon(pump, client, upstream, delay_s)
            await pump(upstream, client, delay_s)
            tasks.cancel_scope.cancel()


async def serve_routes(routes: Sequence[Route]) -> None:
    """Relay every route until cancelled."""
    async with anyio.create_task_group() as tasks:
        for route in routes:
            listener = await anyio.create_tcp_listener(
                local_host="127.0.0.1", local_port=route.port
            )
            tasks.start_soon(listener.serve, partial(relay, route=route))


def main() -> None:
    """Relay the routes of the command line."""
    routes = [Route(*item) for item in json.loads(sys.argv[1])]
    anyio.run(serve_routes, routes)


if __name__ == "__main__":
    main()
