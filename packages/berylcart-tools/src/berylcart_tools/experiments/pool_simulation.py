"""Simulate one engine pool in process, for tuning policies.

Meant to run on a virtual clock that skips every sleep. The engines are
modelled and there is no network, so the figures are estimates; only the
experiments with real processes are measurements.
"""

from collections.abc import Sequence
from random import Random
from typing import NamedTuple

import anyio
from berylcart.coordination.policy.admission import (
    Admission,
    AdmissionSettings,
)
from berylcart.coordination.policy.budgets import HEDGE_RATIO, RetryBudget
from berylcart.coordination.policy.ejection import Ejector
from berylcart.coordination.policy.latency import LatencyTable
from berylcart.coordination.policy.load_table import LoadTable
from berylcart.coordination.policy.routing import Policy
from berylcart.state.config import Service, ServiceKind, Workspace
from berylcart.state.errors import BerylcartError
from berylcart.state.vm import Vm, VmRole, VmState

from berylcart_tools.experiments.arrivals import Arrival
from berylcart_tools.experiments.outcomes import Outcome

MS_PER_S = 1000
LOAD_REPORT_INTERVAL_S = 0.5
LOAD_REPORT_AGE_MS = 200.0
BATCH_GROWTH = 0.03
MODEL = Service("model", ServiceKind.ENGINE, frozenset({"place"}))


class SimulatedEngine:
    """Simulate an engine with a bounded batch and a queue.

    Each further sequence in the batch lengthens a step by the fraction
    BATCH_GROWTH.
    """

    def __init__(self, vm: Vm, step_ms: float, capacity: int) -> None:
        self.vm = vm
        self.step_ms = step_ms
        self.capacity = capacity
        self.batch_slots = anyio.Semaphore(capacity)
        self.running = 0
        self.queued = 0
        self.slow_factor = 1.0

    async def run(self, tokens: int) -> None:
        """Wait for a batch slot, then generate tokens, 8 per sleep."""
        self.queued += 1
        try:
            await self.batch_slots.acquire()
        finally:
            self.queued -= 1
        self.running += 1
        try:
            for _ in range(0, tokens, 8):
                growth = 1 + BATCH_GROWTH * (self.running - 1)
                step_ms = self.step_ms * growth * self.slow_factor
                await anyio.sleep(8 * step_ms / MS_PER_S)
        finally:
            self.running -= 1
            self.batch_slots.release()


class SimulatedDaemon:
    """Hold the policy components and per-daemon state of one daemon."""

    def __init__(
        self, policy: Policy, settings: AdmissionSettings, seed: int
    ) -> None:
        self.policy = policy
        self.load_table = LoadTable()
        self.ejector = Ejector()
        self.router = policy.make_router(
            self.load_table, self.ejector, Random(seed)
        )
        self.latencies = LatencyTable()
        self.hedge_budget = RetryBudget(HEDGE_RATIO)
        self.admission = Admission(settings)


