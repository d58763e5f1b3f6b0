"""Serve canned responses to clients under test."""

from contextlib import asynccontextmanager

import anyio
import pytest


@asynccontextmanager
async def serve_bytes(data):
    """Run a server that sends the same bytes on each connection and closes."""

    async def handle(connection):
        async with connection:
            with anyio.move_on_after(10):
                await connection.receive()
                await connection.send(data)

    listener = await anyio.create_tcp_listener(local_host="127.0.0.1")
    async with listener, anyio.create_task_group() as tasks:
        tasks.start_soon(listener.serve, handle)
        port = listener.extra(anyio.abc.SocketAttribute.local_port)
        yield f"127.0.0.1:{port}"
        tasks.cancel_scope.cancel()


@pytest.fixture(scope="session", name="serve_bytes")
def serve_bytes_fixture():
    """Provide serve_bytes to tests."""
    return serve_bytes
