"""Nodes that run only the membership protocol of a daemon.

One process imports the modules and forks the requested number of nodes, which
share its memory pages copy-on-write. A control connection drives each node,
which exits when the connection closes.
"""

import argparse
import contextlib
import gc
import json
import os
import signal
import time
from collections.abc import Sequence
from random import Random
from typing import Any

import anyio
from anyio.abc import SocketStream
from anyio.streams.buffered import BufferedByteReceiveStream
from berylcart.coordination.membership.hooks import MembershipHooks
from berylcart.coordination.membership.membership import Membership
from berylcart.coordination.membership.settings import MembershipSettings
from berylcart.state.errors import BerylcartError
from berylcart.state.member_table import Member
from berylcart.state.peer_messages import (
    AnswerQuery,
    AnswerState,
    ConfigFreshness,
    ConfigQuery,
    ConfigReply,
    Gossip,
    Ping,
    PingRequest,
    StoredAnswer,
)
from berylcart.state.records import Checkpoint
from berylcart.transport.peer_client import RpcPeers
from berylcart.transport.peer_server import PeerServer

from berylcart_tools.experiments.membership_meter import (
    TrafficCounter,
    read_process_counters,
    read_rss_kb,
)

MAX_LINE_BYTES = 2**20
PLACES = 4
PULL_TIMEOUT_MS = 2000
CONFIG_TEXT = Random(1).randbytes(8192).hex()


