"""Test that calls to a faulty server stay within time and size limits."""

import anyio
import pytest
from berylcart.transport.http_client import (
    MAX_BODY_BYTES,
    HttpClient,
    HttpError,
    HttpRequest,
    HttpTimeoutError,
    HttpTooLargeError,
)

pytestmark = pytest.mark.anyio

CHUNKED = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"


@pytest.fixture
def anyio_backend():
    """Run on the backend of the daemon."""
    return "asyncio"


async def call(address, timeout_ms=5000):
    """Send one GET request."""
    async with HttpClient() as client:
        request = HttpRequest("GET", address, "/", timeout_ms=timeout_ms)
        with anyio.fail_after(5):
            return await client.request(request)


@pytest.mark.parametrize(
    "start", [b"HTTP/1.1 200 OK\r\nx: ", CHUNKED, CHUNKED + b"0\r\nx: "]
)
async def test_slow_response_ends_at_the_request_timeout(start):
    async def handle(connection):
        await connection.send(start)
        while True:
            await connection.send(b"0")
            await anyio.sleep(0.01)

    listener = await anyio.create_tcp_listener(local_host="127.0.0.1")
    async with listener, anyio.create_task_group() as tasks:
        tasks.start_soon(listener.serve, handle)
        port = listener.extra(anyio.abc.SocketAttribute.local_port)
        with pytest.raises(HttpTimeoutError):
            await call(f"127.0.0.1:{port}", 100)
        tasks.cancel_scope.cancel()


async def test_oversized_body_is_not_buffered(serve_bytes):
    data = b"HTTP/1.1 200 OK\r\n\r\n" + b"x" * (MAX_BODY_BYTES + 1)
    async with serve_bytes(data) as address:
        with pytest.raises(HttpTooLargeError):
            await call(address)


async def test_unsolicited_upgrade_fails_the_call(serve_bytes):
    data = b"HTTP/1.1 101 \r\nConnection: upgrade\r\nUpgrade: x\r\n\r\n."
    async with serve_bytes(data) as address:
        with pytest.raises(HttpError):
            await call(address)
