"""Send long requests to upstreams that answer at any time, in any way.

UPLOAD_SEEDS selects other seeds, such as 100-149.
"""

import os
import random
import re
import socket
from typing import NamedTuple

import anyio
import pytest
from berylcart.state.errors import UpstreamError
from berylcart.state.relay_messages import ResponseHead, UpstreamRequest
from berylcart.transport.channel import Channel
from berylcart.transport.relay_client import RelayClient

pytestmark = pytest.mark.anyio

FIRST, LAST = map(int, os.environ.get("UPLOAD_SEEDS", "1-4").split("-"))
CLIENTS = 6
REQUESTS = 12
# The largest does not fit into the buffers of a connection.
BODY_SIZES = (0, 3_000, 70_000, 400_000, 4_000_000, 4_000_000)
ANSWER_SIZES = (0, 10, 3_000, 60_000, 400_000, 3_000_000)
FRAMINGS = ("length", "chunked", "close")
TROUBLES = ("none", "none", "none", "reset", "close", "half-close", "early")


@pytest.fixture
def anyio_backend():
    """Run on the backend of the daemon."""
    return "asyncio"


HEAD = re.compile(
    rb"POST / HTTP/1.1\r\nid: (\w+)\r\ncontent-length: (\d+)"
    rb"\r\nanswer: (\d+)\r\n\r\n"
)


class Request(NamedTuple):
    """Describe a request as its head does."""

    name: str
    head_bytes: int
    body_bytes: int
    answer_bytes: int

    @property
    def end(self):
        """Return the number of bytes of the whole request."""
        return self.head_bytes + self.body_bytes


def content(name, size):
    """Return bytes that show to which request they belong."""
    return (name.encode() * (size // len(name) + 1))[:size]


def parse_head(status, headers):
    request_id = dict(headers).get(b"id", b"").decode() or None
    return ResponseHead(status, headers, request_id, True, False, False)


class Upstream:
    """Read requests and answer them as a seed decides."""

    def __init__(self, rng):
        self.rng = rng
        self.wrong = []
        self.listener = socket.create_server(("127.0.0.1", 0))
        self.listener.setsockopt(
            socket.SOL_SOCKET, socket.SO_RCVBUF, rng.choice((4096, 65536))
        )
        self.listener.setblocking(False)
        self.address = f"127.0.0.1:{self.listener.getsockname()[1]}"

    async def run(self):
        """Accept connections until cancelled."""
        async with anyio.create_task_group() as tasks:
            while True:
                await anyio.wait_readable(self.listener)
                tasks.start_soon(
                    self.serve, Channel(self.listener.accept()[0])
                )

    async def serve(self, channel):
        """Serve one connection."""
        data = bytearray()
        try:
            while await self.serve_request(channel, data):
                pass
        except OSError:
            pass
        finally:
            channel.close()

    async def fill(self, channel, data, count):
        """Read until a number of bytes has arrived; tell if they have."""
        while len(data) < count:
            part = await channel.receive()
            if not part:
                return False
            data += part
        return True

    async def serve_request(self, channel, data):
        """Serve one request; tell if another may follow."""
        while b"\r\n\r\n" not in data:
            if not await self.fill(channel, data, len(data) + 1):
                return False
        head_bytes = data.index(b"\r\n\r\n") + 4
        match = HEAD.fullmatch(data, 0, head_bytes)
        if match is None:
            self.wrong.append(bytes(data[:80]))
            return False
        request = Request(
            match[1].decode(), head_bytes, int(match[2]), int(match[3])
        )
        trouble = self.rng.choice(TROUBLES)
        if not await self.fill(
            channel, data, self.draw_start(request, trouble)
        ):
            return False
        if trouble == "close" and len(data) >= request.end:
            # An orderly end after all of a request shows no trouble.
            trouble = "reset"
        return await self.finish(channel, data, request, trouble)

    def draw_start(self, request, trouble):
        """Draw after how many bytes of a request the response begins."""
        if trouble == "none" and self.rng.random() < 0.6:
            return request.end
        return self.rng.randint(request.head_bytes, request.end)

    async def finish(self, channel, data, request, trouble):
        """Answer a request and read its rest; tell if another may follow."""
        framing = self.rng.choice(FRAMINGS)
        if not await self.answer(channel, request, framing, trouble):
            return False
        is_last = framing == "close" or trouble == "half-close"
        if is_last:
            channel.shutdown_send()
        await anyio.sleep(self.rng.choice((0, 0.01, 0.1)))
        if not await self.fill(channel, data, request.end):
            return False
        body = data[request.head_bytes : request.end]
        if body != content(request.name, request.body_bytes):
            self.wrong.append(bytes(body[:80]))
        del data[: request.end]
        return not is_last

    async def answer(self, channel, request, framing, trouble):
        """Send a response or a part of it; tell if it is whole."""
        body = content(request.name, request.answer_bytes)
        lines = [b"HTTP/1.1 200 OK", b"Id: " + request.name.encode()]
        if framing == "length":
            lines.append(b"Content-Length: %d" % len(body))
        if framing == "chunked":
            lines.append(b"Transfer-Encoding: chunked")
            chunks = b"%x\r\n%s\r\n" % (len(body), body) if body else b""
            body = chunks + b"0\r\n\r\n"
        await channel.send(b"\r\n".join([*lines, b"", b""]))
        is_cut = trouble in ("reset", "close") and len(body) > 0
        sent = self.rng.randrange(len(body)) if is_cut else len(body)
        await channel.send(body[:sent])
        if is_cut:
            await anyio.sleep(self.rng.choice((0, 0.02)))
            if trouble == "reset":
                channel.reset()
        return not is_cut


class Soak:
    """Send requests from several clients and count what comes of them."""

    def __init__(self, seed):
        self.rng = random.Random(seed)
        self.upstream = Upstream(random.Random(f"upstream {seed}"))
        self.client = RelayClient(parse_head)
        self.whole = 0
        self.failed = 0
        self.partial = []

    async def send_all(self, number):
        """Send requests one after another."""
        for index in range(REQUESTS):
            name = f"r{number}x{index}"
            size = self.rng.choice(BODY_SIZES)
            answer_bytes = self.rng.choice(ANSWER_SIZES)
            headers = (
                (b"id", name.encode()),
                (b"content-length", b"%d" % size),
                (b"answer", b"%d" % answer_bytes),
            )
            request = UpstreamRequest(
                self.upstream.address,
                "POST",
                "/",
                headers,
                content(name, size),
                name,
            )
            try:
                body = await self.fetch(request)
            except UpstreamError:
                self.failed += 1
                continue
            self.whole += 1
            if body != content(name, answer_bytes):
                self.partial.append((name, len(body), answer_bytes))

    async def fetch(self, request):
        """Send a request and read the response."""
        body = bytearray()
        with anyio.fail_after(15):
            async with self.client.exchange(request) as response:
                while (data := await response.read()) is not None:
                    body += data
        return bytes(body)

    async def run(self):
        """Run all clients."""
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self.upstream.run)
            tasks.start_soon(self.client.run)
            async with anyio.create_task_group() as clients:
                for number in range(CLIENTS):
                    clients.start_soon(self.send_all, number)
            self.client.close()
            tasks.cancel_scope.cancel()
        self.upstream.listener.close()


@pytest.mark.parametrize("seed", range(FIRST, LAST + 1))
async def test_no_part_of_a_response_comes_as_the_whole(seed):
    soak = Soak(seed)
    await soak.run()
    assert soak.partial == []
    assert soak.upstream.wrong == []
    assert soak.whole > soak.failed
    assert not soak.client.buffer_budget.total_bytes
