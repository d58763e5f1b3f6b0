"""Check what callers on real connections get for good and bad input."""

import socket
from contextlib import asynccontextmanager
from unittest.mock import Mock

import anyio
import pytest
from berylcart.coordination.gateway.held_bytes import HeldBytes
from berylcart.state.errors import CODE_INFO
from berylcart.state.relayed import Refusal
from berylcart.state.routes import CallerLimits
from berylcart.transport import caller_server
from berylcart.transport.caller_connection import ConnectionRules
from berylcart.transport.caller_server import CallerServer
from berylcart.transport.channel import connect

pytestmark = pytest.mark.anyio

# More than the kernel's buffers take for a caller that doesn't read.
LARGE_BYTES = 32 * 2**20
LIMITS = CallerLimits(2000, 1000, 200, 400)
PLAIN = b"POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\nhi"
CHUNKED = (
    b"POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"
    b"1\r\nh\r\n1\r\ni\r\n0\r\n\r\n"
)
SMUGGLED = (
    b"POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n"
    b"Transfer-Encoding: chunked\r\n\r\n0\r\n\r\nGET /inner HTTP/1.1\r\n"
    b"Host: h\r\n\r\n"
)
LENGTHS = (
    b"POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n"
    b"Content-Length: 3\r\n\r\nhi!"
)


@pytest.fixture
def anyio_backend():
    """Run on the backend of the daemon."""
    return "asyncio"


class Handler:
    """Echo bodies, and do what a target asks for."""

    def __init__(self):
        self.seen = []
        self.cancelled = anyio.Event()
        self.is_closing = False

    async def handle(self, exchange):
        """Answer one request."""
        self.seen.append((exchange.head.target, exchange.body))
        if exchange.head.target == "/hang":
            try:
                await anyio.sleep_forever()
            finally:
                self.cancelled.set()
        if exchange.head.target == "/cut":
            await exchange.start(200, ((b"content-length", b"9"),))
            await exchange.send(b"half")
            return
        if exchange.head.target == "/large":
            await exchange.answer(Refusal(200, (), b"x" * LARGE_BYTES))
            return
        if exchange.head.target == "/fault":
            raise RuntimeError("a fault")
        await exchange.answer(Refusal(200, (), exchange.body))


def refuse(error):
    wait = str(error.retry_after_ms).encode()
    headers = ((b"retry-after-ms", wait),)
    return Refusal(CODE_INFO[error.code].http_status, headers, b"no")


@asynccontextmanager
async def serving(limit_bytes=None):
    """Serve on a loopback port."""
    handler = Handler()
    rules = ConnectionRules(
        handler.handle,
        lambda: LIMITS,
        refuse,
        lambda: handler.is_closing,
        HeldBytes(limit_bytes),
    )
    server = CallerServer("127.0.0.1:0", rules, 8)
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(server.run)
        yield server, handler
        tasks.cancel_scope.cancel()


async def until(is_true):
    """Wait until a condition holds."""
    for _ in range(500):
        if is_true():
            return
        await anyio.sleep(0.01)
    raise AssertionError


async def read_all(channel):
    """Read until the other side closes or resets."""
    data = b""
    with anyio.fail_after(5):
        while True:
            try:
                part = await channel.receive()
            except OSError:
                return data
            if not part:
                return data
            data += part


async def read_until(channel, end):
    """Read until some bytes came."""
    data = b""
    with anyio.fail_after(5):
        while not data.endswith(end):
            data += await channel.receive()
    return data


async def send_bad(data):
    """Send bytes and give the whole answer and what was handled."""
    async with serving() as (server, handler):
        channel = await connect(server.address)
        await channel.send(data)
        answer = await read_all(channel)
        channel.close()
        return answer, handler.seen


@pytest.mark.parametrize("request_bytes", [PLAIN, CHUNKED])
async def test_serves_requests_on_one_connection(request_bytes):
    async with serving() as (server, handler):
        channel = await connect(server.address)
        for _ in range(3):
            await channel.send(request_bytes)
            answer = await read_until(channel, b"hi")
            assert answer.startswith(b"HTTP/1.1 200")
        channel.close()
    assert handler.seen == [("/a", b"hi")] * 3


async def test_serves_requests_sent_ahead():
    async with serving() as (server, handler):
        channel = await connect(server.address)
        await channel.send(PLAIN + PLAIN)
        answer = b""
        with anyio.fail_after(5):
            while answer.count(b"HTTP/1.1 200") < 2:
                answer += await channel.receive()
        channel.close()
    assert len(handler.seen) == 2


