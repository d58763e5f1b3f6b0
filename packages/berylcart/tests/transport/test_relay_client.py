"""Check that an upstream's bytes reach only the request they answer."""

import socket
from contextlib import asynccontextmanager

import anyio
import pytest
from berylcart.coordination.serving.hedging import first_reply
from berylcart.state.errors import (
    BerylcartError,
    Ran,
    UnreachableError,
    UpstreamError,
)
from berylcart.state.relayed import AnswerHead, UpstreamRequest
from berylcart.transport.channel import Channel
from berylcart.transport.relay_client import MAX_STRAY_BYTES, RelayClient

pytestmark = pytest.mark.anyio


@pytest.fixture
def anyio_backend():
    """Run on the backend of the daemon."""
    return "asyncio"


def answer(request_id, body, extra=b""):
    """Write a whole answer."""
    head = (
        f"HTTP/1.1 200 OK\r\nId: {request_id}\r\n"
        f"Content-Length: {len(body)}\r\n\r\n"
    )
    return head.encode() + body + extra


def read_head(status, headers):
    request_id = dict(headers).get(b"id", b"").decode() or None
    return AnswerHead(status, headers, request_id, True, False, False)


class Upstream:
    """Answer each request with the next bytes of a script.

    None closes the connection, and a number resets it after so many bytes.
    """

    def __init__(self, *script):
        self.script = list(script)
        self.connections = 0
        self.listener = socket.create_server(("127.0.0.1", 0))
        self.listener.setblocking(False)
        port = self.listener.getsockname()[1]
        self.address = f"127.0.0.1:{port}"

    async def run(self):
        """Accept connections until cancelled."""
        async with anyio.create_task_group() as tasks:
            while True:
                await anyio.wait_readable(self.listener)
                sock, _ = self.listener.accept()
                self.connections += 1
                tasks.start_soon(self.serve, Channel(sock))

    async def serve(self, channel):
        """Answer the requests of one connection."""
        try:
            while await channel.receive():
                part = self.script.pop(0)
                if isinstance(part, tuple):
                    await channel.send(part[0])
                    await anyio.sleep(0.02)
                    if part[1] == "reset":
                        channel.reset()
                    break
                await channel.send(part)
        finally:
            channel.close()


@asynccontextmanager
async def relaying(*script):
    """Run an upstream and a client for it."""
    upstream = Upstream(*script)
    client = RelayClient(read_head)
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(upstream.run)
        try:
            yield upstream, client
        finally:
            client.close()
            tasks.cancel_scope.cancel()
            upstream.listener.close()


async def fetch(client, address, request_id):
    """Send a request and read its whole answer."""
    request = UpstreamRequest(
        address, "GET", "/", ((b"host", b"h"),), b"", request_id
    )
    body = b""
    with anyio.fail_after(5):
        async with client.exchange(request) as reply:
            while (data := await reply.read()) is not None:
                body += data
    return body


async def test_connection_is_kept_for_the_next_request():
    script = [answer("r1", b"one"), answer("r2", b"two")]
    async with relaying(*script) as (upstream, client):
        assert await fetch(client, upstream.address, "r1") == b"one"
        assert await fetch(client, upstream.address, "r2") == b"two"
        assert upstream.connections == 1


async def test_second_answer_goes_to_nobody():
    twice = answer("r1", b"one") + answer("r1", b"again")
    async with relaying(twice, answer("r2", b"two")) as (upstream, client):
        assert await fetch(client, upstream.address, "r1") == b"one"
        assert await fetch(client, upstream.address, "r2") == b"two"
        assert upstream.connections == 2


async def test_stray_answer_before_the_own_is_dropped():
    late = answer("r0", b"stray") + answer("r1", b"own")
    async with relaying(late) as (upstream, client):
        assert await fetch(client, upstream.address, "r1") == b"own"


async def test_stray_answer_alone_is_no_answer():
    script = [(answer("r0", b"stray"), "close")]
    async with relaying(*script) as (upstream, client):
        with pytest.raises(UpstreamError) as raised:
            await fetch(client, upstream.address, "r1")
        assert raised.value.ran is Ran.UNKNOWN


@pytest.mark.parametrize(
    "part",
    [
        (answer("r1", b"whole")[:-2], "close"),
        (answer("r1", b"whole")[:-2], "reset"),
        (b"\x00\x01no answer\r\n\r\n", "close"),
        (b"", "close"),
        (b"HTTP/1.1 200 OK\r\nId: r1\r\n\r\nunframed", "reset"),
    ],
)
async def test_broken_answer_fails_and_may_have_run(part):
    async with relaying(part) as (upstream, client):
        with pytest.raises(UpstreamError) as raised:
            await fetch(client, upstream.address, "r1")
        assert raised.value.ran is Ran.UNKNOWN


async def test_answer_may_end_with_its_connection():
    part = (b"HTTP/1.1 200 OK\r\nId: r1\r\n\r\nunframed", "close")
    async with relaying(part) as (upstream, client):
        body = await fetch(client, upstream.address, "r1")
        assert body == b"unframed"


async def test_closed_connection_is_not_used_again():
    script = [(answer("r1", b"one"), "close"), answer("r2", b"two")]
    async with relaying(*script) as (upstream, client):
        await fetch(client, upstream.address, "r1")
        await anyio.sleep(0.1)
        assert await fetch(client, upstream.address, "r2") == b"two"


