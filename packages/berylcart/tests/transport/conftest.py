"""Serve canned answers to clients under test."""

from contextlib import asynccontextmanager

import anyio
import pytest


@asynccontextmanager
async def answering(data):
    """Listen, answer each connection with the same bytes, and close it."""

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


@pytest.fixture(scope="session", name="answering")
def offer_answering():
    """Give the context manager that serves one canned answer."""
    return answering
