"""Test how a request on which replicas crash is found and blocked."""

from random import Random
from typing import NamedTuple

import anyio
import pytest
import trio
from berylcart.coordination.gateway.part_faults import (
    MAX_PARTS,
    MAX_REQUESTS,
    SETTLE_S,
    PartFaults,
)
from berylcart.state.errors import BerylcartError, Code, Ran
from trio.testing import MockClock

CONTACT_S = 3.0
GOSSIP_S = 0.2
RESTART_S = 3.2
SLOTS = 6
MAX_SENDS = 3
LATE_SENDS_ALLOWED = 3
CRASHES_UNTIL_LATE = 3
DEADLY = "request:dead"
SEEDS = tuple(range(1, 13))


def run_paused(scenario):
    trio.run(scenario, clock=MockClock(autojump_threshold=0))


class Load(NamedTuple):
    """Describe a load; share of its requests are the deadly one."""

    per_s: float
    share: float
    kinds: int
    parts: tuple[str, ...] = ()


LOADS = (
    Load(2.0, 0.6, 3),
    Load(2.0, 0.3, 3000),
    Load(12.0, 0.1, 2),
    Load(8.0, 0.05, 400),
    Load(4.0, 0.6, 40, ("common", "rare")),
)


class Replica:
    """Run a few requests at once; end with the deadly one."""

    def __init__(self, fleet):
        self.fleet = fleet
        self.running = {}
        self.incarnation = 0
        self.up_s = 0.0

    @property
    def is_up(self):
        """Tell whether the replica accepts requests."""
        return anyio.current_time() >= self.up_s

    @property
    def name(self):
        """Return the name of this start of the replica."""
        return f"v{id(self)}/{self.incarnation}"

    def crash(self):
        """End all requests that run here."""
        self.incarnation += 1
        self.up_s = anyio.current_time() + RESTART_S
        for scope in self.running.values():
            scope.cancel()


class Fleet:
    """Daemons that send requests to a few replicas, again after a crash."""

    def __init__(self, seed, daemons=7, replicas=3):
        self.rng = Random(seed)
        self.daemons = [PartFaults() for _ in range(daemons)]
        self.replicas = [Replica(self) for _ in range(replicas)]
        self.crashes_s = []
        self.sends_s = []
        self.refused = []
        self.served = 0

    async def gossip(self):
        """Exchange what is known between random daemons."""
        while True:
            await anyio.sleep(GOSSIP_S)
            for number, faults in enumerate(self.daemons):
                other = self.rng.choice(self.daemons)
                other.merge(f"d{number}", faults.reports())
                faults.merge("other", other.reports())

    async def run_once(self, faults, replica, traits):
        """Send a request to a replica; return whether it was answered."""
        sent_s, name = anyio.current_time(), replica.name
        is_deadly = traits[-1] == DEADLY
        if is_deadly:
            self.sends_s.append(sent_s)
        with anyio.CancelScope() as scope:
            key = object()
            replica.running[key] = scope
            try:
                await anyio.sleep(self.rng.uniform(0.005, 0.06))
                if is_deadly:
                    self.crashes_s.append(anyio.current_time())
                    replica.crash()
                    await anyio.sleep(1)
            finally:
                del replica.running[key]
        if not scope.cancelled_caught:
            faults.record_answer(traits)
            return True
        await anyio.sleep(0.03)
        faults.record_crash(name, traits, "r", sent_s)
        return False

    async def attempt(self, traits):
        """Serve one attempt of a caller; return whether it has ended."""
        faults = self.rng.choice(self.daemons)
        for _ in range(MAX_SENDS):
            try:
                faults.check(traits)
            except BerylcartError:
                self.refused.append(traits[-1])
                return True
            free = [
                each
                for each in self.replicas
                if each.is_up and len(each.running) < SLOTS
            ]
            if not free:
                return False
            if await self.run_once(faults, self.rng.choice(free), traits):
                self.served += 1
                return True
        return False

    async def serve(self, traits):
        """Serve a request, whose caller repeats it once."""
        if not await self.attempt(traits):
            await anyio.sleep(self.rng.uniform(0.01, 0.5))
            await self.attempt(traits)

    async def play(self, load, for_s=40):
        """Play a load."""
        end_s = anyio.current_time() + for_s
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self.gossip)
            for faults in self.daemons:
                tasks.start_soon(faults.run)
            async with anyio.create_task_group() as requests:
                while anyio.current_time() < end_s:
                    await anyio.sleep(self.rng.expovariate(load.per_s))
                    kind = f"request:{self.rng.randrange(load.kinds)}"
                    if self.rng.random() < load.share:
                        kind = DEADLY
                    requests.start_soon(self.serve, (*load.parts, kind))
            tasks.cancel_scope.cancel()

    def late_sends(self):
        """Count the sends for which the request should have been known."""
        if len(self.crashes_s) < CRASHES_UNTIL_LATE:
            return 0
        known_s = sorted(self.crashes_s)[CRASHES_UNTIL_LATE - 1] + CONTACT_S
        return sum(sent_s > known_s for sent_s in self.sends_s)


