"""Start and control the node processes of a membership experiment."""

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
POLL_INTERVAL_S = 0.05
START_TIMEOUT_S = 60
COUNTERS_TIMEOUT_S = 20


class NodeConnection:
    """Control one node over its connection and hold its latest reports."""

    def __init__(self, stream: SocketStream) -> None:
        self._stream = stream
        self.index = -1
        self.pid = 0
        self.address = ""
        self.idle_rss_kb = 0
        self.live = 0
        self.version = 0
        self.state_at_s = 0.0
        self.counters: dict[str, Any] | None = None

    async def read_reports(
        self, on_hello: Callable[["NodeConnection"], None]
    ) -> None:
        """Read reports until the connection ends; call on_hello on hello."""
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
                self._apply_report(report)
                if report["kind"] == "hello":
                    on_hello(self)

    def _apply_report(self, report: dict[str, Any]) -> None:
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
            self.counters = report

    async def send_command(self, name: str, **fields: Any) -> None:
        """Send one command with its arguments."""
        line = json.dumps({"do": name} | fields).encode() + b"\n"
        await self._stream.send(line)

    def signal(self, signal_number: signal.Signals) -> None:
        """Send a signal to the process of the node."""
        os.kill(self.pid, signal_number)

    async def close(self) -> None:
        """Terminate the node by closing its control connection."""
        with contextlib.suppress(OSError, anyio.BrokenResourceError):
            await self._stream.aclose()


class ProcessFleet:
    """Hold the connected nodes of one experiment, by index."""

    def __init__(self, tasks: TaskGroup) -> None:
        self.nodes: dict[int, NodeConnection] = {}
        self._tasks = tasks

    async def serve_node(self, stream: SocketStream) -> None:
        """Process the reports of one node's control connection."""
        node = NodeConnection(stream)
        await node.read_reports(self._on_hello)

    def _on_hello(self, node: NodeConnection) -> None:
        self.nodes[node.index] = node

    async def read_counters(
        self, nodes: Iterable[NodeConnection]
    ) -> dict[int, dict[str, Any]]:
        """Fetch the counters of several nodes, by node index."""
        polled_nodes = list(nodes)
        for node in polled_nodes:
            node.counters = None
            await node.send_command("mark")
        await wait_until(
            lambda: all(node.counters is not None for node in polled_nodes),
            COUNTERS_TIMEOUT_S,
        )
        return {node.index: node.counters or {} for node in polled_nodes}


async def wait_until(condition: Callable[[], bool], timeout_s: float) -> bool:
    """Poll until a condition holds; return whether it did in time."""
    deadline_s = time.monotonic() + timeout_s
    while not condition():
        if time.monotonic() > deadline_s:
            return False
        await anyio.sleep(POLL_INTERVAL_S)
    return True


@contextlib.asynccontextmanager
async def start_fleet(
    count: int, seed: int, lifetime_s: int
) -> AsyncIterator[ProcessFleet]:
    """Fork nodes from one process; all are terminated with the context."""
    listener = await anyio.create_tcp_listener(
        local_host="127.0.0.1", local_port=0
    )
    port = listener.extra(anyio.abc.SocketAttribute.local_port)
    async with listener, anyio.create_task_group() as tasks:
        fleet = ProcessFleet(tasks)
        tasks.start_soon(listener.serve, fleet.serve_node)
        process = await anyio.open_process(
            node_command(port, count, seed, lifetime_s),
            stdin=subprocess.DEVNULL,
            stdout=subprocess.DEVNULL,
            stderr=None,
        )
        try:
            all_connected = await wait_until(
                lambda: len(fleet.nodes) == count, START_TIMEOUT_S
            )
            if not all_connected:
                raise TimeoutError(
                    f"{len(fleet.nodes)} of {count} nodes connected "
                    f"within {START_TIMEOUT_S} s"
                )
            yield fleet
        finally:
            with anyio.CancelScope(shield=True):
                await stop_fleet(fleet, process)
            tasks.cancel_scope.cancel()


async def stop_fleet(fleet: ProcessFleet, process: anyio.abc.Process) -> None:
    """Terminate all nodes, then wait for the process that forked them."""
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
    """Return the command line of the process that forks the nodes."""
    return [
        sys.executable,
        "-m",
        NODE_MODULE,
        f"--port={port}",
        f"--count={count}",
        f"--seed={seed}",
        f"--lifetime-s={lifetime_s}",
    ]