@pytest.mark.parametrize("data", [SMUGGLED, LENGTHS])
async def test_refuses_conflicting_lengths(data):
    answer, seen = await send_bad(data)
    assert answer.startswith(b"HTTP/1.1 400")
    assert answer.count(b"HTTP/1.1") == 1
    assert seen == []


async def test_refuses_what_is_no_request():
    answer, seen = await send_bad(b"\x16\x03\x01 hello\r\n\r\n")
    assert answer.startswith(b"HTTP/1.1 400")
    assert seen == []


async def test_refuses_an_oversized_head():
    head = b"GET / HTTP/1.1\r\nHost: h\r\nX: " + b"x" * 3000 + b"\r\n\r\n"
    answer, seen = await send_bad(head)
    assert answer.startswith(b"HTTP/1.1 431")
    assert seen == []


async def test_refuses_an_oversized_body():
    size = LIMITS.body_bytes + 1
    head = f"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: {size}\r\n\r\n"
    answer, seen = await send_bad(head.encode() + b"x" * size)
    assert answer.startswith(b"HTTP/1.1 413")
    assert seen == []


async def test_refuses_a_slow_head():
    answer, seen = await send_bad(b"GET / HTTP/1.1\r\nHost:")
    assert answer.startswith(b"HTTP/1.1 408")
    assert seen == []


async def test_refuses_a_slow_body():
    answer, seen = await send_bad(PLAIN[:-1])
    assert answer.startswith(b"HTTP/1.1 408")
    assert seen == []


async def test_idle_connection_is_closed_without_an_answer():
    answer, seen = await send_bad(b"")
    assert answer == b""
    assert seen == []


async def test_unfinished_answer_does_not_look_complete():
    async with serving() as (server, _):
        channel = await connect(server.address)
        await channel.send(b"GET /cut HTTP/1.1\r\nHost: h\r\n\r\n")
        answer = await read_all(channel)
        channel.close()
    assert len(answer.partition(b"\r\n\r\n")[2]) < 9


async def test_fault_ends_only_its_connection():
    async with serving() as (server, handler):
        broken = await connect(server.address)
        await broken.send(b"GET /fault HTTP/1.1\r\nHost: h\r\n\r\n")
        assert await read_all(broken) == b""
        broken.close()
        channel = await connect(server.address)
        await channel.send(PLAIN)
        assert await read_until(channel, b"hi")
        channel.close()
    assert len(handler.seen) == 2


async def test_caller_that_leaves_cancels_its_request():
    async with serving() as (server, handler):
        channel = await connect(server.address)
        await channel.send(b"GET /hang HTTP/1.1\r\nHost: h\r\n\r\n")
        await until(lambda: handler.seen)
        channel.close()
        with anyio.fail_after(5):
            await handler.cancelled.wait()


async def test_last_answers_before_a_stop_say_so():
    async with serving() as (server, handler):
        channel = await connect(server.address)
        await channel.send(PLAIN)
        await read_until(channel, b"hi")
        handler.is_closing = True
        await channel.send(PLAIN)
        answer = await read_all(channel)
        channel.close()
    assert b"connection: close" in answer.lower()
    assert answer.endswith(b"hi")


async def test_connections_beyond_the_limit_are_closed():
    async with serving() as (server, _):
        held = [await connect(server.address) for _ in range(8)]
        await until(lambda: len(server.connections) == 8)
        extra = await connect(server.address)
        assert await read_all(extra) == b""
        for channel in (extra, *held):
            channel.close()


async def test_unread_bytes_show_on_a_channel():
    listener = socket.create_server(("127.0.0.1", 0))
    channel = await connect(f"127.0.0.1:{listener.getsockname()[1]}")
    other, _ = listener.accept()
    assert channel.is_quiet()
    other.sendall(b"x")
    await until(lambda: not channel.is_quiet())
    assert await channel.receive() == b"x"
    assert channel.is_quiet()
    other.close()
    await until(lambda: not channel.is_quiet())
    channel.close()
    listener.close()


async def send_slowly(head, parts, pause_s):
    """Send a body bit by bit and give the answer."""
    async with serving() as (server, handler):
        channel = await connect(server.address)
        try:
            await channel.send(head)
            for part in parts:
                await anyio.sleep(pause_s)
                await channel.send(part)
        except OSError:
            pass
        answer = await read_all(channel)
        channel.close()
        return answer, handler.seen


async def test_refuses_a_body_that_trickles():
    head = PLAIN.partition(b"\r\n\r\n")[0][:-1] + b"500\r\n\r\n"
    answer, seen = await send_slowly(head, [b"x"] * 60, 0.03)
    assert answer.startswith(b"HTTP/1.1 408")
    assert seen == []


