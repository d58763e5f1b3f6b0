"""Check that a pool ends at the newest wish whoever orders it."""

import random
from contextlib import asynccontextmanager

import anyio
import pytest
import trio
from berylcart.coordination.duties.keeper import (
    DutyKeeper,
    PoolView,
    max_in_change,
)
from berylcart.coordination.duties.ports import Desired, Order
from berylcart.state.errors import BerylcartError, Code, Ran, UpstreamError
from berylcart.state.vm import Vm, VmRole, VmState
from berylcart.transport.memory_log import MemoryLog
from trio.testing import MockClock

LOAD_S = 6
LOADS_PER_S = 0.5
OLD = Desired(("fit-1", "tone-1"))
NEW = Desired(("fit-2", "tone-2"))


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
    """Hold what each engine was ordered, and the weight store's rate."""

    def __init__(self, is_checking):
        self.is_checking = is_checking
        self.states = {}
        self.changing_until = {}
        self.max_changing = 0
        self.loads = []
        self.refused = 0
        self.applied = []
        self.broken = set()

    def apply(self, vm, order):
        """Apply an order as an engine does."""
        state = self.states.get(vm.vm_id, Order(-1, Desired(())))
        if self.is_checking and order.fencing < state.fencing:
            self.refused += 1
            return False
        now = anyio.current_time()
        if order.desired.models != state.desired.models:
            self.changing_until[vm.vm_id] = now + 2 * LOAD_S
        changing = sum(until > now for until in self.changing_until.values())
        self.max_changing = max(self.max_changing, changing)
        self.states[vm.vm_id] = order
        self.applied.append(order)
        return True

    def grant(self):
        """Grant a load within the rate."""
        now = anyio.current_time()
        if self.loads and now - self.loads[-1] < 1 / LOADS_PER_S:
            raise BerylcartError(Code.OVERLOADED, "rate", retry_after_ms=500)
        self.loads.append(now)
        return LOAD_S


class Daemon:
    """Reach engines, weights and the log through a gate that may freeze."""

    def __init__(self, lab, name):
        self.lab = lab
        self.name = name
        self.freeze_at = ""
        self.thawed = None
        self.keeper = DutyKeeper(
            self,
            "model",
            name,
            PoolView(lambda: lab.replicas, lambda: lab.wish, lab.is_live),
            self,
            self,
        )

    async def gate(self, point):
        """Freeze at the chosen point, and stay so at any other."""
        if point == self.freeze_at:
            self.freeze_at = ""
            self.thawed = anyio.Event()
        if self.thawed is not None:
            await self.thawed.wait()

    def thaw(self):
        """Let a frozen daemon go on, and freeze no more."""
        self.freeze_at = ""
        if self.thawed is not None:
            self.thawed.set()
            self.thawed = None

    async def append(self, stream, records):
        """Append through the gate."""
        await self.gate("append")
        return await self.lab.log.append(stream, records)

    async def read(self, stream, offset, *, wait_ms, limit):
        """Read through the gate."""
        await self.gate("read")
        return await self.lab.log.read(
            stream, offset, wait_ms=wait_ms, limit=limit
        )

    async def state(self, vm):
        """Read an engine through the gate."""
        await self.gate("state")
        if vm.vm_id in self.lab.unreachable:
            raise UpstreamError(Code.UPSTREAM_FAILED, "gone", ran=Ran.NO)
        state = self.lab.engines.states.get(vm.vm_id)
        return state or Order(-1, Desired(()))

    async def order(self, vm, order):
        """Order an engine through the gate."""
        await self.gate("order")
        if vm.vm_id in self.lab.engines.broken:
            raise UpstreamError(Code.UPSTREAM_FAILED, "no", ran=Ran.UNKNOWN)
        return self.lab.engines.apply(vm, order)

    async def load(self, instance, model):
        """Ask the weight store through the gate."""
        await self.gate("load")
        return self.lab.engines.grant()


