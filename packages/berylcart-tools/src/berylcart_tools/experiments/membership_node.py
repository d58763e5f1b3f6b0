"""Run only a daemon's membership, steered over a control connection.

One process imports the program and forks the wanted number of nodes, which
share its memory until they write to it. Each ends with its connection.
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
    ConfigOffer,
    ConfigQuery,
    Gossip,
    Ping,
    PingRequest,
    StoredAnswer,
)
from berylcart.state.records import Checkpoint
from berylcart.transport.peer_client import RpcPeers
from berylcart.transport.peer_server import PeerServer

from berylcart_tools.experiments.membership_meter import (
    Traffic,
    read_rss_kb,
    take_reading,
)

MAX_LINE_BYTES = 2**20
PLACES = 4
PULL_TIMEOUT_MS = 2000
CONFIG_TEXT = Random(1).randbytes(8192).hex()


class Node(MembershipHooks):
    """Answer peers and report each change over the control connection."""

    def __init__(self, index: int, seed: int, control: SocketStream) -> None:
        self.index = index
        self.seed = seed
        self.traffic = Traffic()
        self.traffic.install()
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
        """Send one line to the experiment."""
        line = json.dumps({"kind": kind, "at_s": time.monotonic()} | fields)
        await self._control.send(line.encode() + b"\n")

    def config(self) -> ConfigFreshness:
        """Give the version in force here."""
        return ConfigFreshness(self.version, self.version)

    def on_config(self, address: str, config: ConfigFreshness) -> None:
        """Pull a newer version from the peer that has it."""
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
        """Put a configuration in force, unless it is older."""
        self.version = max(self.version, version)
        self._changed.set()

    def on_change(self, member: Member) -> None:
        """Remember a change of state."""
        self.changes.append((member.daemon_id, member.state.name.lower()))
        self._changed.set()

    async def on_ping(self, ping: Ping) -> Gossip:
        """Answer a probe."""
        self.calls_in += 1
        return await self._started().on_ping(ping)

    async def on_ping_request(self, request: PingRequest) -> bool:
        """Probe a third daemon for a peer."""
        self.calls_in += 1
        return await self._started().on_ping_request(request)

    async def on_exchange(self, gossip: Gossip) -> Gossip:
        """Swap the whole state."""
        self.calls_in += 1
        return await self._started().on_exchange(gossip)

    async def on_pull_config(self, query: ConfigQuery) -> ConfigOffer:
        """Give a configuration of a usual size."""
        self.calls_in += 1
        if query.known_version >= self.version:
            return ConfigOffer(None)
        checkpoint = Checkpoint(self.version, self.version, 1, CONFIG_TEXT, ())
        return ConfigOffer(checkpoint)

    async def on_collect_answer(self, query: AnswerQuery) -> StoredAnswer:
        """Know no answers."""
        return StoredAnswer(AnswerState.UNKNOWN)

    def _started(self) -> Membership:
        if self.membership is None:
            raise RuntimeError("the node is not started")
        return self.membership

    async def start(self, command: dict[str, Any]) -> None:
        """Start membership with the seeds and settings given."""
        self._seeds = command["seeds"]
        me = Member(
            f"daemon-{self.index:03d}",
            1,
            self.server.address,
            self.server.address,
            f"place-{self.index % PLACES}",
        )
        self.membership = Membership(
            me,
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
        """Report the known size and version whenever either changes."""
        membership = self._started()
        while True:
            await self._changed.wait()
            self._changed = anyio.Event()
            live = len(membership.live_members())
            await self.send("state", live=live, version=self.version)

    async def mark(self) -> None:
        """Report every counter, and the changes since the last time."""
        membership = self._started()
        names = [member.daemon_id for member in membership.live_members()]
        heard = membership.heard(names, 10_000)
        counts: dict[str, int] = {}
        for name, state in self.changes:
            counts[f"{name}/{state}"] = counts.get(f"{name}/{state}", 0) + 1
        self.changes.clear()
        reading = take_reading(self.traffic, self.calls_in)
        await self.send(
            "mark",
            reading=reading,
            heard=heard.heard,
            expected=heard.expected,
            changes=counts,
        )

    async def obey(self, command: dict[str, Any]) -> None:
        """Carry out one command."""
        if command["do"] == "start":
            await self.start(command)
        elif command["do"] == "mark":
            await self.mark()
        elif command["do"] == "version":
            self.set_version(command["version"])
        elif command["do"] == "leave":
            await self._started().leave()

    async def run(self) -> None:
        """Obey until the control connection ends."""
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
                    await self.obey(json.loads(line))
            self.tasks.cancel_scope.cancel()


async def run_node(index: int, seed: int, port: int, lifetime_s: int) -> None:
    """Connect to the experiment and run one node for a bounded time."""
    with anyio.move_on_after(lifetime_s):
        control = await anyio.connect_tcp("127.0.0.1", port)
        async with control:
            await Node(index, seed, control).run()


def fork_nodes(options: argparse.Namespace) -> None:
    """Fork the nodes and wait until all have ended."""
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
    """Read the options and run."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--port", type=int, required=True)
    parser.add_argument("--first", type=int, default=0)
    parser.add_argument("--count", type=int, default=1)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--lifetime-s", type=int, default=300)
    fork_nodes(parser.parse_args())


if __name__ == "__main__":
    main()
