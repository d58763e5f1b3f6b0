"""Test connection reuse with a server that counts what it accepts."""

from contextlib import asynccontextmanager

import anyio
import pytest
from berylcart.transport import connection_pool
from berylcart.transport.http_client import (
    HttpClient,
    HttpError,
    HttpRequest,
)

RESPONSE = b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"


class Server:
    """Respond to requests; close each connection after a number of them.

    If is_broken is set, connections are closed without a response.
    """

    def __init__(self, requests_per_connection=1000):
        self.requests_per_connection = requests_per_connection
        self.is_broken = False
        self.opened_count = 0
        self.open_count = 0

    async def handle(self, connection):
        """Serve one connection."""
        self.opened_count += 1
        self.open_count += 1
        try:
            async with connection:
                for _ in range(self.requests_per_connection):
                    await connection.receive()
                    if self.is_broken:
                        return
                    await connection.send(RESPONSE)
        except anyio.EndOfStream:
            pass
        finally:
            self.open_count -= 1

    @asynccontextmanager
    async def listen(self):
        """Run the server in a context that yields its address."""
        listener = await anyio.create_tcp_listener(local_host="127.0.0.1")
        async with listener, anyio.create_task_group() as tasks:
            tasks.start_soon(listener.serve, self.handle)
            port = listener.extra(anyio.abc.SocketAttribute.local_port)
            yield f"127.0.0.1:{port}"
            tasks.cancel_scope.cancel()


async def wait_until(condition):
    """Poll until a condition holds."""
    with anyio.fail_after(20):
        while True:
            if condition():
                return
            await anyio.sleep(0.01)


def run_with_server(scenario, server):
    async def main():
        async with server.listen() as address, HttpClient() as client:
            await scenario(client, HttpRequest("GET", address, "/"))

    anyio.run(main)


def test_idle_connection_is_reused():
    async def scenario(client, request):
        for _ in range(5):
            await client.request(request)
        assert server.opened_count == 1
        async with anyio.create_task_group() as tasks:
            for _ in range(3):
                tasks.start_soon(client.request, request)
        assert server.opened_count <= 3

    server = Server()
    run_with_server(scenario, server)


def test_connection_closed_by_the_server_is_not_reused():
    async def scenario(client, request):
        for number in range(1, 4):
            await client.request(request)
            await wait_until(lambda: server.open_count == 0)
            assert server.opened_count == number

    server = Server(requests_per_connection=1)
    run_with_server(scenario, server)


def test_expired_connections_of_other_addresses_are_closed(monkeypatch):
    async def scenario(client, request):
        other = Server()
        async with other.listen() as address:
            await client.request(request._replace(address=address))
            assert other.open_count == 1
            with anyio.fail_after(20):
                while other.open_count:
                    await client.request(request)
        assert list(client.pool.idle) == [request.address]

    monkeypatch.setattr(connection_pool, "IDLE_EXPIRY_S", 0.05)
    monkeypatch.setattr(connection_pool, "SWEEP_INTERVAL_S", 0.01)
    run_with_server(scenario, Server())


def test_idle_connections_are_closed_after_one_broke():
    async def scenario(client, request):
        async with anyio.create_task_group() as tasks:
            for _ in range(3):
                tasks.start_soon(client.request, request)
        opened_count = server.opened_count
        assert opened_count > 1
        server.is_broken = True
        with pytest.raises(HttpError):
            await client.request(request)
        await wait_until(lambda: server.open_count == 0)
        server.is_broken = False
        await client.request(request)
        assert server.opened_count == opened_count + 1

    server = Server()
    run_with_server(scenario, server)


def test_cancelled_and_failed_requests_release_their_connection():
    async def main():
        listener = await anyio.create_tcp_listener(local_host="127.0.0.1")
        async with listener, HttpClient(max_connections=1) as client:
            port = listener.extra(anyio.abc.SocketAttribute.local_port)
            silent = HttpRequest(
                "GET", f"127.0.0.1:{port}", "/", timeout_ms=30
            )
            for _ in range(3):
                with pytest.raises(HttpError):
                    await client.request(silent)
                with anyio.move_on_after(0.03):
                    await client.request(silent._replace(timeout_ms=9000))
            async with Server().listen() as address:
                request = HttpRequest("GET", address, "/")
                assert (await client.request(request)).status == 200

    anyio.run(main)
