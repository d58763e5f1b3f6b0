"""Test that the bytes of a response reach only the request it belongs to."""

import socket
from contextlib import asynccontextmanager

import anyio
import anyio.lowlevel
import pytest
from berylcart.coordination.serving.hedging import first_reply
from berylcart.state.errors import (
    BerylcartError,
    Ran,
    UnreachableError,
    UpstreamError,
)
from berylcart.state.relay_messages import ResponseHead, UpstreamRequest
from berylcart.transport.channel import Channel
from berylcart.transport.relay_client import MAX_STALE_BYTES, RelayClient

from ..invalid_responses import INVALID_RESPONSES

pytestmark = pytest.mark.anyio


@pytest.fixture
def anyio_backend():
    """Run on the backend of the daemon."""
    return "asyncio"


def response(request_id, body, extra=b""):
    """Serialize a complete response."""
    head = (
        f"HTTP/1.1 200 OK\r\nId: {request_id}\r\n"
        f"Content-Length: {len(body)}\r\n\r\n"
    )
    return head.encode() + body + extra


def refusal(request_id):
    """Serialize the refusal of a request; without an id if it is None."""
    lines = ["HTTP/1.1 503 Service Unavailable", "Content-Length: 0"]
    if request_id is not None:
        lines.append(f"Id: {request_id}")
    return "\r\n".join([*lines, "", ""]).encode()


def parse_head(status, headers):
    request_id = dict(headers).get(b"id", b"").decode() or None
    did_not_run = status == 503
    return ResponseHead(
        status, headers, request_id, not did_not_run, did_not_run, False
    )


