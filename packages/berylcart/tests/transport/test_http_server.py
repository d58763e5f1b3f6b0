"""Test the limits of the HTTP server with raw connections."""

import anyio
import pytest
from berylcart.transport.http_server import make_asgi_server
from berylcart.transport.socket_addresses import bind

HEADER_BYTES = 4096
HEAD_TIMEOUT_S = 0.2
MAX_CONNECTIONS = 4
SCENARIO_TIMEOUT_S = 10


async def hello_app(scope, receive, send):
    """Respond to every request in the same way."""
    await send({"type": "http.response.start", "status": 200, "headers": []})
    await send({"type": "http.response.body", "body": b"hello"})


def run_with_server(scenario, app=hello_app):
    """Run a scenario against a server on a free port."""

    async def main():
        sock = bind("127.0.0.1:0")
        server = make_asgi_server(
            app,
            header_bytes=HEADER_BYTES,
            head_timeout_s=HEAD_TIMEOUT_S,
            max_connections=MAX_CONNECTIONS,
        )
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(server.serve, [sock])
            host, port = sock.getsockname()
            with anyio.fail_after(SCENARIO_TIMEOUT_S):
                await scenario(host, port)
            server.should_exit = True

    anyio.run(main)


async def read_all(stream):
    """Read until the server closes the connection."""
    received = b""
    while True:
        try:
            received += await stream.receive()
        except (anyio.EndOfStream, anyio.BrokenResourceError):
            return received


async def request(host, port):
    """Send one complete request and read the complete response."""
    async with await anyio.connect_tcp(host, port) as stream:
        await stream.send(
            b"GET / HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n"
        )
        return await read_all(stream)


def test_complete_request_gets_a_response():
    async def scenario(host, port):
        assert b"200" in await request(host, port)

    run_with_server(scenario)


def test_incomplete_head_times_out_while_others_are_served():
    async def scenario(host, port):
        async with await anyio.connect_tcp(host, port) as incomplete:
            await incomplete.send(b"GET / HTTP/1.1\r\nHost:")
            assert b"200" in await request(host, port)
            assert await read_all(incomplete) == b""

    run_with_server(scenario)


def test_silent_connection_is_closed():
    async def scenario(host, port):
        async with await anyio.connect_tcp(host, port) as silent:
            assert await read_all(silent) == b""

    run_with_server(scenario)


@pytest.mark.parametrize(
    "malformed",
    [b"\x16\x03\x01\x00\xa5", b"GET\r\n\r\n", b"\r\n" * 64, b"\xff" * 512],
)
def test_malformed_head_gets_400_or_is_closed(malformed):
    async def scenario(host, port):
        async with await anyio.connect_tcp(host, port) as stream:
            await stream.send(malformed)
            response = await read_all(stream)
            assert response == b"" or b"400" in response.split(b"\r\n")[0]
        assert b"200" in await request(host, port)

    run_with_server(scenario)


def test_oversized_head_gets_400():
    async def scenario(host, port):
        async with await anyio.connect_tcp(host, port) as stream:
            filler = b"a" * (2 * HEADER_BYTES)
            await stream.send(b"GET / HTTP/1.1\r\nFiller: " + filler)
            response = await read_all(stream)
            assert b"400" in response.split(b"\r\n")[0]

    run_with_server(scenario)


async def keep_served_connection(host, port):
    """Return a connection on which a request has been answered."""
    stream = await anyio.connect_tcp(host, port)
    await stream.send(b"GET / HTTP/1.1\r\nHost: a\r\n\r\n")
    while b"hello" not in await stream.receive():
        pass
    return stream


def test_connections_beyond_the_limit_are_closed():
    async def scenario(host, port):
        open_streams = [
            await keep_served_connection(host, port)
            for _ in range(MAX_CONNECTIONS)
        ]
        async with await anyio.connect_tcp(host, port) as rejected:
            assert await read_all(rejected) == b""
        for stream in open_streams:
            await stream.aclose()

    run_with_server(scenario)


def test_oldest_silent_connection_gives_its_place_to_a_new_one(monkeypatch):
    """New callers were closed while others held connections in silence."""
    monkeypatch.setitem(globals(), "HEAD_TIMEOUT_S", 60)

    async def scenario(host, port):
        served = await keep_served_connection(host, port)
        silent = [
            await anyio.connect_tcp(host, port)
            for _ in range(MAX_CONNECTIONS - 1)
        ]
        assert b"200" in await request(host, port)
        assert await read_all(silent[0]) == b""
        await served.send(b"GET / HTTP/1.1\r\nHost: a\r\n\r\n")
        assert b"200" in await served.receive()
        for stream in (served, *silent):
            await stream.aclose()

    run_with_server(scenario)


async def echo_app(scope, receive, send):
    """Respond with the body and the number of header lines."""
    body, has_more = b"", True
    while has_more:
        message = await receive()
        body += message["body"]
        has_more = message["more_body"]
    body += b" %d" % len(scope["headers"])
    headers = [(b"content-length", b"%d" % len(body))]
    await send(
        {"type": "http.response.start", "status": 200, "headers": headers}
    )
    await send({"type": "http.response.body", "body": body})


def test_large_input_in_turns_keeps_its_order():
    body = bytes(range(256)) * 1000
    chunks = b"".join(
        b"3\r\n%s\r\n" % body[at : at + 3] for at in range(0, 255_000, 3)
    )
    head = b"POST / HTTP/1.1\r\nHost: a\r\n"
    lines = b"a:\r\n" * 900
    requests = (
        head + lines + b"Content-Length: 2\r\n\r\nhi",
        head + b"Transfer-Encoding: chunked\r\n\r\n" + chunks + b"0\r\n\r\n",
        head + b"Content-Length: 2\r\nConnection: close\r\n\r\nhi",
    )

    async def scenario(host, port):
        async with (
            await anyio.connect_tcp(host, port) as stream,
            anyio.create_task_group() as tasks,
        ):
            tasks.start_soon(stream.send, b"".join(requests))
            response = await read_all(stream)
        assert response.count(b"HTTP/1.1 200") == 3
        assert b"\r\n\r\nhi 902HTTP" in response
        assert body[:255_000] + b" 2HTTP" in response
        assert response.endswith(b"\r\n\r\nhi 3")

    run_with_server(scenario, echo_app)
