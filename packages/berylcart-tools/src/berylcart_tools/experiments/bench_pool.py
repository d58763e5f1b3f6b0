"""Try policies in process on a clock that jumps over every sleep.

A trial for tuning: one pool of modelled engines and no network. Only the
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
REPORT_INTERVAL_S = 0.5
REPORT_AGE_MS = 200.0
BATCH_GROWTH = 0.03
MODEL = Service("model", ServiceKind.ENGINE, frozenset({"place"}))


class Engine:
    """Model one engine: a bounded batch, a queue, and steps."""

    def __init__(self, vm: Vm, step_ms: float, capacity: int) -> None:
        self.vm = vm
        self.step_ms = step_ms
        self.capacity = capacity
        self.slots = anyio.Semaphore(capacity)
        self.running = 0
        self.queued = 0
        self.slow_factor = 1.0

    async def run(self, tokens: int) -> None:
        """Generate tokens, a few steps at a time."""
        self.queued += 1
        try:
            await self.slots.acquire()
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
            self.slots.release()


class Entry:
    """Combine the parts as one daemon does."""

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
        self.hedges = RetryBudget(HEDGE_RATIO)
        self.admission = Admission(settings)


class Bench:
    """Serve arrivals with several entries on one pool."""

    def __init__(
        self, engines: Sequence[Engine], entries: Sequence[Entry]
    ) -> None:
        self.engines = {engine.vm.vm_id: engine for engine in engines}
        self.pool = tuple(engine.vm for engine in engines)
        self.entries = entries
        self.outcomes: list[Outcome] = []
        self.shares: dict[str, float] = {}

    async def run(
        self, arrivals: Sequence[Arrival], seed: int
    ) -> list[Outcome]:
        """Serve all arrivals at their times."""
        random = Random(seed)
        start_s = anyio.current_time()
        async with anyio.create_task_group() as reports:
            reports.start_soon(self.report)
            async with anyio.create_task_group() as tasks:
                for arrival in arrivals:
                    due_s = start_s + arrival.at_s
                    await anyio.sleep_until(due_s)
                    entry = random.choice(self.entries)
                    tasks.start_soon(self.serve, entry, arrival)
            reports.cancel_scope.cancel()
        return self.outcomes

    async def report(self) -> None:
        """Give every entry the engines' load now and then."""
        while True:
            shown = [
                (e.vm, e.running, e.queued, e.capacity)
                for e in self.engines.values()
            ]
            await anyio.sleep(REPORT_INTERVAL_S)
            for entry in self.entries:
                for vm, running, queued, capacity in shown:
                    entry.load_table.reported(
                        vm, running, queued, capacity, REPORT_AGE_MS
                    )

    async def serve(self, entry: Entry, arrival: Arrival) -> None:
        """Serve one arrival and record its outcome."""
        started_s = anyio.current_time()
        deadline_ms = arrival.kind.deadline_ms
        code = 0
        try:
            with anyio.fail_after(deadline_ms / MS_PER_S):
                await self.admitted(entry, arrival)
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

    async def admitted(self, entry: Entry, arrival: Arrival) -> None:
        """Pass admission, where the policy has it."""
        if not entry.policy.is_admitting:
            await self.attempt(entry, arrival)
            return
        workspace = Workspace(
            arrival.workspace,
            frozenset({"place"}),
            self.shares.get(arrival.workspace, 1.0),
            max_in_flight=400,
        )
        expected_ms = entry.latencies.quantile_ms("model", 0.5, 0.0)
        async with entry.admission.admit(
            workspace, expected_ms, arrival.kind.deadline_ms
        ):
            await self.attempt(entry, arrival)

    async def attempt(self, entry: Entry, arrival: Arrival) -> None:
        """Run one attempt, and a hedge when it takes long."""
        first = entry.router.choose(self.pool, service=MODEL)
        assert first is not None
        entry.hedges.note_request()
        started_s = anyio.current_time()
        delay_ms = entry.latencies.quantile_ms("model", 0.95, 0.0)
        async with anyio.create_task_group() as tasks:

            async def run(vm: Vm) -> None:
                await self.call(entry, vm, arrival)
                tasks.cancel_scope.cancel()

            tasks.start_soon(run, first)
            if entry.policy.is_hedging and delay_ms > 0:
                await anyio.sleep(delay_ms / MS_PER_S)
                second = entry.router.hedge_target(
                    self.pool,
                    service=MODEL,
                    exclude=frozenset({first.vm_id}),
                )
                if second is not None and entry.hedges.try_take():
                    tasks.start_soon(run, second)
        elapsed_ms = (anyio.current_time() - started_s) * MS_PER_S
        entry.latencies.record("model", elapsed_ms)

    async def call(self, entry: Entry, vm: Vm, arrival: Arrival) -> None:
        """Call one engine and learn from it."""
        started_s = anyio.current_time()
        entry.load_table.started(vm)
        engine = self.engines[vm.vm_id]
        try:
            await engine.run(arrival.payload["max_tokens"])
        except BaseException:
            elapsed_ms = (anyio.current_time() - started_s) * MS_PER_S
            entry.load_table.cancelled(vm, elapsed_ms)
            entry.ejector.cancelled(vm, elapsed_ms)
            raise
        elapsed_ms = (anyio.current_time() - started_s) * MS_PER_S
        entry.load_table.finished(vm, elapsed_ms, True)
        entry.ejector.note(vm, elapsed_ms, True)


class BenchPlan(NamedTuple):
    """Say what to try."""

    policy: Policy
    settings: AdmissionSettings = AdmissionSettings()
    entries: int = 7
    replicas: int = 5
    step_ms: float = 6.5
    capacity: int = 8
    slow_factor: float = 1.0
    shares: tuple[tuple[str, float], ...] = ()


def make_vm(number: int) -> Vm:
    """Describe one modelled engine's VM."""
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


async def run_bench(
    plan: BenchPlan, arrivals: Sequence[Arrival], seed: int
) -> list[Outcome]:
    """Try one policy; the first engine is slower by slow_factor."""
    engines = [
        Engine(make_vm(number), plan.step_ms, plan.capacity)
        for number in range(plan.replicas)
    ]
    engines[0].slow_factor = plan.slow_factor
    entries = [
        Entry(plan.policy, plan.settings, seed + number)
        for number in range(plan.entries)
    ]
    bench = Bench(engines, entries)
    bench.shares = dict(plan.shares)
    return await bench.run(arrivals, seed)