class Lab:
    """Hold the log, the engines, the wish and who is taken to be live."""

    def __init__(self, is_checking, replica_count):
        self.log = MemoryLog()
        self.engines = Engines(is_checking)
        self.replicas = [replica(n) for n in range(replica_count)]
        self.wish = OLD
        self.gone = set()
        self.unreachable = set()
        self.daemons = [Daemon(self, f"d{n}") for n in range(3)]

    def is_live(self, name):
        """Say whether a daemon is taken to be live."""
        return name not in self.gone

    def holder(self):
        """Find the daemon that holds the duty in the log."""
        newest = self.log.stream("duties").entries[-1].record.holder
        return next(
            each for each in self.daemons if each.keeper.holder == newest
        )

    def is_at(self, desired):
        """Say whether every replica holds a state."""
        states = [self.engines.states.get(vm.vm_id) for vm in self.replicas]
        return all(each and each.desired == desired for each in states)


@asynccontextmanager
async def lab(is_checking=True, replica_count=5):
    """Run three daemons for the length of a block."""
    made = Lab(is_checking, replica_count)
    async with anyio.create_task_group() as tasks:
        for daemon in made.daemons:
            tasks.start_soon(daemon.keeper.run)
        yield made
        tasks.cancel_scope.cancel()


def run(scenario):
    """Run a scenario on a clock that jumps over every sleep."""
    return trio.run(scenario, clock=MockClock(autojump_threshold=0))


@pytest.mark.parametrize("replica_count", [1, 2, 5])
def test_pool_follows_the_wish_within_the_rate(replica_count):
    async def scenario():
        async with lab(replica_count=replica_count) as made:
            await anyio.sleep(150)
            assert made.is_at(OLD)
            made.wish = NEW
            await anyio.sleep(150)
            assert made.is_at(NEW)
            engines = made.engines
            assert engines.max_changing <= max_in_change(replica_count)
            gaps = zip(engines.loads, engines.loads[1:], strict=False)
            assert all(b - a >= 1 / LOADS_PER_S for a, b in gaps)
            assert len(engines.loads) == 4 * replica_count
            assert made.log.stream("duties").end_offset == 1

    run(scenario)


@pytest.mark.parametrize("is_checking", [True, False])
@pytest.mark.parametrize("point", ["read", "state", "load", "order"])
def test_frozen_former_holder_wakes(point, is_checking):
    async def scenario():
        async with lab(is_checking) as made:
            await anyio.sleep(120)
            former = made.holder()
            former.freeze_at = point
            made.wish = NEW._replace(role="prefill")
            await anyio.sleep(20)
            made.gone.add(former.name)
            made.wish = NEW
            await anyio.sleep(150)
            assert made.holder() is not former
            assert made.is_at(NEW)
            former.thaw()
            await anyio.sleep(150)
            assert made.is_at(NEW)
            assert made.engines.max_changing <= max_in_change(5)
            if point == "order":
                assert made.engines.refused == int(is_checking)

    run(scenario)


def test_former_holder_orders_nothing_after_it_reads_of_a_newer_one():
    async def scenario():
        async with lab(is_checking=False) as made:
            await anyio.sleep(120)
            former = made.holder()
            former.freeze_at = "load"
            made.wish = NEW
            await anyio.sleep(20)
            made.gone.add(former.name)
            await anyio.sleep(150)
            made.engines.applied.clear()
            former.thaw()
            await anyio.sleep(150)
            assert made.engines.applied == []

    run(scenario)


def test_takeover_raises_the_fence_though_nothing_else_changes():
    async def scenario():
        async with lab() as made:
            await anyio.sleep(120)
            former = made.holder()
            former.freeze_at = "order"
            made.wish = NEW
            await anyio.sleep(20)
            made.wish = OLD
            made.gone.add(former.name)
            await anyio.sleep(30)
            former.thaw()
            await anyio.sleep(30)
            assert made.engines.refused == 1
            assert {each.desired for each in made.engines.applied} == {OLD}

    run(scenario)