class Upstream:
    """Respond to each request with the next item of a script.

    An item is bytes, or a pair of bytes and "close" or "reset", which then
    ends the connection.
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
        """Respond to the requests of one connection."""
        try:
            while await channel.receive():
                item = self.script.pop(0)
                if isinstance(item, tuple):
                    await channel.send(item[0])
                    await anyio.sleep(0.02)
                    if item[1] == "reset":
                        channel.reset()
                    break
                await channel.send(item)
        finally:
            channel.close()


@asynccontextmanager
async def run_upstream(upstream):
    """Run an upstream and a client for it."""
    client = RelayClient(parse_head)
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(upstream.run)
        tasks.start_soon(client.run)
        await anyio.lowlevel.checkpoint()
        try:
            yield upstream, client
        finally:
            client.close()
            tasks.cancel_scope.cancel()
            upstream.listener.close()


def run_relay(*script):
    """Run an upstream with a script and a client for it."""
    return run_upstream(Upstream(*script))


async def fetch(client, address, request_id):
    """Send a request and read the complete response body."""
    request = UpstreamRequest(
        address, "GET", "/", ((b"host", b"h"),), b"", request_id
    )
    body = b""
    with anyio.fail_after(5):
        async with client.exchange(request) as relay_response:
            while (data := await relay_response.read()) is not None:
                body += data
    return body


async def test_connection_is_reused_for_the_next_request():
    script = [response("r1", b"one"), response("r2", b"two")]
    async with run_relay(*script) as (upstream, client):
        assert await fetch(client, upstream.address, "r1") == b"one"
        assert await fetch(client, upstream.address, "r2") == b"two"
        assert upstream.connections == 1


async def test_unsolicited_second_response_prevents_reuse():
    twice = response("r1", b"one") + response("r1", b"again")
    async with run_relay(twice, response("r2", b"two")) as (upstream, client):
        assert await fetch(client, upstream.address, "r1") == b"one"
        assert await fetch(client, upstream.address, "r2") == b"two"
        assert upstream.connections == 2


async def test_stale_response_before_the_own_is_discarded():
    stale_then_own = response("r0", b"stale") + response("r1", b"own")
    async with run_relay(stale_then_own) as (upstream, client):
        assert await fetch(client, upstream.address, "r1") == b"own"


async def test_stale_response_alone_raises():
    script = [(response("r0", b"stale"), "close")]
    async with run_relay(*script) as (upstream, client):
        with pytest.raises(UpstreamError) as raised:
            await fetch(client, upstream.address, "r1")
        assert raised.value.ran is Ran.UNKNOWN


@pytest.mark.parametrize("first", [refusal("r1"), response("r1", b"one")])
async def test_refusal_written_again_is_not_the_next_requests(first):
    script = [first, refusal("r1") + response("r2", b"two")]
    async with run_relay(*script) as (upstream, client):
        await fetch(client, upstream.address, "r1")
        assert await fetch(client, upstream.address, "r2") == b"two"
        assert upstream.connections == 1


async def test_refusal_written_again_at_once_closes_the_connection():
    script = [refusal("r1") + refusal("r1"), response("r2", b"two")]
    async with run_relay(*script) as (upstream, client):
        await fetch(client, upstream.address, "r1")
        assert await fetch(client, upstream.address, "r2") == b"two"
        assert upstream.connections == 2


async def test_refusal_without_an_id_promises_nothing_to_the_next_request():
    script = [response("r1", b"one"), refusal(None) + response("r2", b"two")]
    async with run_relay(*script) as (upstream, client):
        await fetch(client, upstream.address, "r1")
        with pytest.raises(UpstreamError) as raised:
            await fetch(client, upstream.address, "r2")
        assert raised.value.ran is Ran.UNKNOWN


@pytest.mark.parametrize(
    "item",
    [
        (response("r1", b"whole")[:-2], "close"),
        (response("r1", b"whole")[:-2], "reset"),
        (b"\x00\x01no answer\r\n\r\n", "close"),
        (b"", "close"),
        (b"HTTP/1.1 200 OK\r\nId: r1\r\n\r\nunframed", "reset"),
    ],
)
async def test_invalid_or_incomplete_response_raises_may_have_run(item):
    async with run_relay(item) as (upstream, client):
        with pytest.raises(UpstreamError) as raised:
            await fetch(client, upstream.address, "r1")
        assert raised.value.ran is Ran.UNKNOWN


async def test_response_may_be_close_delimited():
    item = (b"HTTP/1.1 200 OK\r\nId: r1\r\n\r\nunframed", "close")
    async with run_relay(item) as (upstream, client):
        body = await fetch(client, upstream.address, "r1")
        assert body == b"unframed"


async def test_closed_connection_is_not_reused():
    script = [(response("r1", b"one"), "close"), response("r2", b"two")]
    async with run_relay(*script) as (upstream, client):
        await fetch(client, upstream.address, "r1")
        await anyio.sleep(0.1)
        assert await fetch(client, upstream.address, "r2") == b"two"


async def test_unreachable_upstream_did_not_run():
    listener = socket.create_server(("127.0.0.1", 0))
    address = f"127.0.0.1:{listener.getsockname()[1]}"
    listener.close()
    with pytest.raises(UnreachableError) as raised:
        await fetch(RelayClient(parse_head), address, "r1")
    assert raised.value.ran is Ran.NO


async def test_only_an_address_without_a_listener_is_refusing():
    client = RelayClient(parse_head)
    listener = socket.create_server(("127.0.0.1", 0))
    address = f"127.0.0.1:{listener.getsockname()[1]}"
    assert not await client.is_refusing(address)
    listener.close()
    assert await client.is_refusing(address)


async def test_unread_response_closes_its_connection():
    script = [response("r1", b"one"), response("r2", b"two")]
    async with run_relay(*script) as (upstream, client):
        request = UpstreamRequest(
            upstream.address, "GET", "/", ((b"host", b"h"),), b"", "r1"
        )
        async with client.exchange(request):
            pass
        assert await fetch(client, upstream.address, "r2") == b"two"
        assert upstream.connections == 2


async def test_late_response_of_a_losing_attempt_is_discarded():
    """The connection of a losing attempt must not be reused.

    Otherwise its late response would reach the next request. Both attempts
    and the next request have the same request id, so that a check of the id
    would not discard the late response.
    """
    is_requested, may_respond = anyio.Event(), anyio.Event()

    class LateUpstream(Upstream):
        async def serve(self, channel):
            try:
                await channel.receive()
                is_requested.set()
                await may_respond.wait()
                await channel.send(response("r1", b"late"))
            finally:
                channel.close()

    async with run_relay(response("r1", b"own")) as (fast, client):
        slow = LateUpstream()
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(slow.run)

            async def first(_):
                return await fetch(client, slow.address, "r1")

            async def second(_):
                await is_requested.wait()
                return await fetch(client, fast.address, "r1")

            assert await first_reply(first, second, 0.01) == b"own"
            assert not client.idle.get(slow.address)
            assert len(client.idle[fast.address]) == 1
            may_respond.set()
            await anyio.sleep(0.05)
            is_requested = anyio.Event()
            body = await fetch(client, slow.address, "r1")
            assert body == b"late"
            assert slow.connections == 2
            tasks.cancel_scope.cancel()
        slow.listener.close()


CHUNKED_STALE_HEAD = (
    b"HTTP/1.1 200 OK\r\nId: r0\r\nTransfer-Encoding: chunked\r\n\r\n"
)


@pytest.mark.parametrize(
    "stale",
    [
        response("r0", b"x" * (MAX_STALE_BYTES + 1)) + response("r1", b"own"),
        CHUNKED_STALE_HEAD + b"1\r\nx\r\n",
        CHUNKED_STALE_HEAD + b"0\r\nx: ",
    ],
)
async def test_large_or_slow_stale_response_closes_its_connection(stale):
    script = [stale, response("r2", b"two")]
    async with run_relay(*script) as (upstream, client):
        with pytest.raises(UpstreamError) as raised:
            await fetch(client, upstream.address, "r1")
        assert raised.value.ran is Ran.UNKNOWN
        assert await fetch(client, upstream.address, "r2") == b"two"
        assert upstream.connections == 2


class FloodingUpstream(Upstream):
    """Send a prefix, then repeat the same bytes without end."""

    async def serve(self, channel):
        """Send on one connection until the client closes it."""
        prefix, repeated = self.script
        await channel.receive()
        try:
            await channel.send(prefix)
            while True:
                await channel.send(repeated * max(1, 2**16 // len(repeated)))
        except OSError:
            channel.close()


CHUNKED_HEAD = (
    b"HTTP/1.1 200 OK\r\nId: r1\r\nTransfer-Encoding: chunked\r\n\r\n"
)


@pytest.mark.parametrize(
    ("prefix", "repeated"),
    [
        (b"", b"\r\n"),
        (b"", b"HTTP/1.1 100 \r\n\r\n"),
        (CHUNKED_HEAD + b"1;", b"x"),
        (CHUNKED_HEAD, b"0"),
        (CHUNKED_HEAD + b"0\r\nx: ", b"x"),
    ],
)
async def test_unbounded_head_or_framing_raises(prefix, repeated):
    upstream = FloodingUpstream(prefix, repeated)
    client = RelayClient(parse_head)
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(upstream.run)
        with pytest.raises(UpstreamError) as raised:
            await fetch(client, upstream.address, "r1")
        tasks.cancel_scope.cancel()
    upstream.listener.close()
    assert raised.value.ran is Ran.UNKNOWN


async def test_fast_unbounded_body_ends_at_the_timeout():
    # Reads from a fast sender never waited, so that no timeout could run.
    upstream = FloodingUpstream(
        CHUNKED_HEAD, b"10000\r\n" + b"x" * 2**16 + b"\r\n"
    )
    client = RelayClient(parse_head)
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(upstream.run)
        with anyio.move_on_after(0.2) as scope:
            await fetch(client, upstream.address, "r1")
        tasks.cancel_scope.cancel()
    upstream.listener.close()
    assert scope.cancelled_caught


async def test_slow_head_ends_at_the_timeout():
    async with run_relay(b"HTTP/1.1 200 OK\r\nx: ") as (upstream, client):
        with anyio.move_on_after(0.1) as scope:
            await fetch(client, upstream.address, "r1")
        assert scope.cancelled_caught


async def test_malformed_address_is_unreachable():
    for address in ("10.0.0.1:99999", "a\0b:80", "x" * 70 + ":80"):
        with pytest.raises(BerylcartError) as raised:
            await fetch(RelayClient(parse_head), address, "r1")
        assert raised.value.ran is Ran.NO


CUT_FRAMINGS = [
    b"Content-Length: 0\r\n\r\n",
    b"Content-Length: 10\r\n\r\n",
    b"Transfer-Encoding: chunked\r\n\r\n",
    b"\r\n",
]


@pytest.mark.parametrize("ending", ["close", "reset"])
@pytest.mark.parametrize("framing", CUT_FRAMINGS)
async def test_response_that_stops_in_its_head_fails(framing, ending):
    """Callers got an empty success where a head had been cut off."""
    head = b"HTTP/1.1 200 OK\r\nId: r1\r\n" + framing
    script = [(head[:size], ending) for size in range(1, len(head))]
    count = len(script)
    async with run_relay(*script) as (upstream, client):
        for _ in range(count):
            with pytest.raises(UpstreamError) as raised:
                await fetch(client, upstream.address, "r1")
            assert raised.value.ran is Ran.UNKNOWN


LONG_BODY = b"b" * 4_000_000
PART = b"a part of the answer"


class UploadUpstream(Upstream):
    """Run a scripted function for the connection of each request.

    The small receive buffer leaves most of a long body unsent.
    """

    def __init__(self, script):
        super().__init__()
        self.listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 8192)
        self.answer = script
        self.has_body = anyio.Event()

    async def serve(self, channel):
        """Read a head and the body's start, then run the function."""
        try:
            data = await channel.receive()
            size = len(data) - data.index(b"\r\n\r\n") - 4
            await self.answer(self, channel, size)
        except OSError:
            pass
        finally:
            channel.close()

    async def read_body(self, channel, size):
        """Read the rest of the body after its first bytes."""
        while size < len(LONG_BODY):
            data = await channel.receive()
            if not data:
                return
            size += len(data)
        self.has_body.set()