async def test_takes_a_slow_body():
    size = 20 * 50
    head = PLAIN.partition(b"\r\n\r\n")[0][:-1] + b"%d\r\n\r\n" % size
    answer, seen = await send_slowly(head, [b"x" * 50] * 20, 0.06)
    assert answer.startswith(b"HTTP/1.1 200")
    assert seen == [("/a", b"x" * size)]


@pytest.mark.parametrize(
    ("data", "status"),
    [
        (b"\r\n" * 2000, b"431"),
        (CHUNKED.partition(b"1\r\n")[0] + b"0" * 3000, b"400"),
    ],
)
async def test_refuses_endless_framing(data, status):
    answer, seen = await send_bad(data)
    assert answer.startswith(b"HTTP/1.1 " + status)
    assert seen == []


async def test_refuses_endless_trailers():
    answer, seen = await send_slowly(CHUNKED[:-2], [b"x: y\r\n" * 600], 0.1)
    assert answer.startswith(b"HTTP/1.1 400")
    assert seen == []


async def test_socket_that_fails_at_once_ends_no_others(monkeypatch):
    # Its error ended the task group of all connections, and so the daemon.
    async with serving() as (server, _):
        with monkeypatch.context() as patch:
            patch.setattr(caller_server, "Channel", Mock(side_effect=OSError))
            broken = await connect(server.address)
            assert await read_all(broken) == b""
            broken.close()
        channel = await connect(server.address)
        await channel.send(PLAIN)
        assert await read_until(channel, b"hi")
        channel.close()


LARGE = b"GET /large HTTP/1.1\r\nHost: h\r\n\r\n"


async def test_slowest_reader_is_cut_where_answers_fill_the_memory():
    async with serving(LARGE_BYTES * 3 // 2) as (server, _):
        held = server.rules.held
        slow = await connect(server.address)
        await slow.send(LARGE)
        await until(lambda: held.total_bytes > LARGE_BYTES // 2)
        fast = await connect(server.address)
        await fast.send(LARGE)
        await until(lambda: not slow.is_quiet())
        whole = 0
        with anyio.fail_after(20):
            while whole < LARGE_BYTES:
                whole += len(await fast.receive())
        cut = await read_all(slow)
        assert len(cut) < LARGE_BYTES
        await until(lambda: held.total_bytes == 0)
        assert not held.holders
        for channel in (slow, fast):
            channel.close()


async def test_slow_readers_are_not_cut_while_there_is_room():
    async with serving(3 * LARGE_BYTES) as (server, _):
        held = server.rules.held
        channels = [await connect(server.address) for _ in range(2)]
        for channel in channels:
            await channel.send(LARGE)
        await until(lambda: held.total_bytes > LARGE_BYTES)
        for channel in channels:
            got = 0
            with anyio.fail_after(20):
                while got < LARGE_BYTES:
                    got += len(await channel.receive())
            channel.close()


@pytest.mark.parametrize("request_bytes", [PLAIN, CHUNKED])
async def test_request_that_does_not_fit_is_refused(request_bytes):
    async with serving(1) as (server, handler):
        channel = await connect(server.address)
        await channel.send(request_bytes)
        answer = await read_all(channel)
        channel.close()
        assert answer.startswith(b"HTTP/1.1 503")
        assert b"retry-after-ms: 500" in answer
        bodiless = await connect(server.address)
        await bodiless.send(b"GET /a HTTP/1.1\r\nHost: h\r\n\r\n")
        await read_until(bodiless, b"\r\n\r\n")
        bodiless.close()
        assert server.rules.held.total_bytes == 0
    assert handler.seen == [("/a", b"")]


async def test_refusal_reaches_a_caller_that_still_sends():
    # Closing on unread bytes resets the connection and drops the refusal.
    async with serving(1) as (server, _):
        channel = await connect(server.address)
        await channel.send(PLAIN)
        await anyio.sleep(0.05)
        await channel.send(b"x" * 500)
        answer = await read_all(channel)
        channel.close()
    assert answer.startswith(b"HTTP/1.1 503")


async def test_body_counts_as_held_while_it_is_served():
    async with serving() as (server, handler):
        channel = await connect(server.address)
        await channel.send(PLAIN.replace(b"/a", b"/hang"))
        await until(lambda: handler.seen)
        assert server.rules.held.total_bytes == 2
        channel.close()
        await until(lambda: server.rules.held.total_bytes == 0)


async def test_kernel_does_not_cut_callers_that_pause():
    # With the time limit of other connections it reset a caller that read
    # nothing for 2 s.
    async with serving() as (server, _):
        channel = await connect(server.address)
        await until(lambda: server.connections)
        (connection,) = server.connections
        limit_ms = connection.channel.sock.getsockopt(
            socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT
        )
        assert limit_ms == 0
        channel.close()
