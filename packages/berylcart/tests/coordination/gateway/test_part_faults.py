"""Test how prompt parts on which replicas crash are found and blocked."""

from random import Random

import anyio
import pytest
import trio
from berylcart.coordination.gateway.part_faults import (
    BLOCK_S,
    MAX_BLOCKED,
    MAX_PARTS,
    MAX_REPORTS,
    SUSPICION_S,
    PartFaults,
)
from berylcart.state.errors import BerylcartError, Code, Ran
from berylcart.state.peer_messages import PartCrash, PartReport
from trio.testing import MockClock

DEADLY = "dead0001"
CONTACT_S = 3.0
GOSSIP_S = 0.2
RESTART_S = 3.0
SEEDS = tuple(range(1, 21))


def run_paused(scenario):
    trio.run(scenario, clock=MockClock(autojump_threshold=0))


def is_refused(faults, *traits):
    try:
        faults.check(traits)
    except BerylcartError:
        return True
    return False


class Fleet:
    """Daemons that serve a load on replicas that crash on one part."""

    def __init__(self, seed, daemons=7, replicas=5):
        self.rng = Random(seed)
        self.daemons = [PartFaults() for _ in range(daemons)]
        self.replicas = [[f"v{n}/0", 0.0, []] for n in range(replicas)]
        self.number = 0
        self.crashes = []
        self.late_sends = 0
        self.sound = self.sound_refused = 0

    async def gossip(self):
        """Exchange what is known between random daemons."""
        while True:
            await anyio.sleep(GOSSIP_S)
            now_known = [faults.reports() for faults in self.daemons]
            for number, faults in enumerate(self.daemons):
                other = self.rng.randrange(len(self.daemons))
                faults.merge(f"d{other}", now_known[other])
                self.daemons[other].merge(f"d{number}", now_known[number])

    def crash(self, replica):
        """Crash a replica; each daemon sees its requests broken."""
        for faults, traits in replica[2]:
            faults.record_crash(replica[0], traits, "r")
        self.number += 1
        replica[0] = f"v{self.number}/1"
        replica[1] = anyio.current_time() + RESTART_S
        replica[2] = []

    async def serve(self, traits):
        """Serve a request on a random replica that runs."""
        faults = self.rng.choice(self.daemons)
        is_deadly = DEADLY in traits
        self.sound += not is_deadly
        if is_refused(faults, *traits):
            self.sound_refused += not is_deadly
            return
        up = [
            each for each in self.replicas if each[1] <= anyio.current_time()
        ]
        if not up:
            return
        replica = self.rng.choice(up)
        entry = (faults, traits)
        replica[2].append(entry)
        if is_deadly and len(self.crashes) >= 5:
            fifth_s = self.crashes[4]
            self.late_sends += anyio.current_time() > fifth_s + CONTACT_S
        await anyio.sleep(self.rng.uniform(0.05, 0.6))
        if entry not in replica[2]:
            return
        if is_deadly:
            self.crashes.append(anyio.current_time())
            self.crash(replica)
        else:
            replica[2].remove(entry)
            faults.record_answer(traits)

    async def play(self, for_s, per_s, share, prompts):
        """Play a load; a share of it has the deadly part."""
        end_s = anyio.current_time() + for_s
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self.gossip)
            for faults in self.daemons:
                tasks.start_soon(faults.run)
            async with anyio.create_task_group() as requests:
                while anyio.current_time() < end_s:
                    await anyio.sleep(self.rng.expovariate(per_s))
                    parts = prompts(self.rng)
                    if self.rng.random() < share:
                        parts = (*prompts(Random(0)), DEADLY)
                    requests.start_soon(self.serve, parts)
            tasks.cancel_scope.cancel()


def few_first_parts(rng):
    """Return parts of which the first has four values in all."""
    return (f"first{rng.randrange(4)}", f"second{rng.randrange(35)}")


def many_first_parts(rng):
    return (f"first{rng.randrange(99)}",)


@pytest.mark.parametrize("seed", SEEDS)
@pytest.mark.parametrize("share", [0.2, 0.6])
@pytest.mark.parametrize("prompts", [few_first_parts, many_first_parts])
def test_crashing_part_is_not_sent_on_and_sound_requests_are(
    seed, share, prompts
):
    async def scenario():
        fleet = Fleet(seed)
        await fleet.play(40, 4.0, share, prompts)
        assert len(fleet.crashes) >= 3
        assert fleet.late_sends <= 3
        assert fleet.sound_refused == 0

    run_paused(scenario)