def run_upload(script):
    """Run an upstream for long bodies and a client for it."""
    return run_upstream(UploadUpstream(script))


async def upload(client, address):
    """Send a request with a long body and read the response."""
    length = str(len(LONG_BODY)).encode()
    headers = ((b"host", b"h"), (b"content-length", length))
    request = UpstreamRequest(address, "POST", "/", headers, LONG_BODY, "r1")
    body = b""
    with anyio.fail_after(20):
        async with client.exchange(request) as relay_response:
            while (data := await relay_response.read()) is not None:
                body += data
    return body


ENDS = {
    "reset": lambda channel: channel.reset(),
    # Unread bytes of the body make this a reset.
    "close": lambda channel: channel.close(),
}


@pytest.mark.parametrize("version", [b"1.0", b"1.1"])
@pytest.mark.parametrize("ending", ENDS)
@pytest.mark.parametrize("waits_s", [(0.0, 0.0), (0.0, 0.2), (0.3, 0.2)])
async def test_reset_during_an_upload_does_not_complete_a_response(
    version, ending, waits_s
):
    """A failed send took the reset, and the next read saw an orderly end."""

    async def answer(upstream, channel, size):
        await anyio.sleep(waits_s[0])
        await channel.send(b"HTTP/%s 200 OK\r\nId: r1\r\n\r\n" % version)
        await channel.send(PART)
        await anyio.sleep(waits_s[1])
        ENDS[ending](channel)

    async with run_upload(answer) as (upstream, client):
        with pytest.raises(UpstreamError) as raised:
            await upload(client, upstream.address)
        assert raised.value.ran is Ran.UNKNOWN


