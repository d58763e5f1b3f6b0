"""Test that a pool converges to the desired state across takeovers."""

import random
from contextlib import asynccontextmanager

import anyio
import pytest
import trio
from berylcart.coordination.duties.controller import (
    PoolController,
    PoolView,
    max_unavailable,
)
from berylcart.coordination.duties.ports import DesiredState, Order
from berylcart.state.errors import BerylcartError, Code, Ran, UpstreamError
from berylcart.state.vm import Vm, VmRole, VmState
from berylcart.transport.memory_log import MemoryLog
from trio.testing import MockClock

LOAD_S = 6
LOADS_PER_S = 0.5
OLD_STATE = DesiredState(("fit-1", "tone-1"))
NEW_STATE = DesiredState(("fit-2", "tone-2"))


def replica(n):
    return Vm(
        f"e{n}",
        1,
        f"127.0.0.1:{n}",
        "lahore-1",
        VmRole.UPSTREAM,
        "model",
        VmState.LIVE,
        f"i{n}",
    )


class Engines:
    """Hold the engines' states and the rate-limited weight store."""

    def __init__(self, is_checking):
        self.is_checking = is_checking
        self.states = {}
        self.changing_until = {}
        self.max_changing = 0
        self.loads = []
        self.refused_count = 0
        self.applied = []
        self.broken = set()

    def apply(self, vm, order):
        """Apply an order, unless a checking engine finds its token too old."""
        state = self.states.get(vm.vm_id, Order(-1, DesiredState(())))
        if self.is_checking and order.fencing < state.fencing:
            self.refused_count += 1
            return False
        now = anyio.current_time()
        if order.desired.models != state.desired.models:
            self.changing_until[vm.vm_id] = now + 2 * LOAD_S
        changing = sum(until > now for until in self.changing_until.values())
        self.max_changing = max(self.max_changing, changing)
        self.states[vm.vm_id] = order
        self.applied.append(order)
        return True

    def admit_load(self):
        """Admit a load, or raise OVERLOADED when over the rate."""
        now = anyio.current_time()
        if self.loads and now - self.loads[-1] < 1 / LOADS_PER_S:
            raise BerylcartError(Code.OVERLOADED, "rate", retry_after_ms=500)
        self.loads.append(now)
        return LOAD_S


class Daemon:
    """Run one controller whose calls to log and engines can be frozen."""

    def __init__(self, harness, name):
        self.harness = harness
        self.name = name
        self.freeze_at = ""
        self.thawed = None
        self.controller = PoolController(
            self,
            "model",
            name,
            PoolView(
                lambda: harness.replicas,
                lambda: harness.desired_state,
                harness.is_live,
            ),
            self,
            self,
        )

    async def gate(self, point):
        """Freeze at the chosen point; block while frozen."""
        if point == self.freeze_at:
            self.freeze_at = ""
            self.thawed = anyio.Event()
        if self.thawed is not None:
            await self.thawed.wait()

    def thaw(self):
        """Resume a frozen daemon and cancel any pending freeze."""
        self.freeze_at = ""
        if self.thawed is not None:
            self.thawed.set()
            self.thawed = None

    async def append(self, stream, records):
        """Append through the gate."""
        await self.gate("append")
        return await self.harness.log.append(stream, records)

    async def read(self, stream, offset, *, wait_ms, limit):
        """Read through the gate."""
        await self.gate("read")
        return await self.harness.log.read(
            stream, offset, wait_ms=wait_ms, limit=limit
        )

    async def state(self, vm):
        """Read an engine through the gate."""
        await self.gate("state")
        if vm.vm_id in self.harness.unreachable:
            raise UpstreamError(Code.UPSTREAM_FAILED, "gone", ran=Ran.NO)
        state = self.harness.engines.states.get(vm.vm_id)
        return state or Order(-1, DesiredState(()))

    async def order(self, vm, order):
        """Order an engine through the gate."""
        await self.gate("order")
        if vm.vm_id in self.harness.engines.broken:
            raise UpstreamError(Code.UPSTREAM_FAILED, "no", ran=Ran.UNKNOWN)
        return self.harness.engines.apply(vm, order)

    async def load(self, instance, model):
        """Ask the weight store through the gate."""
        await self.gate("load")
        return self.harness.engines.admit_load()


