"""Test that calls to a faulty server stay within time and size limits."""

import socket
from contextlib import asynccontextmanager

import anyio
import pytest
from berylcart.coordination.gateway.buffer_budget import BufferBudget
from berylcart.transport.channel import Channel
from berylcart.transport.http_client import (
    MAX_BODY_BYTES,
    HttpClient,
    HttpError,
    HttpRequest,
    HttpTimeoutError,
    HttpTooLargeError,
)

from ..invalid_responses import INVALID_RESPONSES

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


MIB = 2**20
ENDLESS = [
    b"HTTP/1.1 200 OK\r\nContent-Length: 999999999\r\n\r\n",
    b"HTTP/1.1 200 OK\r\n\r\n",
    b"HTTP/1.1 503 Busy\r\n\r\n",
    b"HTTP/1.1 200 OK\r\nx: ",
    b"HTTP/1.1 100 Continue\r\n\r\n" * 9,
]


class EndlessServer:
    """Send bytes without end until the client closes the connection."""

    def __init__(self, start, block=b"x" * 2**16):
        self.start = start
        self.block = block
        self.closed = anyio.Event()
        self.address = ""

    async def handle(self, connection):
        """Send to one client."""
        try:
            await connection.send(self.start)
            while True:
                await connection.send(self.block)
        except (anyio.BrokenResourceError, anyio.ClosedResourceError):
            self.closed.set()

    @asynccontextmanager
    async def running(self):
        """Serve on a loopback port."""
        listener = await anyio.create_tcp_listener(local_host="127.0.0.1")
        async with listener, anyio.create_task_group() as tasks:
            tasks.start_soon(listener.serve, self.handle)
            port = listener.extra(anyio.abc.SocketAttribute.local_port)
            self.address = f"127.0.0.1:{port}"
            yield self
            tasks.cancel_scope.cancel()


@pytest.mark.parametrize("start", ENDLESS)
async def test_endless_response_is_not_kept(start):
    """Stage replicas filled the memory of the daemon that called them."""
    budget = BufferBudget(MIB)
    held = []
    async with (
        EndlessServer(start).running() as server,
        HttpClient(buffer_budget=budget) as client,
    ):
        budget.apply_change = lambda account, count: held.append(count)
        request = HttpRequest("GET", server.address, "/", max_body_bytes=1000)
        with anyio.fail_after(5), pytest.raises(HttpError):
            await client.request(request)
        with anyio.fail_after(5):
            await server.closed.wait()
    assert sum(count for count in held if count > 0) <= 3 * 2**16


async def test_endless_chunks_are_not_kept():
    block = b"1000\r\n" + b"x" * 0x1000 + b"\r\n"
    async with (
        EndlessServer(CHUNKED, block).running() as server,
        HttpClient() as client,
    ):
        request = HttpRequest("GET", server.address, "/", max_body_bytes=1000)
        with anyio.fail_after(5), pytest.raises(HttpTooLargeError):
            await client.request(request)


async def test_responses_together_stay_within_the_buffer_budget():
    """Each call was limited, but not the calls of a daemon together."""
    budget = BufferBudget(4 * MIB)
    errors = []

    async def request(client, address):
        try:
            await client.request(HttpRequest("GET", address, "/"))
        except HttpError as error:
            errors.append(error)
            assert budget.total_bytes <= budget.limit_bytes

    async with (
        EndlessServer(ENDLESS[1]).running() as server,
        HttpClient(buffer_budget=budget) as client,
    ):
        with anyio.fail_after(20):
            async with anyio.create_task_group() as tasks:
                for _ in range(8):
                    tasks.start_soon(request, client, server.address)
    assert len(errors) == 8
    assert any("memory" in error.detail for error in errors)
    assert budget.total_bytes == 0
    assert not budget.accounts


async def test_error_page_longer_than_the_result_is_read(serve_bytes):
    body = b"x" * 5000
    data = b"HTTP/1.1 503 Busy\r\nContent-Length: 5000\r\n\r\n" + body
    async with serve_bytes(data) as address, HttpClient() as client:
        request = HttpRequest("GET", address, "/", max_body_bytes=1000)
        assert (await client.request(request)).body == body


CUT_RESPONSES = [
    b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n",
    b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}",
    CHUNKED + b"2\r\n{}\r\n0\r\n\r\n",
]


@pytest.mark.parametrize("data", CUT_RESPONSES)
async def test_response_that_stops_in_its_head_fails(data, serve_bytes):
    """A head that was cut off became an empty successful response."""
    for size in range(1, len(data)):
        async with serve_bytes(data[:size]) as address:
            with pytest.raises(HttpError) as raised:
                await call(address)
            assert raised.value.is_sent


async def test_what_is_no_response_fails_the_call(serve_bytes):
    """Statuses such as 000 and unclear lengths came through as responses."""
    for data in INVALID_RESPONSES:
        async with serve_bytes(data) as address:
            with pytest.raises(HttpError) as raised:
                await call(address)
            assert raised.value.is_sent


BUSY = b"HTTP/1.1 503 Busy\r\nContent-Length: 4\r\n\r\nbusy"
UNFRAMED = b"HTTP/1.1 200 OK\r\n\r\na part"


@asynccontextmanager
async def reset_uploads(data):
    """Run a server that responds to a head and resets the connection."""
    listener = socket.create_server(("127.0.0.1", 0))
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 8192)
    listener.setblocking(False)

    async def serve():
        while True:
            await anyio.wait_readable(listener)
            channel = Channel(listener.accept()[0])
            await channel.receive()
            await channel.send(data)
            await anyio.sleep(0.1)
            channel.reset()

    async with anyio.create_task_group() as tasks:
        tasks.start_soon(serve)
        yield f"127.0.0.1:{listener.getsockname()[1]}"
        tasks.cancel_scope.cancel()
    listener.close()


async def upload(address):
    """Send a body that does not fit into the buffers of a connection."""
    async with HttpClient() as client:
        request = HttpRequest("POST", address, "/", b"b" * 4_000_000)
        with anyio.fail_after(5):
            return await client.request(request)


async def test_refusal_before_the_body_is_read_is_received():
    async with reset_uploads(BUSY) as address:
        assert (await upload(address)).body == b"busy"


async def test_reset_during_an_upload_does_not_complete_a_response():
    """A failed send took the reset, and the next read saw an orderly end."""
    async with reset_uploads(UNFRAMED) as address:
        with pytest.raises(HttpError) as raised:
            await upload(address)
        assert raised.value.is_sent