async def test_orderly_end_before_the_upload_ends_completes_nothing():
    """A process that ends while it reads leaves an orderly end."""

    async def answer(upstream, channel, size):
        await channel.send(b"HTTP/1.1 200 OK\r\nId: r1\r\n\r\n" + PART)
        channel.shutdown_send()
        await anyio.sleep(0.2)

    async with run_upload(answer) as (upstream, client):
        with pytest.raises(UpstreamError):
            await upload(client, upstream.address)


async def test_half_closed_connection_that_reads_on_completes_a_response():
    async def answer(upstream, channel, size):
        await channel.send(b"HTTP/1.1 200 OK\r\nId: r1\r\n\r\nwhole")
        channel.shutdown_send()
        await anyio.sleep(0.2)
        await upstream.read_body(channel, size)

    async with run_upload(answer) as (upstream, client):
        assert await upload(client, upstream.address) == b"whole"


@pytest.mark.parametrize(
    "framing", [b"\r\n", b"Content-Length: 900000\r\n\r\n"]
)
async def test_upstream_may_read_a_body_after_its_response(framing):
    """Both sides waited for the other to read, until a timeout cut them."""
    whole = b"x" * 900_000

    async def answer(upstream, channel, size):
        head = b"HTTP/1.1 200 OK\r\nId: r1\r\n"
        await channel.send(head + framing + whole)
        await anyio.sleep(2.5)
        await upstream.read_body(channel, size)

    async with run_upload(answer) as (upstream, client):
        assert await upload(client, upstream.address) == whole
        with anyio.fail_after(5):
            await upstream.has_body.wait()


