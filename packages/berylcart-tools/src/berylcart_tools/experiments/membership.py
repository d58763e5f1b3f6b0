"""Measure membership over real processes on loopback.

Run with python -m berylcart_tools.experiments.membership --daemons 7 25.
"""

import argparse
import json
import signal
import statistics
import sys
import time
from collections.abc import Callable, Sequence
from random import Random

import anyio
from berylcart.coordination.membership.settings import (
    DEFAULT_SETTINGS,
    MembershipSettings,
)

from berylcart_tools.experiments.membership_fleet import (
    NodeHandle,
    ProcessFleet,
    start_fleet,
    wait_until,
)
from berylcart_tools.experiments.membership_result import (
    MembershipResult,
    Pauses,
    Steady,
    count_changes,
    rate,
    to_json,
)

SEEDS = 3
SPARES = 1
VERSION_ROUNDS = 3
PAUSED = 3
JOIN_LIMIT_S = 90
CHANGE_LIMIT_S = 60
LIFETIME_S = 400
BYTES_PER_KB = 1024


async def time_until(
    nodes: Sequence[NodeHandle],
    is_known: Callable[[NodeHandle], bool],
    start_s: float,
    limit_s: float,
) -> float | None:
    """Measure how long until every node reports something."""
    known = await wait_until(lambda: all(map(is_known, nodes)), limit_s)
    if not known:
        return None
    return max(node.state_at_s for node in nodes) - start_s