class PoolSimulation:
    """Simulate several daemons that share one engine pool."""

    def __init__(
        self,
        engines: Sequence[SimulatedEngine],
        daemons: Sequence[SimulatedDaemon],
    ) -> None:
        self.engines = {engine.vm.vm_id: engine for engine in engines}
        self.pool = tuple(engine.vm for engine in engines)
        self.daemons = daemons
        self.outcomes: list[Outcome] = []
        self.shares: dict[str, float] = {}

    async def run(
        self, arrivals: Sequence[Arrival], seed: int
    ) -> list[Outcome]:
        """Serve every arrival at its scheduled time; return the outcomes."""
        random = Random(seed)
        start_s = anyio.current_time()
        async with anyio.create_task_group() as publisher:
            publisher.start_soon(self.publish_loads)
            async with anyio.create_task_group() as tasks:
                for arrival in arrivals:
                    arrival_s = start_s + arrival.at_s
                    await anyio.sleep_until(arrival_s)
                    daemon = random.choice(self.daemons)
                    tasks.start_soon(self.serve, daemon, arrival)
            publisher.cancel_scope.cancel()
        return self.outcomes

    async def publish_loads(self) -> None:
        """Report engine loads to all daemons, delayed by one interval."""
        while True:
            snapshot = [
                (e.vm, e.running, e.queued, e.capacity)
                for e in self.engines.values()
            ]
            await anyio.sleep(LOAD_REPORT_INTERVAL_S)
            for daemon in self.daemons:
                for vm, running, queued, capacity in snapshot:
                    daemon.load_table.reported(
                        vm, running, queued, capacity, LOAD_REPORT_AGE_MS
                    )

    async def serve(self, daemon: SimulatedDaemon, arrival: Arrival) -> None:
        """Serve one arrival within its deadline and record the outcome."""
        started_s = anyio.current_time()
        deadline_ms = arrival.kind.deadline_ms
        code = 0
        try:
            with anyio.fail_after(deadline_ms / MS_PER_S):
                await self.pass_admission(daemon, arrival)
        except BerylcartError as error:
            code = int(error.code)
        except TimeoutError:
            code = -1
        latency_ms = (anyio.current_time() - started_s) * MS_PER_S
        self.outcomes.append(
            Outcome(
                arrival.workspace,
                arrival.kind.target,
                arrival.at_s,
                latency_ms,
                0.0,
                deadline_ms,
                code,
                code == 0,
            )
        )

    async def pass_admission(
        self, daemon: SimulatedDaemon, arrival: Arrival
    ) -> None:
        """Run the call, after admission control if the policy uses it."""
        if not daemon.policy.is_admitting:
            await self.run_attempts(daemon, arrival)
            return
        workspace = Workspace(
            arrival.workspace,
            frozenset({"place"}),
            self.shares.get(arrival.workspace, 1.0),
            max_in_flight=400,
        )
        expected_ms = daemon.latencies.quantile_ms("model", 0.5, 0.0)
        async with daemon.admission.admit(
            workspace, expected_ms, arrival.kind.deadline_ms
        ):
            await self.run_attempts(daemon, arrival)

    async def run_attempts(
        self, daemon: SimulatedDaemon, arrival: Arrival
    ) -> None:
        """Run one attempt, and a hedged one after the p95 latency."""
        first = daemon.router.choose(self.pool, service=MODEL)
        assert first is not None
        daemon.hedge_budget.record_request()
        started_s = anyio.current_time()
        delay_ms = daemon.latencies.quantile_ms("model", 0.95, 0.0)
        async with anyio.create_task_group() as tasks:

            async def run(vm: Vm) -> None:
                await self.call(daemon, vm, arrival)
                tasks.cancel_scope.cancel()

            tasks.start_soon(run, first)
            if daemon.policy.is_hedging and delay_ms > 0:
                await anyio.sleep(delay_ms / MS_PER_S)
                second = daemon.router.hedge_target(
                    self.pool,
                    service=MODEL,
                    exclude=frozenset({first.vm_id}),
                )
                if second is not None and daemon.hedge_budget.try_take():
                    tasks.start_soon(run, second)
        elapsed_ms = (anyio.current_time() - started_s) * MS_PER_S
        daemon.latencies.record("model", elapsed_ms)

    async def call(
        self, daemon: SimulatedDaemon, vm: Vm, arrival: Arrival
    ) -> None:
        """Run a call on one engine and update the policy state."""
        started_s = anyio.current_time()
        daemon.load_table.started(vm)
        engine = self.engines[vm.vm_id]
        try:
            await engine.run(arrival.payload["max_tokens"])
        except BaseException:
            elapsed_ms = (anyio.current_time() - started_s) * MS_PER_S
            daemon.load_table.cancelled(vm, elapsed_ms)
            daemon.ejector.cancelled(vm, elapsed_ms)
            raise
        elapsed_ms = (anyio.current_time() - started_s) * MS_PER_S
        daemon.load_table.finished(vm, elapsed_ms, True)
        daemon.ejector.record_outcome(vm, elapsed_ms, True)


class SimulationPlan(NamedTuple):
    """Configure a simulation run."""

    policy: Policy
    settings: AdmissionSettings = AdmissionSettings()
    daemons: int = 7
    replicas: int = 5
    step_ms: float = 6.5
    capacity: int = 8
    slow_factor: float = 1.0
    shares: tuple[tuple[str, float], ...] = ()


def make_vm(number: int) -> Vm:
    """Build the VM record of a simulated engine."""
    return Vm(
        f"v{number}",
        1,
        f"127.0.0.1:{number + 1}",
        "place",
        VmRole.UPSTREAM,
        "model",
        VmState.LIVE,
        f"i{number}",
    )


async def run_simulation(
    plan: SimulationPlan, arrivals: Sequence[Arrival], seed: int
) -> list[Outcome]:
    """Simulate one policy; slow_factor slows the first engine down."""
    engines = [
        SimulatedEngine(make_vm(number), plan.step_ms, plan.capacity)
        for number in range(plan.replicas)
    ]
    engines[0].slow_factor = plan.slow_factor
    daemons = [
        SimulatedDaemon(plan.policy, plan.settings, seed + number)
        for number in range(plan.daemons)
    ]
    simulation = PoolSimulation(engines, daemons)
    simulation.shares = dict(plan.shares)
    return await simulation.run(arrivals, seed)
