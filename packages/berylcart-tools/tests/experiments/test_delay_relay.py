"""Check that the relay delays, keeps order and closes."""

import anyio
import pytest
from berylcart_tools.experiments.delay_relay import Route, serve_routes
from berylcart_tools.experiments.processes import free_ports

DELAY_MS = 30


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
def test_relay_delays_both_ways_and_keeps_order():
    async def scenario():
        target, port = free_ports(2)
        listener = await anyio.create_tcp_listener(
            local_host="127.0.0.1", local_port=target
        )
        route = Route(port, f"127.0.0.1:{target}", DELAY_MS)
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
        assert elapsed_s >= 2 * DELAY_MS / 1000

    anyio.run(scenario)
