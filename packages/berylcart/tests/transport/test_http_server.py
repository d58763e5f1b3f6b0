"""Check the HTTP server's limits with raw connections."""

import anyio
import pytest
from berylcart.transport.http_server import make_server
from berylcart.transport.listening import bind

HEADER_BYTES = 4096
HEAD_TIMEOUT_S = 0.2
MAX_CONNECTIONS = 4
PATIENCE_S = 10


async def hello(scope, receive, send):
    """Answer every request in the same way."""
    await send({"type": "http.response.start", "status": 200, "headers": []})
    await send({"type": "http.response.body", "body": b"hello"})


def serving(scenario):
    """Run a scenario against a server on a free port."""

    async def main():
        sock = bind("127.0.0.1:0")
        server = make_server(
            hello,
            header_bytes=HEADER_BYTES,
            head_timeout_s=HEAD_TIMEOUT_S,
            max_connections=MAX_CONNECTIONS,
        )
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(server.serve, [sock])
            host, port = sock.getsockname()
            with anyio.fail_after(PATIENCE_S):
                await scenario(host, port)
            server.should_exit = True

    anyio.run(main)


async def read_all(stream):
    """Read until the server closes."""
    received = b""
    while True:
        try:
            received += await stream.receive()
        except (anyio.EndOfStream, anyio.BrokenResourceError):
            return received


async def ask(host, port):
    """Send one whole request and read the whole answer."""
    async with await anyio.connect_tcp(host, port) as stream:
        await stream.send(
            b"GET / HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n"
        )
        return await read_all(stream)


def test_whole_request_is_answered():
    async def scenario(host, port):
        assert b"200" in await ask(host, port)

    serving(scenario)


def test_half_sent_head_is_closed_and_others_are_served():
    async def scenario(host, port):
        async with await anyio.connect_tcp(host, port) as slow:
            await slow.send(b"GET / HTTP/1.1\r\nHost:")
            assert b"200" in await ask(host, port)
            assert await read_all(slow) == b""

    serving(scenario)


def test_silent_connection_is_closed():
    async def scenario(host, port):
        async with await anyio.connect_tcp(host, port) as silent:
            assert await read_all(silent) == b""

    serving(scenario)


@pytest.mark.parametrize(
    "noise",
    [b"\x16\x03\x01\x00\xa5", b"GET\r\n\r\n", b"\r\n" * 64, b"\xff" * 512],
)
def test_malformed_head_gets_400_or_a_close(noise):
    async def scenario(host, port):
        async with await anyio.connect_tcp(host, port) as stream:
            await stream.send(noise)
            answer = await read_all(stream)
            assert answer == b"" or b"400" in answer.split(b"\r\n")[0]
        assert b"200" in await ask(host, port)

    serving(scenario)


def test_oversized_head_gets_400():
    async def scenario(host, port):
        async with await anyio.connect_tcp(host, port) as stream:
            filler = b"a" * (2 * HEADER_BYTES)
            await stream.send(b"GET / HTTP/1.1\r\nFiller: " + filler)
            answer = await read_all(stream)
            assert b"400" in answer.split(b"\r\n")[0]

    serving(scenario)


def test_too_many_connections_are_closed_at_once():
    async def scenario(host, port):
        held = [
            await anyio.connect_tcp(host, port) for _ in range(MAX_CONNECTIONS)
        ]
        async with await anyio.connect_tcp(host, port) as extra:
            assert await read_all(extra) == b""
        for stream in held:
            await stream.aclose()

    serving(scenario)