@pytest.mark.parametrize("seed", SEEDS)
def test_crashes_without_a_common_part_block_nothing(seed):
    async def scenario():
        fleet = Fleet(seed)

        async def crash_some():
            for _ in range(12):
                await anyio.sleep(3)
                for replica in fleet.rng.sample(fleet.replicas, 3):
                    fleet.crash(replica)

        async with anyio.create_task_group() as tasks:
            tasks.start_soon(crash_some)
            await fleet.play(40, 8.0, 0.0, few_first_parts)
        assert fleet.sound_refused == 0

    run_paused(scenario)


def test_replicas_lost_at_once_are_no_evidence_against_a_common_part():
    async def scenario():
        faults = PartFaults()
        for number in range(9):
            faults.record_crash(f"v{number}/1", ("common",), "r")
        await anyio.sleep(2 * CONTACT_S)
        faults.decide("own")
        assert not is_refused(faults, "common")

    run_paused(scenario)


async def crash_often(faults, *part_ids, count=5, gap_s=1.0):
    for _ in range(count):
        number = int(anyio.current_time() * 10)
        faults.record_crash(f"v{number}/1", part_ids, "r")
        await anyio.sleep(gap_s)
    faults.decide("own")


def test_answer_that_begins_clears_earlier_crashes():
    async def scenario():
        faults = PartFaults()
        for _ in range(4):
            await crash_often(faults, "part", count=2)
            faults.record_answer(("part",))
        assert not is_refused(faults, "part")

    run_paused(scenario)


def test_answer_of_another_daemon_lifts_a_block():
    async def scenario():
        faults, peer = PartFaults(), PartFaults()
        await crash_often(faults, "part")
        peer.merge("d1", faults.reports())
        assert is_refused(peer, "part")
        peer.record_answer(("part",))
        faults.merge("d2", peer.reports())
        peer.merge("d1", faults.reports())
        assert not is_refused(faults, "part")
        assert not is_refused(peer, "part")

    run_paused(scenario)


def test_earlier_part_is_blocked_once_crashes_go_on_without_the_later_one():
    async def scenario():
        faults = PartFaults()
        await crash_often(faults, DEADLY, "later")
        assert is_refused(faults, "later")
        assert not is_refused(faults, DEADLY)
        await crash_often(faults, DEADLY, "other")
        await crash_often(faults, DEADLY, "third")
        assert is_refused(faults, DEADLY)

    run_paused(scenario)


def test_blocks_and_suspicions_are_forgotten():
    async def scenario():
        faults, peer = PartFaults(), PartFaults()
        await crash_often(faults, "part")
        await crash_often(faults, "other", count=1)
        peer.merge("d1", faults.reports())
        await anyio.sleep(SUSPICION_S + 1)
        faults.expire()
        assert list(faults.known) == ["part"]
        await anyio.sleep(BLOCK_S / 2)
        peer.merge("d1", faults.reports())
        await anyio.sleep(BLOCK_S / 2)
        for each in (faults, peer):
            each.expire()
            assert not each.known

    run_paused(scenario)


def test_memory_and_messages_are_bounded():
    async def scenario():
        faults = PartFaults()
        for number in range(3 * MAX_PARTS):
            faults.record_crash("v1/1", (f"p{number}",), "r")
        faults.record_crash("v1/1", ("x" * 10_000, "\n"), "r")
        assert len(faults.known) <= MAX_PARTS
        assert "x" * 10_000 not in faults.known
        faults.record_answer(("x" * 10_000,))
        assert not faults.answers
        assert len(faults.reports()) <= MAX_REPORTS
        blocks = [
            PartReport(f"q{number}", (PartCrash("v", 0),), None, 0)
            for number in range(2 * MAX_PARTS)
        ]
        faults.merge("d1", blocks)
        assert faults.count_blocked() <= MAX_BLOCKED

    run_paused(scenario)


def test_refusal_names_the_part_and_when_it_is_forgotten():
    async def scenario():
        faults = PartFaults()
        await crash_often(faults, "part")
        with pytest.raises(BerylcartError) as raised:
            faults.check(("part",), Ran.UNKNOWN)
        assert raised.value.code is Code.PART_BLOCKED
        assert raised.value.ran is Ran.UNKNOWN
        assert "part" in raised.value.detail
        assert 0 < raised.value.retry_after_ms <= BLOCK_S * 1000

    run_paused(scenario)
