"""Measure the membership protocol over real processes on loopback.

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
    NodeConnection,
    ProcessFleet,
    start_fleet,
    wait_until,
)
from berylcart_tools.experiments.membership_result import (
    DetectionErrors,
    MembershipResult,
    SteadyStateRates,
    count_detection_errors,
    counter_rate_per_s,
    to_json,
)

SEED_NODES = 3
SPARE_NODES = 1
VERSION_ROUNDS = 3
PAUSED_NODES = 3
JOIN_TIMEOUT_S = 90
CHANGE_TIMEOUT_S = 60
LIFETIME_S = 400
BYTES_PER_KB = 1024


async def measure_time_until(
    nodes: Sequence[NodeConnection],
    is_known: Callable[[NodeConnection], bool],
    start_s: float,
    timeout_s: float,
) -> float | None:
    """Measure the time until a condition holds on all nodes, or None."""
    is_reached_in_time = await wait_until(
        lambda: all(map(is_known, nodes)), timeout_s
    )
    if not is_reached_in_time:
        return None
    return max(node.state_at_s for node in nodes) - start_s


class Experiment:
    """Run the phases of the experiment on one fleet."""

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

    async def _start_node(self, node: NodeConnection) -> None:
        seeds = [node.address for node in self._nodes[:SEED_NODES]]
        await node.send_command(
            "start", seeds=seeds, settings=self._settings._asdict()
        )

    async def form_cluster(self) -> float | None:
        """Start all nodes and measure until each lists all as live."""
        start_s = time.monotonic()
        for node in self._nodes:
            await self._start_node(node)
        return await measure_time_until(
            self._nodes,
            lambda node: node.live == self._daemons,
            start_s,
            JOIN_TIMEOUT_S,
        )

    async def _publish_version(self) -> None:
        """Apply the next configuration version on a random node."""
        self._version += 1
        node = self._rng.choice(self._nodes)
        await node.send_command("version", version=self._version)

    async def _publish_periodically(self, period_s: float) -> None:
        while period_s > 0:
            await self._publish_version()
            await anyio.sleep(period_s)

    async def measure_steady_state(
        self, steady_s: float, change_period_s: float = 0.0
    ) -> SteadyStateRates:
        """Measure traffic, CPU and memory over a period."""
        before = await self._fleet.read_counters(self._nodes)
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._publish_periodically, change_period_s)
            await anyio.sleep(steady_s)
            tasks.cancel_scope.cancel()
        after = await self._fleet.read_counters(self._nodes)

        def rates_per_s(key: str) -> list[float]:
            return [
                counter_rate_per_s(
                    before[index]["reading"], after[index]["reading"], key
                )
                for index in after
            ]

        def mean_mb(key: str) -> float:
            return statistics.fmean(
                report["reading"][key] / BYTES_PER_KB
                for report in after.values()
            )

        idle_mb = statistics.fmean(
            node.idle_rss_kb / BYTES_PER_KB for node in self._nodes
        )
        processor = rates_per_s("processor_s")
        return SteadyStateRates(
            calls_per_s=statistics.fmean(rates_per_s("calls_in")),
            connections_per_s=statistics.fmean(rates_per_s("connections")),
            sent_kb_per_s=statistics.fmean(rates_per_s("bytes_out"))
            / BYTES_PER_KB,
            received_kb_per_s=statistics.fmean(rates_per_s("bytes_in"))
            / BYTES_PER_KB,
            processor_percent=statistics.fmean(processor) * 100,
            processor_percent_max=max(processor) * 100,
            rss_mb=mean_mb("rss_kb"),
            rss_over_idle_mb=mean_mb("rss_kb") - idle_mb,
            pss_mb=mean_mb("pss_kb"),
            heard_in_10_s=statistics.fmean(
                report["heard"] / report["expected"]
                for report in after.values()
            ),
        )

    async def measure_version_propagation(self) -> float | None:
        """Return the longest time that a version took to reach all nodes."""
        slowest = 0.0
        for _ in range(VERSION_ROUNDS):
            start_s = time.monotonic()
            await self._publish_version()
            known_s = await measure_time_until(
                self._nodes,
                lambda node: node.version == self._version,
                start_s,
                CHANGE_TIMEOUT_S,
            )
            if known_s is None:
                return None
            slowest = max(slowest, known_s)
        return slowest

    async def measure_join(self) -> float | None:
        """Start the spare node and measure until all nodes list it as live."""
        start_s = time.monotonic()
        await self._start_node(self._spare)
        all_nodes = [*self._nodes, self._spare]
        return await measure_time_until(
            all_nodes,
            lambda node: node.live == len(all_nodes),
            start_s,
            CHANGE_TIMEOUT_S,
        )

    async def measure_detection_errors(
        self, pause_s: float
    ) -> DetectionErrors:
        """Suspend some processes for a while and count detection errors."""
        all_nodes = [*self._nodes, self._spare]
        await self._fleet.read_counters(all_nodes)
        paused = self._rng.sample(
            self._nodes, min(PAUSED_NODES, self._daemons // 2)
        )
        for node in paused:
            node.signal(signal.SIGSTOP)
        await anyio.sleep(pause_s)
        for node in paused:
            node.signal(signal.SIGCONT)
        await wait_until(
            lambda: all(node.live == len(all_nodes) for node in all_nodes),
            CHANGE_TIMEOUT_S,
        )
        await anyio.sleep(pause_s)
        reports = await self._fleet.read_counters(all_nodes)
        names = {f"daemon-{node.index:03d}" for node in paused}
        return count_detection_errors(reports, names)

    async def measure_failure_detection(self) -> float | None:
        """Kill the spare node and measure until no node lists it as live."""
        start_s = time.monotonic()
        self._spare.signal(signal.SIGKILL)
        return await measure_time_until(
            self._nodes,
            lambda node: node.live == self._daemons,
            start_s,
            CHANGE_TIMEOUT_S,
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
    """Run all phases at one fleet size; takes a few minutes at most."""
    async with start_fleet(daemons + SPARE_NODES, seed, LIFETIME_S) as fleet:
        experiment = Experiment(fleet, daemons, seed, settings)
        form_s = await experiment.form_cluster()
        await anyio.sleep(settle_s)
        steady_rates = await experiment.measure_steady_state(
            steady_s, change_period_s
        )
        config_known_s = await experiment.measure_version_propagation()
        join_known_s = await experiment.measure_join()
        detection_errors = await experiment.measure_detection_errors(pause_s)
        kill_known_s = await experiment.measure_failure_detection()
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
        **steady_rates,
        **detection_errors,
    )


async def run_sizes(options: argparse.Namespace) -> None:
    """Measure each fleet size and print its result as one line of JSON."""
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
    """Parse the command line and run the experiment."""
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
