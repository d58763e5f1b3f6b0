"""Check that the relay delays, keeps order and sends late chunks."""

import anyio
import pytest
from berylcart_tools.experiments.delay_relay import (
    Route,
    serve_routes,
    write_chunks,
)
from berylcart_tools.experiments.processes import free_ports

LATE_S = -5.0
DELAY_MS = 30


class Target:
    """Collect what is sent."""

    def __init__(self):
        self.received = b""

    async def send(self, data):
        """Take some bytes."""
        self.received += data


def test_chunk_that_is_already_due_is_sent_at_once():
    async def scenario():
        sender, receiver = anyio.create_memory_object_stream(2)
        async with sender:
            await sender.send((anyio.current_time() + LATE_S, b"one"))
            await sender.send((anyio.current_time(), b"two"))
        target = Target()
        await write_chunks(receiver, target)
        assert target.received == b"onetwo"

    anyio.run(scenario)


async def echo(stream):
    async with stream:
        async for data in stream:
            await stream.send(data)


async def connect(port):
    with anyio.fail_after(10):
        while True:
            try:
                return await anyio.connect_tcp("127.0.0.1", port)
            except OSError:
                await anyio.lowlevel.checkpoint()


@pytest.mark.processes
@pytest.mark.parametrize("delay_ms", [0, DELAY_MS])
def test_relay_delays_both_ways_and_keeps_order(delay_ms):
    async def scenario():
        target, port = free_ports(2)
        listener = await anyio.create_tcp_listener(
            local_host="127.0.0.1", local_port=target
        )
        route = Route(port, f"127.0.0.1:{target}", delay_ms)
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(listener.serve, echo)
            tasks.start_soon(serve_routes, [route])
            async with await connect(port) as stream:
                started_s = anyio.current_time()
                await stream.send(b"one")
                await stream.send(b"two")
                received = b""
                while len(received) < 6:
                    received += await stream.receive()
                elapsed_s = anyio.current_time() - started_s
            tasks.cancel_scope.cancel()
        assert received == b"onetwo"
        assert elapsed_s >= 2 * delay_ms / 1000

    anyio.run(scenario)