class MembershipNode(MembershipHooks):
    """Serve membership calls and report changes to the experiment."""

    def __init__(self, index: int, seed: int, control: SocketStream) -> None:
        self.index = index
        self.seed = seed
        self.traffic = TrafficCounter()
        self.traffic.patch_peer_connections()
        self.calls_in = 0
        self.changes: list[tuple[str, str]] = []
        self.version = 0
        self.is_pulling = False
        self.peers = RpcPeers()
        self.server = PeerServer(self, "127.0.0.1:0")
        self.membership: Membership | None = None
        self._control = control
        self._seeds: Sequence[str] = ()
        self._changed = anyio.Event()

    async def send(self, kind: str, **fields: Any) -> None:
        """Send one report as a line of JSON to the experiment."""
        line = json.dumps({"kind": kind, "at_s": time.monotonic()} | fields)
        await self._control.send(line.encode() + b"\n")

    def config(self) -> ConfigFreshness:
        """Return the configuration version of this node."""
        return ConfigFreshness(self.version, self.version)

    def on_config(self, address: str, config: ConfigFreshness) -> None:
        """Pull the configuration if a peer announces a newer version."""
        if config.version > self.version and not self.is_pulling:
            self.is_pulling = True
            self.tasks.start_soon(self._pull, address)

    async def _pull(self, address: str) -> None:
        query = ConfigQuery(self.version, self.version)
        try:
            offer = await self.peers.pull_config(
                address, query, timeout_ms=PULL_TIMEOUT_MS
            )
        except BerylcartError:
            return
        finally:
            self.is_pulling = False
        if offer.checkpoint is not None:
            self.set_version(offer.checkpoint.version)

    def set_version(self, version: int) -> None:
        """Apply a configuration version, unless it is older."""
        self.version = max(self.version, version)
        self._changed.set()

    def on_change(self, member: Member) -> None:
        """Record a change of a member's state."""
        self.changes.append((member.daemon_id, member.state.name.lower()))
        self._changed.set()

    async def on_ping(self, ping: Ping) -> Gossip:
        """Answer a ping."""
        self.calls_in += 1
        return await self._started().on_ping(ping)

    async def on_ping_request(self, request: PingRequest) -> bool:
        """Ping a third node on behalf of a peer."""
        self.calls_in += 1
        return await self._started().on_ping_request(request)

    async def on_exchange(self, gossip: Gossip) -> Gossip:
        """Exchange the full membership state with a peer."""
        self.calls_in += 1
        return await self._started().on_exchange(gossip)

    async def on_pull_config(self, query: ConfigQuery) -> ConfigReply:
        """Return a configuration of typical size, if newer than the peer's."""
        self.calls_in += 1
        if query.known_version >= self.version:
            return ConfigReply(None)
        checkpoint = Checkpoint(self.version, self.version, 1, CONFIG_TEXT, ())
        return ConfigReply(checkpoint)

    async def on_collect_answer(self, query: AnswerQuery) -> StoredAnswer:
        """Report every answer as unknown; nodes store none."""
        return StoredAnswer(AnswerState.UNKNOWN)

    def _started(self) -> Membership:
        if self.membership is None:
            raise RuntimeError("membership of this node is not started")
        return self.membership

    async def start(self, command: dict[str, Any]) -> None:
        """Start membership with the seeds and settings of the command."""
        self._seeds = command["seeds"]
        own_member = Member(
            f"daemon-{self.index:03d}",
            1,
            self.server.address,
            self.server.address,
            f"place-{self.index % PLACES}",
        )
        self.membership = Membership(
            own_member,
            self.peers,
            lambda: self._seeds,
            MembershipSettings(**command["settings"]),
            self,
            Random(f"{self.seed}/{self.index}"),
        )
        await self.server.start()
        self.tasks.start_soon(self.membership.run)
        self.tasks.start_soon(self._report_changes)

    async def _report_changes(self) -> None:
        """Report the live member count and the version after each change."""
        membership = self._started()
        while True:
            await self._changed.wait()
            self._changed = anyio.Event()
            live = len(membership.live_members())
            await self.send("state", live=live, version=self.version)

    async def report_counters(self) -> None:
        """Report all counters, and the state changes since the last report."""
        membership = self._started()
        names = [member.daemon_id for member in membership.live_members()]
        heard = membership.count_heard(names, 10_000)
        counts: dict[str, int] = {}
        for name, state in self.changes:
            counts[f"{name}/{state}"] = counts.get(f"{name}/{state}", 0) + 1
        self.changes.clear()
        reading = read_process_counters(self.traffic, self.calls_in)
        await self.send(
            "mark",
            reading=reading,
            heard=heard.heard,
            expected=heard.expected,
            changes=counts,
        )

    async def execute(self, command: dict[str, Any]) -> None:
        """Execute one command of the experiment."""
        if command["do"] == "start":
            await self.start(command)
        elif command["do"] == "mark":
            await self.report_counters()
        elif command["do"] == "version":
            self.set_version(command["version"])
        elif command["do"] == "leave":
            await self._started().leave()

    async def run(self) -> None:
        """Execute commands until the control connection ends."""
        buffered = BufferedByteReceiveStream(self._control)
        async with anyio.create_task_group() as self.tasks:
            await self.send(
                "hello",
                index=self.index,
                pid=os.getpid(),
                address=self.server.address,
                idle_rss_kb=read_rss_kb(),
            )
            with contextlib.suppress(
                anyio.EndOfStream, anyio.IncompleteRead, OSError
            ):
                while True:
                    line = await buffered.receive_until(b"\n", MAX_LINE_BYTES)
                    await self.execute(json.loads(line))
            self.tasks.cancel_scope.cancel()


async def run_node(index: int, seed: int, port: int, lifetime_s: int) -> None:
    """Connect to the experiment and run one node for lifetime_s at most."""
    with anyio.move_on_after(lifetime_s):
        control = await anyio.connect_tcp("127.0.0.1", port)
        async with control:
            await MembershipNode(index, seed, control).run()


def fork_nodes(options: argparse.Namespace) -> None:
    """Fork the nodes and wait until all have exited."""
    gc.collect()
    gc.freeze()
    for index in range(options.first, options.first + options.count):
        if os.fork() == 0:
            signal.alarm(options.lifetime_s + 5)
            anyio.run(
                run_node,
                index,
                options.seed,
                options.port,
                options.lifetime_s,
            )
            os._exit(0)
    with contextlib.suppress(ChildProcessError):
        while True:
            os.wait()


def main() -> None:
    """Parse the command line and fork the nodes."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--port", type=int, required=True)
    parser.add_argument("--first", type=int, default=0)
    parser.add_argument("--count", type=int, default=1)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--lifetime-s", type=int, default=300)
    fork_nodes(parser.parse_args())


if __name__ == "__main__":
    main()
