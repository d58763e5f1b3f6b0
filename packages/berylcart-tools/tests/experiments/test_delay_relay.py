"""Tests for delay, order and overdue chunks of the delay relay."""

import anyio
import pytest
from berylcart_tools.experiments.delay_relay import (
    Route,
    deliver_chunks,
    serve_routes,
)
from berylcart_tools.experiments.processes import free_ports

PAST_OFFSET_S = -5.0
DELAY_MS = 30


class RecordingStream:
    """Record the bytes that are sent."""

    def __init__(self):
        self.received = b""

    async def send(self, data):
        """Append the data to the received bytes."""
        self.received += data


def test_overdue_chunk_is_sent_immediately():
    async def scenario():
        sender, receiver = anyio.create_memory_object_stream(2)
        async with sender:
            await sender.send((anyio.current_time() + PAST_OFFSET_S, b"one"))
            await sender.send((anyio.current_time(), b"two"))
        target = RecordingStream()
        await deliver_chunks(receiver, target)
        assert target.received == b"onetwo"

    anyio.run(scenario)


async def serve_echo(stream):
    async with stream:
        async for data in stream:
            await stream.send(data)


async def connect_with_retry(port):
    with anyio.fail_after(10):
        while True:
            try:
                return await anyio.connect_tcp("127.0.0.1", port)
            except OSError:
                await anyio.lowlevel.checkpoint()


@pytest.mark.processes
@pytest.mark.parametrize("delay_ms", [0, DELAY_MS])
def test_relay_delays_both_directions_and_keeps_order(delay_ms):
    async def scenario():
        target_port, port = free_ports(2)
        listener = await anyio.create_tcp_listener(
            local_host="127.0.0.1", local_port=target_port
        )
        route = Route(port, f"127.0.0.1:{target_port}", delay_ms)
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(listener.serve, serve_echo)
            tasks.start_soon(serve_routes, [route])
            async with await connect_with_retry(port) as stream:
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