async def test_unreachable_upstream_did_not_run():
    listener = socket.create_server(("127.0.0.1", 0))
    address = f"127.0.0.1:{listener.getsockname()[1]}"
    listener.close()
    with pytest.raises(UnreachableError) as raised:
        await fetch(RelayClient(read_head), address, "r1")
    assert raised.value.ran is Ran.NO


async def test_left_answer_closes_its_connection():
    script = [answer("r1", b"one"), answer("r2", b"two")]
    async with relaying(*script) as (upstream, client):
        request = UpstreamRequest(
            upstream.address, "GET", "/", ((b"host", b"h"),), b"", "r1"
        )
        async with client.exchange(request):
            pass
        assert await fetch(client, upstream.address, "r2") == b"two"
        assert upstream.connections == 2


async def test_late_answer_of_a_lost_attempt_reaches_nobody():
    """Guards against a loser's answer on a connection that is used again.

    Both attempts have the same request's id, as has the next request here,
    so that no check of the id would drop the late answer.
    """
    is_asked, may_answer = anyio.Event(), anyio.Event()

    class Late(Upstream):
        async def serve(self, channel):
            try:
                await channel.receive()
                is_asked.set()
                await may_answer.wait()
                await channel.send(answer("r1", b"late"))
            finally:
                channel.close()

    async with relaying(answer("r1", b"own")) as (quick, client):
        slow = Late()
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(slow.run)

            async def first(_):
                return await fetch(client, slow.address, "r1")

            async def second(_):
                await is_asked.wait()
                return await fetch(client, quick.address, "r1")

            assert await first_reply(first, second, 0.01) == b"own"
            assert not client.idle.get(slow.address)
            assert len(client.idle[quick.address]) == 1
            may_answer.set()
            await anyio.sleep(0.05)
            is_asked = anyio.Event()
            body = await fetch(client, slow.address, "r1")
            assert body == b"late"
            assert slow.connections == 2
            tasks.cancel_scope.cancel()
        slow.listener.close()


ENDLESS_STRAY = (
    b"HTTP/1.1 200 OK\r\nId: r0\r\nTransfer-Encoding: chunked\r\n\r\n"
)


@pytest.mark.parametrize(
    "stray",
    [
        answer("r0", b"x" * (MAX_STRAY_BYTES + 1)) + answer("r1", b"own"),
        ENDLESS_STRAY + b"1\r\nx\r\n",
        ENDLESS_STRAY + b"0\r\nx: ",
    ],
)
async def test_stray_answer_that_is_large_or_slow_is_not_read(stray):
    script = [stray, answer("r2", b"two")]
    async with relaying(*script) as (upstream, client):
        with pytest.raises(UpstreamError) as raised:
            await fetch(client, upstream.address, "r1")
        assert raised.value.ran is Ran.UNKNOWN
        assert await fetch(client, upstream.address, "r2") == b"two"
        assert upstream.connections == 2


class Flood(Upstream):
    """Send a start and then the same bytes for ever."""

    async def serve(self, channel):
        """Flood one connection until its other side closes."""
        start, unit = self.script
        await channel.receive()
        try:
            await channel.send(start)
            while True:
                await channel.send(unit * max(1, 2**16 // len(unit)))
        except OSError:
            channel.close()


CHUNKED = b"HTTP/1.1 200 OK\r\nId: r1\r\nTransfer-Encoding: chunked\r\n\r\n"


@pytest.mark.parametrize(
    ("start", "unit"),
    [
        (b"", b"\r\n"),
        (b"", b"HTTP/1.1 100 \r\n\r\n"),
        (CHUNKED + b"1;", b"x"),
        (CHUNKED, b"0"),
        (CHUNKED + b"0\r\nx: ", b"x"),
    ],
)
async def test_endless_answer_is_cut_without_its_body(start, unit):
    upstream = Flood(start, unit)
    client = RelayClient(read_head)
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(upstream.run)
        with pytest.raises(UpstreamError) as raised:
            await fetch(client, upstream.address, "r1")
        tasks.cancel_scope.cancel()
    upstream.listener.close()
    assert raised.value.ran is Ran.UNKNOWN


async def test_fast_endless_body_ends_with_its_time():
    # A sender that is never waited for kept every timeout from running.
    upstream = Flood(CHUNKED, b"10000\r\n" + b"x" * 2**16 + b"\r\n")
    client = RelayClient(read_head)
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(upstream.run)
        with anyio.move_on_after(0.2) as scope:
            await fetch(client, upstream.address, "r1")
        tasks.cancel_scope.cancel()
    upstream.listener.close()
    assert scope.cancelled_caught


async def test_head_that_trickles_ends_with_its_time():
    async with relaying(b"HTTP/1.1 200 OK\r\nx: ") as (upstream, client):
        with anyio.move_on_after(0.1) as scope:
            await fetch(client, upstream.address, "r1")
        assert scope.cancelled_caught


async def test_address_that_is_none_is_unreachable():
    for address in ("10.0.0.1:99999", "a\0b:80", "x" * 70 + ":80"):
        with pytest.raises(BerylcartError) as raised:
            await fetch(RelayClient(read_head), address, "r1")
        assert raised.value.ran is Ran.NO