@pytest.mark.parametrize("seed", SEEDS)
@pytest.mark.parametrize("load", LOADS)
def test_crashing_request_is_not_sent_on_and_sound_ones_are(seed, load):
    async def scenario():
        fleet = Fleet(seed)
        await fleet.play(load)
        assert fleet.late_sends() <= LATE_SENDS_ALLOWED
        assert set(fleet.refused) <= {DEADLY}
        assert fleet.served

    run_paused(scenario)


def test_popular_request_beside_each_crash_is_not_refused():
    async def scenario():
        faults = PartFaults()
        faults.record_answer(("request:popular",))
        for number in range(4):
            for trait in (DEADLY, "request:popular"):
                now = anyio.current_time()
                faults.record_crash(f"v{number}/1", (trait,), "r", now)
            await anyio.sleep(2)
        faults.decide("own")
        assert faults.is_refused((DEADLY,))
        assert not faults.is_refused(("request:popular",))

    run_paused(scenario)


def test_sound_request_that_shares_all_parts_is_not_refused():
    async def scenario():
        faults = PartFaults()
        for number in range(9):
            now = anyio.current_time()
            faults.record_crash(
                f"v{number}/1", ("common", "rare", DEADLY), "r", now
            )
            await anyio.sleep(2)
            faults.decide("own")
        assert faults.is_refused(("common", "rare", DEADLY))
        assert not faults.is_refused(("common", "rare", "request:sound"))

    run_paused(scenario)


def test_replicas_lost_at_once_are_no_evidence_against_a_request():
    async def scenario():
        faults = PartFaults()
        for number in range(9):
            faults.record_crash(f"v{number}/1", (DEADLY,), "r", 0.0)
        await anyio.sleep(2 * SETTLE_S)
        faults.decide("own")
        assert not faults.is_refused((DEADLY,))

    run_paused(scenario)


def test_request_waits_until_its_third_crash_has_settled():
    async def scenario():
        faults = PartFaults()
        for number in range(3):
            faults.record_crash(
                f"v{number}/1", (DEADLY,), "r", anyio.current_time()
            )
            await anyio.sleep(0.05)
        with pytest.raises(BerylcartError) as raised:
            faults.check((DEADLY,), Ran.UNKNOWN)
        assert raised.value.code is Code.REQUEST_BLOCKED
        assert raised.value.ran is Ran.UNKNOWN
        assert 0 < raised.value.retry_after_ms <= 2 * SETTLE_S * 1000
        assert not faults.count_blocked()
        await anyio.sleep(2 * SETTLE_S)
        faults.decide("own")
        assert faults.count_blocked() == 1

    run_paused(scenario)


def test_lifted_request_is_served_at_all_daemons():
    async def scenario():
        faults, peer = PartFaults(), PartFaults()
        for number in range(3):
            faults.record_crash(
                f"v{number}/1", (DEADLY,), "r", anyio.current_time()
            )
            await anyio.sleep(1)
        await anyio.sleep(SETTLE_S)
        faults.decide("own")
        peer.merge("d1", faults.reports())
        assert peer.is_refused((DEADLY,))
        assert faults.lift(DEADLY)
        peer.merge("d1", faults.reports())
        faults.merge("d2", peer.reports())
        assert not peer.is_refused((DEADLY,))
        assert not faults.is_refused((DEADLY,))
        assert not faults.lift("request:other")

    run_paused(scenario)


def test_requests_in_crashes_displace_no_parts():
    async def scenario():
        faults = PartFaults()
        faults.record_crash("v1/1", ("part",), "r")
        for number in range(2 * MAX_REQUESTS):
            faults.record_crash("v2/1", (f"request:{number}",), "r")
        assert "part" in faults.known
        assert len(faults.known) <= MAX_PARTS + MAX_REQUESTS

    run_paused(scenario)