class Experiment:
    """Run the phases over one fleet."""

    def __init__(
        self,
        fleet: ProcessFleet,
        daemons: int,
        seed: int,
        settings: MembershipSettings,
    ) -> None:
        self._rng = Random(seed)
        self._settings = settings
        self._fleet = fleet
        self._daemons = daemons
        self._nodes = [fleet.nodes[index] for index in range(daemons)]
        self._spare = fleet.nodes[daemons]
        self._version = 0

    async def _start(self, node: NodeHandle) -> None:
        seeds = [node.address for node in self._nodes[:SEEDS]]
        await node.command(
            "start", seeds=seeds, settings=self._settings._asdict()
        )

    async def form(self) -> float | None:
        """Start all nodes and wait until each knows all."""
        start_s = time.monotonic()
        for node in self._nodes:
            await self._start(node)
        return await time_until(
            self._nodes,
            lambda node: node.live == self._daemons,
            start_s,
            JOIN_LIMIT_S,
        )

    async def _publish(self) -> None:
        """Put the next version in force at a random node."""
        self._version += 1
        node = self._rng.choice(self._nodes)
        await node.command("version", version=self._version)

    async def _change(self, period_s: float) -> None:
        while period_s > 0:
            await self._publish()
            await anyio.sleep(period_s)

    async def steady(
        self, steady_s: float, change_period_s: float = 0.0
    ) -> Steady:
        """Measure the rates over a time."""
        before = await self._fleet.marks(self._nodes)
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._change, change_period_s)
            await anyio.sleep(steady_s)
            tasks.cancel_scope.cancel()
        after = await self._fleet.marks(self._nodes)

        def rates(key: str) -> list[float]:
            return [
                rate(before[index]["reading"], after[index]["reading"], key)
                for index in after
            ]

        def levels(key: str) -> float:
            return statistics.fmean(
                mark["reading"][key] / BYTES_PER_KB for mark in after.values()
            )

        idle_mb = statistics.fmean(
            node.idle_rss_kb / BYTES_PER_KB for node in self._nodes
        )
        processor = rates("processor_s")
        return Steady(
            calls_per_s=statistics.fmean(rates("calls_in")),
            connections_per_s=statistics.fmean(rates("connections")),
            sent_kb_per_s=statistics.fmean(rates("bytes_out")) / BYTES_PER_KB,
            received_kb_per_s=statistics.fmean(rates("bytes_in"))
            / BYTES_PER_KB,
            processor_percent=statistics.fmean(processor) * 100,
            processor_percent_max=max(processor) * 100,
            rss_mb=levels("rss_kb"),
            rss_over_idle_mb=levels("rss_kb") - idle_mb,
            pss_mb=levels("pss_kb"),
            heard_in_10_s=statistics.fmean(
                mark["heard"] / mark["expected"] for mark in after.values()
            ),
        )

    async def spread_version(self) -> float | None:
        """Publish versions at random nodes; give the slowest spread."""
        slowest = 0.0
        for _ in range(VERSION_ROUNDS):
            start_s = time.monotonic()
            await self._publish()
            known_s = await time_until(
                self._nodes,
                lambda node: node.version == self._version,
                start_s,
                CHANGE_LIMIT_S,
            )
            if known_s is None:
                return None
            slowest = max(slowest, known_s)
        return slowest

    async def join(self) -> float | None:
        """Start one more node and wait until all know it."""
        start_s = time.monotonic()
        await self._start(self._spare)
        everybody = [*self._nodes, self._spare]
        return await time_until(
            everybody,
            lambda node: node.live == len(everybody),
            start_s,
            CHANGE_LIMIT_S,
        )

    async def pause(self, pause_s: float) -> Pauses:
        """Stop some processes for a while and count false suspicions."""
        everybody = [*self._nodes, self._spare]
        await self._fleet.marks(everybody)
        paused = self._rng.sample(self._nodes, min(PAUSED, self._daemons // 2))
        for node in paused:
            node.signal(signal.SIGSTOP)
        await anyio.sleep(pause_s)
        for node in paused:
            node.signal(signal.SIGCONT)
        await wait_until(
            lambda: all(node.live == len(everybody) for node in everybody),
            CHANGE_LIMIT_S,
        )
        await anyio.sleep(pause_s)
        marks = await self._fleet.marks(everybody)
        names = {f"daemon-{node.index:03d}" for node in paused}
        return count_changes(marks, names)

    async def kill(self) -> float | None:
        """Kill the spare and wait until all count it as dead."""
        start_s = time.monotonic()
        self._spare.signal(signal.SIGKILL)
        return await time_until(
            self._nodes,
            lambda node: node.live == self._daemons,
            start_s,
            CHANGE_LIMIT_S,
        )


async def run_membership(
    daemons: int,
    seed: int,
    steady_s: float = 20.0,
    pause_s: float = 3.0,
    settle_s: float = 10.0,
    change_period_s: float = 0.0,
    settings: MembershipSettings = DEFAULT_SETTINGS,
) -> MembershipResult:
    """Run every phase at one size; needs a few minutes at most."""
    async with start_fleet(daemons + SPARES, seed, LIFETIME_S) as fleet:
        experiment = Experiment(fleet, daemons, seed, settings)
        form_s = await experiment.form()
        await anyio.sleep(settle_s)
        steady = await experiment.steady(steady_s, change_period_s)
        config_known_s = await experiment.spread_version()
        join_known_s = await experiment.join()
        pauses = await experiment.pause(pause_s)
        kill_known_s = await experiment.kill()
    return MembershipResult(
        daemons=daemons,
        seed=seed,
        steady_s=steady_s,
        change_period_s=change_period_s,
        form_s=form_s,
        config_known_s=config_known_s,
        join_known_s=join_known_s,
        kill_known_s=kill_known_s,
        paused_s=pause_s,
        **steady,
        **pauses,
    )


async def run_sizes(options: argparse.Namespace) -> None:
    """Measure one size after the other, printing a line for each."""
    for daemons in options.daemons:
        result = await run_membership(
            daemons,
            options.seed,
            options.steady_s,
            options.pause_s,
            options.settle_s,
            options.change_period_s,
            DEFAULT_SETTINGS._replace(**json.loads(options.settings)),
        )
        sys.stdout.write(to_json(result) + "\n")
        sys.stdout.flush()


def main() -> None:
    """Read the options and run."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--daemons", type=int, nargs="+", default=[7])
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--steady-s", type=float, default=20.0)
    parser.add_argument("--pause-s", type=float, default=3.0)
    parser.add_argument("--settle-s", type=float, default=10.0)
    parser.add_argument("--change-period-s", type=float, default=0.0)
    parser.add_argument("--settings", default="{}")
    anyio.run(run_sizes, parser.parse_args())


if __name__ == "__main__":
    main()
