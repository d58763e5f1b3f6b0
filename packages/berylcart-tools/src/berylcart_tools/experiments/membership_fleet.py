"""Start and steer the processes of a membership experiment."""

import contextlib
import json
import os
import signal
import subprocess
import sys
import time
from collections.abc import AsyncIterator, Callable, Iterable
from typing import Any

import anyio
from anyio.abc import SocketStream, TaskGroup
from anyio.streams.buffered import BufferedByteReceiveStream

NODE_MODULE = "berylcart_tools.experiments.membership_node"
MAX_LINE_BYTES = 2**20
POLL_S = 0.05
START_TIMEOUT_S = 60
MARK_TIMEOUT_S = 20


class NodeHandle:
    """Steer one node and keep what it last reported."""

    def __init__(self, stream: SocketStream) -> None:
        self._stream = stream
        self.index = -1
        self.pid = 0
        self.address = ""
        self.idle_rss_kb = 0
        self.live = 0
        self.version = 0
        self.state_at_s = 0.0
        self.mark: dict[str, Any] | None = None

    async def read(self, on_hello: Callable[["NodeHandle"], None]) -> None:
        """Take in reports until the connection ends."""
        buffered = BufferedByteReceiveStream(self._stream)
        with contextlib.suppress(
            anyio.EndOfStream,
            anyio.IncompleteRead,
            anyio.BrokenResourceError,
            anyio.ClosedResourceError,
        ):
            while True:
                line = await buffered.receive_until(b"\n", MAX_LINE_BYTES)
                report = json.loads(line)
                self._take_in(report)
                if report["kind"] == "hello":
                    on_hello(self)

    def _take_in(self, report: dict[str, Any]) -> None:
        if report["kind"] == "hello":
            self.index = report["index"]
            self.pid = report["pid"]
            self.address = report["address"]
            self.idle_rss_kb = report["idle_rss_kb"]
        elif report["kind"] == "state":
            self.live = report["live"]
            self.version = report["version"]
            self.state_at_s = report["at_s"]
        elif report["kind"] == "mark":
            self.mark = report

    async def command(self, do: str, **fields: Any) -> None:
        """Send one command."""
        line = json.dumps({"do": do} | fields).encode() + b"\n"
        await self._stream.send(line)

    def signal(self, number: signal.Signals) -> None:
        """Send a signal to the node's process."""
        os.kill(self.pid, number)

    async def close(self) -> None:
        """End the node by ending its control connection."""
        with contextlib.suppress(OSError, anyio.BrokenResourceError):
            await self._stream.aclose()


class ProcessFleet:
    """Hold the nodes of one experiment."""

    def __init__(self, tasks: TaskGroup) -> None:
        self.nodes: dict[int, NodeHandle] = {}
        self._tasks = tasks

    async def accept(self, stream: SocketStream) -> None:
        """Serve one node's control connection."""
        handle = NodeHandle(stream)
        await handle.read(self._on_hello)

    def _on_hello(self, handle: NodeHandle) -> None:
        self.nodes[handle.index] = handle

    async def marks(
        self, nodes: Iterable[NodeHandle]
    ) -> dict[int, dict[str, Any]]:
        """Read every node's counters."""
        chosen = list(nodes)
        for node in chosen:
            node.mark = None
            await node.command("mark")
        await wait_until(
            lambda: all(node.mark is not None for node in chosen),
            MARK_TIMEOUT_S,
        )
        return {node.index: node.mark or {} for node in chosen}


async def wait_until(is_true: Callable[[], bool], within_s: float) -> bool:
    """Poll until a condition holds and say whether it did in time."""
    until = time.monotonic() + within_s
    while not is_true():
        if time.monotonic() > until:
            return False
        await anyio.sleep(POLL_S)
    return True


@contextlib.asynccontextmanager
async def start_fleet(
    count: int, seed: int, lifetime_s: int
) -> AsyncIterator[ProcessFleet]:
    """Fork nodes from one process; all end with this context."""
    listener = await anyio.create_tcp_listener(
        local_host="127.0.0.1", local_port=0
    )
    port = listener.extra(anyio.abc.SocketAttribute.local_port)
    async with listener, anyio.create_task_group() as tasks:
        fleet = ProcessFleet(tasks)
        tasks.start_soon(listener.serve, fleet.accept)
        process = await anyio.open_process(
            node_command(port, count, seed, lifetime_s),
            stdin=subprocess.DEVNULL,
            stdout=subprocess.DEVNULL,
            stderr=None,
        )
        try:
            is_up = await wait_until(
                lambda: len(fleet.nodes) == count, START_TIMEOUT_S
            )
            if not is_up:
                raise TimeoutError(f"{len(fleet.nodes)} of {count} started")
            yield fleet
        finally:
            with anyio.CancelScope(shield=True):
                await stop(fleet, process)
            tasks.cancel_scope.cancel()


async def stop(fleet: ProcessFleet, process: anyio.abc.Process) -> None:
    """End every node, then wait for the process that forked them."""
    for node in fleet.nodes.values():
        with contextlib.suppress(ProcessLookupError):
            node.signal(signal.SIGCONT)
        await node.close()
    with anyio.move_on_after(START_TIMEOUT_S):
        await process.wait()
    if process.returncode is None:
        process.kill()


def node_command(
    port: int, count: int, seed: int, lifetime_s: int
) -> list[str]:
    """Give the command line that forks the nodes."""
    return [
        sys.executable,
        "-m",
        NODE_MODULE,
        f"--port={port}",
        f"--count={count}",
        f"--seed={seed}",
        f"--lifetime-s={lifetime_s}",
    ]