async def test_connection_is_kept_once_the_rest_of_a_body_is_read():
    async def answer(upstream, channel, size):
        await channel.send(response("r1", b"one"))
        await anyio.sleep(0.2)
        await upstream.read_body(channel, size)
        await channel.receive()
        await channel.send(response("r2", b"two"))

    async with run_upload(answer) as (upstream, client):
        assert await upload(client, upstream.address) == b"one"
        assert not client.idle.get(upstream.address)
        for _ in range(500):
            if client.idle.get(upstream.address):
                break
            await anyio.sleep(0.01)
        assert upstream.has_body.is_set()
        assert not client.buffer_budget.total_bytes
        assert await fetch(client, upstream.address, "r2") == b"two"
        assert upstream.connections == 1


async def test_busy_upstream_is_waited_for():
    """An upstream that read nothing for 2 s was taken for a dead one."""

    async def answer(upstream, channel, size):
        await anyio.sleep(3.0)
        await channel.send(response("r1", b"late"))
        await upstream.read_body(channel, size)

    async with run_upload(answer) as (upstream, client):
        assert await upload(client, upstream.address) == b"late"


async def test_upload_to_a_dead_upstream_fails(monkeypatch):
    async def answer(upstream, channel, size):
        await anyio.sleep_forever()

    async with run_upload(answer) as (upstream, client):
        async with anyio.create_task_group() as tasks:

            async def sweep():
                await anyio.sleep(0.1)
                monkeypatch.setattr(Channel, "has_dead_peer", lambda _: True)
                client.sweep()

            tasks.start_soon(sweep)
            with pytest.raises(UpstreamError) as raised:
                await upload(client, upstream.address)
        assert raised.value.ran is Ran.UNKNOWN
        assert not client.in_use


@pytest.mark.parametrize("ending", ["close", "reset"])
async def test_what_is_no_response_fails_the_request(ending):
    """Statuses such as 000 and unclear lengths came through as responses."""
    script = [(data, ending) for data in INVALID_RESPONSES]
    async with run_relay(*script) as (upstream, client):
        for _ in INVALID_RESPONSES:
            with pytest.raises(UpstreamError) as raised:
                await fetch(client, upstream.address, "r1")
            assert raised.value.ran is Ran.UNKNOWN