def test_holder_frozen_across_a_gap_forgets_its_duty():
    async def scenario():
        async with lab(is_checking=False) as made:
            await anyio.sleep(120)
            former = made.holder()
            former.freeze_at = "read"
            await anyio.sleep(20)
            made.gone.add(former.name)
            await anyio.sleep(120)
            made.log.stream("duties").entries.clear()
            made.engines.applied.clear()
            former.thaw()
            await anyio.sleep(150)
            numbers = [each.fencing for each in made.engines.applied]
            assert numbers == sorted(numbers)

    run(scenario)


def test_wish_that_changes_during_a_load_is_not_ordered():
    async def scenario():
        async with lab(replica_count=1) as made:
            await anyio.sleep(120)
            former = made.holder()
            former.freeze_at = "load"
            made.wish = NEW
            await anyio.sleep(20)
            made.wish = OLD
            former.thaw()
            await anyio.sleep(120)
            assert {each.desired for each in made.engines.applied} == {OLD}

    run(scenario)


def test_failed_orders_spare_half_of_the_pool():
    async def scenario():
        async with lab() as made:
            await anyio.sleep(120)
            made.engines.broken = {"e0", "e1"}
            made.wish = NEW
            await anyio.sleep(120)
            assert made.engines.states["e4"].desired == OLD
            made.engines.broken = set()
            await anyio.sleep(120)
            assert made.is_at(NEW)

    run(scenario)


def test_unreachable_replicas_hold_nobody_up():
    async def scenario():
        async with lab() as made:
            await anyio.sleep(120)
            made.unreachable = {"e0", "e1", "e2"}
            made.wish = NEW
            await anyio.sleep(120)
            assert made.engines.states["e4"].desired == NEW

    run(scenario)


@pytest.mark.parametrize("is_checking", [True, False])
def test_two_holders_race(is_checking):
    async def scenario():
        async with lab(is_checking) as made:
            for n in range(20):
                made.daemons[n % 3].freeze_at = "append"
                made.gone.update(["d0", "d1", "d2"])
                await anyio.sleep(3)
                for daemon in made.daemons:
                    daemon.thaw()
            made.gone.clear()
            made.wish = NEW
            await anyio.sleep(120)
            assert made.is_at(NEW)
            numbers = {order.fencing for order in made.engines.states.values()}
            newest = made.log.stream("duties").end_offset - 1
            assert numbers == {newest}

    run(scenario)


def disturb(made, rng):
    """Do one random thing to a daemon, the wish or the log."""
    daemon = rng.choice(made.daemons)
    action = rng.randrange(6)
    if action == 0 and daemon.thawed is None:
        points = ["read", "append", "state", "load", "order"]
        daemon.freeze_at = rng.choice(points)
        made.gone.add(daemon.name)
    elif action == 1:
        daemon.thaw()
        made.gone.discard(daemon.name)
    elif action == 2:
        made.wish = Desired((f"fit-{rng.randrange(1000)}",))
    elif action == 3:
        made.log.is_down = not made.log.is_down
    elif action == 4:
        made.log.lost_answers = 1


@pytest.mark.parametrize("seed", range(30))
@pytest.mark.parametrize("is_checking", [True, False])
def test_random_faults_end_at_the_newest_wish(seed, is_checking):
    async def scenario():
        rng = random.Random(seed)
        async with lab(is_checking) as made:
            for _ in range(40):
                await anyio.sleep(rng.choice([0.5, 3, 20]))
                disturb(made, rng)
            made.log.is_down = False
            made.gone.clear()
            for daemon in made.daemons:
                daemon.thaw()
            await anyio.sleep(200)
            assert made.is_at(made.wish)

    run(scenario)


def test_log_outage_orders_nothing():
    async def scenario():
        async with lab() as made:
            await anyio.sleep(120)
            made.log.is_down = True
            made.wish = NEW
            await anyio.sleep(120)
            assert made.is_at(OLD)
            made.log.is_down = False
            await anyio.sleep(120)
            assert made.is_at(NEW)

    run(scenario)