class Harness:
    """Hold the log, the engines, the daemons and the desired state."""

    def __init__(self, is_checking, replica_count):
        self.log = MemoryLog()
        self.engines = Engines(is_checking)
        self.replicas = [replica(n) for n in range(replica_count)]
        self.desired_state = OLD_STATE
        self.departed = set()
        self.unreachable = set()
        self.daemons = [Daemon(self, f"d{n}") for n in range(3)]

    def is_live(self, name):
        """Return whether a daemon counts as live."""
        return name not in self.departed

    def holder(self):
        """Return the daemon with the newest duty claim in the log."""
        newest = self.log.stream("duties").entries[-1].record.holder
        return next(
            each for each in self.daemons if each.controller.holder == newest
        )

    def is_at(self, desired):
        """Return whether every replica has the desired state."""
        states = [self.engines.states.get(vm.vm_id) for vm in self.replicas]
        return all(each and each.desired == desired for each in states)


@asynccontextmanager
async def running_harness(is_checking=True, replica_count=5):
    """Run three daemons inside a with block."""
    harness = Harness(is_checking, replica_count)
    async with anyio.create_task_group() as tasks:
        for daemon in harness.daemons:
            tasks.start_soon(daemon.controller.run)
        yield harness
        tasks.cancel_scope.cancel()


def run(scenario):
    """Run a scenario on a mock clock that skips every sleep."""
    return trio.run(scenario, clock=MockClock(autojump_threshold=0))


@pytest.mark.parametrize("replica_count", [1, 2, 5])
def test_pool_converges_within_the_load_rate(replica_count):
    async def scenario():
        async with running_harness(replica_count=replica_count) as harness:
            await anyio.sleep(150)
            assert harness.is_at(OLD_STATE)
            harness.desired_state = NEW_STATE
            await anyio.sleep(150)
            assert harness.is_at(NEW_STATE)
            engines = harness.engines
            assert engines.max_changing <= max_unavailable(replica_count)
            gaps = zip(engines.loads, engines.loads[1:], strict=False)
            assert all(b - a >= 1 / LOADS_PER_S for a, b in gaps)
            assert len(engines.loads) == 4 * replica_count
            assert harness.log.stream("duties").end_offset == 1

    run(scenario)


@pytest.mark.parametrize("is_checking", [True, False])
@pytest.mark.parametrize("point", ["read", "state", "load", "order"])
def test_frozen_former_holder_resumes(point, is_checking):
    async def scenario():
        async with running_harness(is_checking) as harness:
            await anyio.sleep(120)
            former = harness.holder()
            former.freeze_at = point
            harness.desired_state = NEW_STATE._replace(role="prefill")
            await anyio.sleep(20)
            harness.departed.add(former.name)
            harness.desired_state = NEW_STATE
            await anyio.sleep(150)
            assert harness.holder() is not former
            assert harness.is_at(NEW_STATE)
            former.thaw()
            await anyio.sleep(150)
            assert harness.is_at(NEW_STATE)
            assert harness.engines.max_changing <= max_unavailable(5)
            if point == "order":
                assert harness.engines.refused_count == int(is_checking)

    run(scenario)


def test_former_holder_sends_no_orders_after_reading_a_newer_claim():
    async def scenario():
        async with running_harness(is_checking=False) as harness:
            await anyio.sleep(120)
            former = harness.holder()
            former.freeze_at = "load"
            harness.desired_state = NEW_STATE
            await anyio.sleep(20)
            harness.departed.add(former.name)
            await anyio.sleep(150)
            harness.engines.applied.clear()
            former.thaw()
            await anyio.sleep(150)
            assert harness.engines.applied == []

    run(scenario)


def test_takeover_raises_the_fencing_token_of_unchanged_engines():
    async def scenario():
        async with running_harness() as harness:
            await anyio.sleep(120)
            former = harness.holder()
            former.freeze_at = "order"
            harness.desired_state = NEW_STATE
            await anyio.sleep(20)
            harness.desired_state = OLD_STATE
            harness.departed.add(former.name)
            await anyio.sleep(30)
            former.thaw()
            await anyio.sleep(30)
            assert harness.engines.refused_count == 1
            assert {each.desired for each in harness.engines.applied} == {
                OLD_STATE
            }

    run(scenario)


def test_holder_resuming_after_a_gap_drops_its_duty():
    async def scenario():
        async with running_harness(is_checking=False) as harness:
            await anyio.sleep(120)
            former = harness.holder()
            former.freeze_at = "read"
            await anyio.sleep(20)
            harness.departed.add(former.name)
            await anyio.sleep(120)
            harness.log.stream("duties").entries.clear()
            harness.engines.applied.clear()
            former.thaw()
            await anyio.sleep(150)
            numbers = [each.fencing for each in harness.engines.applied]
            assert numbers == sorted(numbers)

    run(scenario)


def test_state_that_is_superseded_during_a_load_is_not_ordered():
    async def scenario():
        async with running_harness(replica_count=1) as harness:
            await anyio.sleep(120)
            former = harness.holder()
            former.freeze_at = "load"
            harness.desired_state = NEW_STATE
            await anyio.sleep(20)
            harness.desired_state = OLD_STATE
            former.thaw()
            await anyio.sleep(120)
            assert {each.desired for each in harness.engines.applied} == {
                OLD_STATE
            }

    run(scenario)


def test_failed_orders_stop_before_half_of_the_pool():
    async def scenario():
        async with running_harness() as harness:
            await anyio.sleep(120)
            harness.engines.broken = {"e0", "e1"}
            harness.desired_state = NEW_STATE
            await anyio.sleep(120)
            assert harness.engines.states["e4"].desired == OLD_STATE
            harness.engines.broken = set()
            await anyio.sleep(120)
            assert harness.is_at(NEW_STATE)

    run(scenario)


def test_unreachable_replicas_do_not_block_others():
    async def scenario():
        async with running_harness() as harness:
            await anyio.sleep(120)
            harness.unreachable = {"e0", "e1", "e2"}
            harness.desired_state = NEW_STATE
            await anyio.sleep(120)
            assert harness.engines.states["e4"].desired == NEW_STATE

    run(scenario)


@pytest.mark.parametrize("is_checking", [True, False])
def test_concurrent_claims_leave_one_holder(is_checking):
    async def scenario():
        async with running_harness(is_checking) as harness:
            for n in range(20):
                harness.daemons[n % 3].freeze_at = "append"
                harness.departed.update(["d0", "d1", "d2"])
                await anyio.sleep(3)
                for daemon in harness.daemons:
                    daemon.thaw()
            harness.departed.clear()
            harness.desired_state = NEW_STATE
            await anyio.sleep(120)
            assert harness.is_at(NEW_STATE)
            numbers = {
                order.fencing for order in harness.engines.states.values()
            }
            newest = harness.log.stream("duties").end_offset - 1
            assert numbers == {newest}

    run(scenario)


def inject_random_fault(harness, rng):
    """Inject one random change into a daemon, the log or the pool."""
    daemon = rng.choice(harness.daemons)
    action = rng.randrange(6)
    if action == 0 and daemon.thawed is None:
        points = ["read", "append", "state", "load", "order"]
        daemon.freeze_at = rng.choice(points)
        harness.departed.add(daemon.name)
    elif action == 1:
        daemon.thaw()
        harness.departed.discard(daemon.name)
    elif action == 2:
        harness.desired_state = DesiredState((f"fit-{rng.randrange(1000)}",))
    elif action == 3:
        harness.log.is_down = not harness.log.is_down
    elif action == 4:
        harness.log.lost_append_responses = 1


@pytest.mark.parametrize("seed", range(30))
@pytest.mark.parametrize("is_checking", [True, False])
def test_pool_converges_after_random_faults(seed, is_checking):
    async def scenario():
        rng = random.Random(seed)
        async with running_harness(is_checking) as harness:
            for _ in range(40):
                await anyio.sleep(rng.choice([0.5, 3, 20]))
                inject_random_fault(harness, rng)
            harness.log.is_down = False
            harness.departed.clear()
            for daemon in harness.daemons:
                daemon.thaw()
            await anyio.sleep(200)
            assert harness.is_at(harness.desired_state)

    run(scenario)


def test_no_orders_are_sent_during_a_log_outage():
    async def scenario():
        async with running_harness() as harness:
            await anyio.sleep(120)
            harness.log.is_down = True
            harness.desired_state = NEW_STATE
            await anyio.sleep(120)
            assert harness.is_at(OLD_STATE)
            harness.log.is_down = False
            await anyio.sleep(120)
            assert harness.is_at(NEW_STATE)

    run(scenario)
