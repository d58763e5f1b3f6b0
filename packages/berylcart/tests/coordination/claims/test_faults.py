"""Inject faults at every step of a claim and count upstream executions.

Each test checks that no key runs twice, that a sender told ran=no caused no
execution, and that a returned answer belongs to its key.
"""

import random
from collections import Counter
from contextlib import asynccontextmanager

import anyio
import pytest
import trio
from berylcart.coordination.claims.answers import StoredAnswer
from berylcart.coordination.claims.appender import BatchSettings
from berylcart.coordination.claims.coordinator import ClaimCoordinator
from berylcart.coordination.claims.results import ClaimSettings, PriorResult
from berylcart.coordination.claims.run_once import run_once
from berylcart.state.claim_ledger import ClaimRules
from berylcart.state.errors import (
    BerylcartError,
    Code,
    Ran,
    UpstreamError,
)
from berylcart.state.records import Claim
from berylcart.transport.memory_log import MemoryLog
from trio.testing import MockClock

KEEP_MS = 600_000
SETTINGS = ClaimSettings(rules=ClaimRules(claim_keep_ms=KEEP_MS))
LONG_TIMEOUT_SETTINGS = SETTINGS._replace(
    batch=BatchSettings(append_timeout_ms=10 * KEEP_MS),
    claim_timeout_ms=10 * KEEP_MS,
)
PAUSE_POINTS = (
    "before-append",
    "after-append",
    "before-upstream",
    "after-upstream",
    "before-outcome",
)
SETTLE_S = 10


class Daemon:
    """Run one coordinator whose log, peer and upstream calls can be paused."""

    def __init__(self, harness, name, incarnation):
        self.harness = harness
        self.freeze_at = ""
        self.is_frozen = False
        self.is_dead = False
        self.thawed = anyio.Event()
        self.tasks = None
        self.coordinator = ClaimCoordinator(
            self, name, incarnation, self.collect_from, harness.settings
        )

    async def run(self, *, task_status):
        """Run the coordinator and this daemon's requests."""
        async with anyio.create_task_group() as self.tasks:
            self.tasks.start_soon(self.coordinator.run)
            task_status.started()

    async def gate(self, point=""):
        """Freeze at the chosen point; block while frozen or dead."""
        if point and point == self.freeze_at:
            self.freeze_at = ""
            self.is_frozen = True
        while self.is_frozen or self.is_dead:
            await self.thawed.wait()

    def thaw(self):
        """Resume a frozen daemon."""
        self.is_frozen = False
        self.thawed.set()
        self.thawed = anyio.Event()

    def kill(self):
        """Cancel the daemon's tasks and lose its state."""
        self.is_dead = True
        self.harness.daemons.remove(self)
        self.tasks.cancel_scope.cancel()

    async def append(self, stream, records):
        """Append in another task, since a timeout does not undo an append."""
        has_claims = any(isinstance(each, Claim) for each in records)
        claim_points = ("before-append", "after-append")
        before, after = claim_points if has_claims else ("before-outcome", "")
        sender, receiver = anyio.create_memory_object_stream(1)

        async def deliver():
            await self.gate(before)
            try:
                result = await self.harness.log.append(stream, records)
            except BerylcartError as error:
                result = error
            await self.gate(after)
            sender.send_nowait(result)

        self.harness.tasks.start_soon(deliver)
        result = await receiver.receive()
        if isinstance(result, BerylcartError):
            raise result
        return result

    async def read(self, stream, offset, *, wait_ms, limit):
        """Read from the log, with a gate before and after."""
        await self.gate()
        page = await self.harness.log.read(
            stream, offset, wait_ms=wait_ms, limit=limit
        )
        await self.gate()
        return page

    async def collect_from(self, claimant, key_digest, claim_id, workspace):
        """Collect from another daemon; blocks while it is frozen or dead."""
        await self.gate()
        for daemon in self.harness.daemons:
            if daemon.coordinator.claimant == claimant:
                await daemon.gate()
                return await daemon.coordinator.collect(key_digest, claim_id)
        raise BerylcartError(Code.PEER_UNAVAILABLE, claimant)

    async def call_upstream(self, key, send_id):
        """Execute the request; the execution precedes the reply."""
        await self.gate("before-upstream")
        if self.harness.refusals > 0:
            self.harness.refusals -= 1
            raise UpstreamError(Code.NO_UPSTREAM, "draining", ran=Ran.NO)
        self.harness.executions.append((key, send_id))
        await self.gate("after-upstream")
        if self.harness.lost_replies > 0:
            self.harness.lost_replies -= 1
            raise UpstreamError(
                Code.UPSTREAM_FAILED, "no reply", ran=Ran.UNKNOWN
            )
        return StoredAnswer(Ran.YES, 0, f"booked {key}".encode())

    async def serve(self, key, send_id):
        """Claim and run one request, and record what its sender is told."""
        try:
            claimed = await self.coordinator.claim(key, "w", "booking", b"{}")
            outcome = await run_once(
                self.coordinator,
                claimed,
                lambda: self.call_upstream(key, send_id),
            )
        except BerylcartError as error:
            outcome = error
        await self.gate()
        self.harness.outcomes[send_id] = (key, outcome)

    def send(self, key):
        """Send a request in the background and return the send id."""
        send_id = f"s{len(self.harness.outcomes)}"
        self.harness.outcomes[send_id] = (key, None)
        self.tasks.start_soon(self.serve, key, send_id)
        return send_id


class Harness:
    """Hold the log, the daemons, the executions and senders' outcomes."""

    def __init__(self, log, settings):
        self.log = log
        self.settings = settings
        self.executions = []
        self.refusals = 0
        self.lost_replies = 0
        self.outcomes = {}
        self.daemons = []
        self.tasks = None

    async def start(self, name, incarnation=1):
        """Start a daemon."""
        daemon = Daemon(self, name, incarnation)
        self.daemons.append(daemon)
        await self.tasks.start(daemon.run)
        return daemon

    def result(self, send_id):
        """Return what a sender was told, None without a reply."""
        return self.outcomes[send_id][1]

    def check(self):
        """Check the senders' outcomes against the executions."""
        runs = Counter(key for key, _ in self.executions)
        assert all(count == 1 for count in runs.values()), runs
        executed = {send_id for _, send_id in self.executions}
        for send_id, (key, outcome) in self.outcomes.items():
            if outcome is None:
                continue
            if outcome.ran is Ran.NO:
                assert send_id not in executed, send_id
            if isinstance(outcome, PriorResult) and outcome.answer is not None:
                assert outcome.answer.body == f"booked {key}".encode()


@asynccontextmanager
async def running_harness(count=3, log=None, settings=SETTINGS):
    """Run daemons d0, d1 and so on inside a with block."""
    harness = Harness(log or MemoryLog(), settings)
    async with anyio.create_task_group() as harness.tasks:
        for n in range(count):
            await harness.start(f"d{n}")
        await anyio.sleep(1)
        yield harness
        harness.check()
        harness.tasks.cancel_scope.cancel()


def run(scenario, *args):
    """Run a scenario on a mock clock that skips every sleep."""
    return trio.run(scenario, *args, clock=MockClock(autojump_threshold=0))


@pytest.mark.parametrize("delay_ms", [0, 5, 300])
def test_concurrent_sends_of_one_key_to_seven_daemons(delay_ms):
    async def scenario():
        async with running_harness(7) as harness:
            harness.log.delay_ms = delay_ms
            sends = [daemon.send("k") for daemon in harness.daemons]
            await anyio.sleep(SETTLE_S)
            assert len(harness.executions) == 1
            for send_id in sends:
                assert harness.result(send_id).answer.body == b"booked k"

    run(scenario)


@pytest.mark.parametrize("point", PAUSE_POINTS)
def test_killed_claimant(point):
    async def scenario():
        async with running_harness() as harness:
            first, second, third = harness.daemons
            first.freeze_at = point
            first.send("k")
            await anyio.sleep(1)
            first.kill()
            retry = second.send("k")
            await anyio.sleep(SETTLE_S)
            third.send("k")
            restarted = await harness.start("d0", incarnation=2)
            restarted.send("k")
            await anyio.sleep(SETTLE_S)
            harness.check()
            if point == "before-append":
                assert harness.result(retry).answer is not None
            else:
                assert harness.result(retry).code is Code.OUTCOME_UNKNOWN
                assert harness.result(retry).ran is Ran.UNKNOWN

    run(scenario)


@pytest.mark.parametrize("frozen_s", [0.5, 5, 60])
@pytest.mark.parametrize("point", PAUSE_POINTS)
def test_frozen_claimant_resumes(point, frozen_s):
    async def scenario():
        async with running_harness() as harness:
            first, second, third = harness.daemons
            first.freeze_at = point
            first.send("k")
            await anyio.sleep(0.1)
            sends = [second.send("k")]
            await anyio.sleep(frozen_s)
            sends.append(third.send("k"))
            first.thaw()
            sends.append(first.send("k"))
            await anyio.sleep(SETTLE_S)
            sends.append(second.send("k"))
            await anyio.sleep(SETTLE_S)
            assert len(harness.executions) == 1
            assert all(harness.result(each) is not None for each in sends)
            last = harness.result(sends[-1])
            assert last.answer.body == b"booked k"

    run(scenario)


@pytest.mark.parametrize("settings", [SETTINGS, LONG_TIMEOUT_SETTINGS])
@pytest.mark.parametrize("retention_ms", [None, 2 * KEEP_MS])
@pytest.mark.parametrize("point", PAUSE_POINTS)
def test_claimant_resumes_after_its_key_has_expired(
    point, retention_ms, settings
):
    async def scenario():
        log = MemoryLog(retention_ms=retention_ms)
        async with running_harness(log=log, settings=settings) as harness:
            first, second, _ = harness.daemons
            second.send("warm")
            await anyio.sleep(1)
            key = second.coordinator.issue_key()
            first.freeze_at = point
            first.send(key)
            await anyio.sleep(0.1)
            second.send(key)
            await anyio.sleep(3 * KEEP_MS / 1000)
            expired = second.send(key)
            await anyio.sleep(1)
            first.thaw()
            await anyio.sleep(SETTLE_S)
            first.send(key)
            await anyio.sleep(SETTLE_S)
            assert harness.result(expired).code is Code.KEY_EXPIRED
            harness.check()

    run(scenario)


def test_reader_resuming_after_a_gap_refuses_claims():
    async def scenario():
        async with running_harness() as harness:
            first, second, _ = harness.daemons
            first.is_frozen = True
            second.send("k")
            await anyio.sleep(1)
            second.kill()
            harness.log.stream("claims").entries.clear()
            first.thaw()
            await anyio.sleep(1)
            retry = first.send("k")
            await anyio.sleep(SETTLE_S)
            assert len(harness.executions) == 1
            assert harness.result(retry).code is Code.CLAIMS_UNAVAILABLE

    run(scenario)


def test_log_that_lost_its_stream_refuses_old_keys():
    async def scenario():
        async with running_harness() as harness:
            first, second, _ = harness.daemons
            for n in range(5):
                first.send(f"k{n}")
            await anyio.sleep(1)
            dated_key = second.coordinator.issue_key()
            harness.log.streams.clear()
            await anyio.sleep(SETTLE_S)
            first.kill()
            retries = [second.send("k1"), second.send(dated_key)]
            await anyio.sleep(SETTLE_S)
            assert len(harness.executions) == 5
            for send_id in retries:
                code = harness.result(send_id).code
                assert code is Code.CLAIMS_UNAVAILABLE
            await anyio.sleep(KEEP_MS / 4000)
            fresh = second.send(second.coordinator.issue_key())
            await anyio.sleep(SETTLE_S)
            assert harness.result(fresh).answer is not None

    run(scenario)


def test_restart_with_the_same_incarnation_does_not_rerun():
    async def scenario():
        async with running_harness() as harness:
            first, second, _ = harness.daemons
            first.send("k")
            await anyio.sleep(1)
            first.kill()
            restarted = await harness.start("d0", incarnation=1)
            retries = [
                restarted.send("other"),
                restarted.send("k"),
                second.send("k"),
            ]
            await anyio.sleep(SETTLE_S)
            assert harness.result(retries[0]).answer.body == b"booked other"
            assert harness.result(retries[1]) == harness.result(retries[2])
            assert harness.result(retries[1]).ran is Ran.YES
            assert len(harness.executions) == 2

    run(scenario)


def test_outcome_is_appended_after_a_log_outage():
    async def scenario():
        async with running_harness() as harness:
            first, second, _ = harness.daemons
            first.freeze_at = "before-outcome"
            first.send("k")
            await anyio.sleep(1)
            harness.log.is_down = True
            first.thaw()
            await anyio.sleep(SETTLE_S)
            harness.log.is_down = False
            await first.coordinator.flush()
            first.kill()
            await anyio.sleep(1)
            retry = second.send("k")
            await anyio.sleep(SETTLE_S)
            assert harness.result(retry) == PriorResult(Ran.YES, 0, None)

    run(scenario)


def test_reader_restarted_after_expiry_refuses_old_keys():
    async def scenario():
        log = MemoryLog(retention_ms=2 * KEEP_MS)
        async with running_harness(log=log) as harness:
            for daemon in harness.daemons:
                daemon.send("warm")
            await anyio.sleep(1)
            key = harness.daemons[0].coordinator.issue_key()
            harness.daemons[0].send(key)
            harness.daemons[0].send("plain")
            await anyio.sleep(1)
            for daemon in list(harness.daemons):
                daemon.kill()
            log.stream("claims").entries.clear()
            restarted = await harness.start("d9")
            await anyio.sleep(KEEP_MS / 4000)
            sends = [restarted.send(key), restarted.send("plain")]
            await anyio.sleep(SETTLE_S)
            for send_id in sends:
                code = harness.result(send_id).code
                assert code is Code.CLAIMS_UNAVAILABLE
            await anyio.sleep(KEEP_MS / 4000)
            fresh_key = restarted.coordinator.issue_key()
            sent = restarted.send(fresh_key)
            await anyio.sleep(SETTLE_S)
            assert harness.result(sent).answer is not None

    run(scenario)


def test_lost_append_replies():
    async def scenario():
        async with running_harness() as harness:
            for n in range(9):
                harness.log.lost_append_responses = 1
                sent = harness.daemons[n % 3].send(f"k{n}")
                harness.daemons[(n + 1) % 3].send(f"k{n}")
                await anyio.sleep(SETTLE_S)
                assert harness.result(sent).answer is not None
            assert len(harness.executions) == 9
            stream = harness.log.stream("claims")
            claims = [e for e in stream.entries if isinstance(e.record, Claim)]
            assert len(claims) == len({e.record.claim_id for e in claims})

    run(scenario)


def test_duplicated_claim_record_does_not_release_the_key():
    async def scenario():
        async with running_harness() as harness:
            first, second, _ = harness.daemons
            first.send("k")
            await anyio.sleep(1)
            stream = harness.log.stream("claims")
            copy = next(
                each.record
                for each in stream.entries
                if isinstance(each.record, Claim)
            )
            await harness.log.append("claims", [copy])
            await anyio.sleep(1)
            for daemon in harness.daemons:
                daemon.coordinator.local.answers.entries.clear()
            second.send("k")
            first.send("k")
            await anyio.sleep(SETTLE_S)
            assert len(harness.executions) == 1

    run(scenario)


def test_slow_log_outage_and_recovery():
    async def scenario():
        async with running_harness() as harness:
            first, second, _ = harness.daemons
            harness.log.delay_ms = 1500
            slow = [first.send("a"), second.send("a")]
            await anyio.sleep(SETTLE_S)
            harness.log.is_down = True
            down = [first.send("b"), second.send("b")]
            await anyio.sleep(SETTLE_S)
            for send_id in down:
                assert harness.result(send_id).code is Code.CLAIMS_UNAVAILABLE
                assert harness.result(send_id).ran is Ran.NO
            harness.log.delay_ms = 0
            harness.log.is_down = False
            await anyio.sleep(SETTLE_S)
            sends = [second.send("a"), first.send("b")]
            await anyio.sleep(SETTLE_S)
            assert all(harness.result(each) is not None for each in slow)
            assert all(harness.result(each).answer for each in sends)

    run(scenario)


def test_execution_with_a_lost_reply_is_not_rerun():
    async def scenario():
        async with running_harness() as harness:
            first, second, _ = harness.daemons
            harness.lost_replies = 1
            lost = first.send("k")
            await anyio.sleep(1)
            retries = [second.send("k"), first.send("k")]
            await anyio.sleep(SETTLE_S)
            assert len(harness.executions) == 1
            for send_id in (lost, *retries):
                assert harness.result(send_id).ran is Ran.UNKNOWN

    run(scenario)


def test_request_refused_by_the_upstream_can_be_claimed_again():
    async def scenario():
        async with running_harness() as harness:
            first, second, _ = harness.daemons
            harness.refusals = 1
            refused = first.send("k")
            await anyio.sleep(1)
            assert harness.result(refused).ran is Ran.NO
            retry = second.send("k")
            await anyio.sleep(SETTLE_S)
            assert harness.result(retry).answer.body == b"booked k"

    run(scenario)


async def inject_random_fault(harness, rng):
    """Inject one random fault into the daemons, log or upstream."""
    daemon = rng.choice(harness.daemons)
    action = rng.randrange(10)
    if action < 3:
        daemon.freeze_at = rng.choice(PAUSE_POINTS)
    elif action < 5:
        daemon.thaw()
    elif action == 5 and len(harness.daemons) > 2:
        daemon.kill()
        await harness.start(f"d{rng.randrange(99)}", rng.randrange(1 << 30))
    elif action == 6:
        harness.log.is_down = not harness.log.is_down
    elif action == 7:
        harness.log.lost_append_responses += 1
    elif action == 8:
        harness.log.delay_ms = rng.choice([0, 5, 100, 1900, 2500])
    else:
        harness.lost_replies += rng.randrange(2)
        harness.refusals += rng.randrange(2)


@pytest.mark.parametrize("seed", range(60))
def test_random_faults(seed):
    async def scenario():
        rng = random.Random(seed)
        async with running_harness(rng.randint(3, 7)) as harness:
            for _ in range(60):
                for _ in range(rng.randrange(4)):
                    rng.choice(harness.daemons).send(f"k{rng.randrange(8)}")
                await anyio.sleep(rng.choice([0, 0.001, 0.01, 0.5, 3]))
                await inject_random_fault(harness, rng)
                harness.check()
            clear_faults(harness)
            await anyio.sleep(3 * SETTLE_S)
            sends = [
                daemon.send(f"k{n}")
                for daemon in harness.daemons
                for n in range(8)
            ]
            await anyio.sleep(3 * SETTLE_S)
            assert all(harness.result(each) is not None for each in sends)

    run(scenario)


def expire_early(harness, rng):
    """Drop a random number of records before their retention ends."""
    entries = harness.log.stream("claims").entries
    for _ in range(rng.randrange(len(entries) + 1)):
        entries.popleft()


def clear_faults(harness):
    """End all injected faults."""
    harness.log.is_down = False
    harness.log.delay_ms = 0
    harness.log.lost_append_responses = 0
    harness.refusals = 0
    harness.lost_replies = 0
    for daemon in harness.daemons:
        daemon.freeze_at = ""
        daemon.thaw()


@pytest.mark.parametrize("seed", range(12))
def test_random_faults_with_dated_keys_and_expiry(seed):
    async def scenario():
        rng = random.Random(seed)
        log = MemoryLog(retention_ms=2 * KEEP_MS)
        settings = rng.choice([SETTINGS, LONG_TIMEOUT_SETTINGS])
        async with running_harness(
            rng.randint(3, 5), log, settings
        ) as harness:
            keys = []
            for _ in range(40):
                keys.append(
                    rng.choice(harness.daemons).coordinator.issue_key()
                )
                for _ in range(rng.randrange(6)):
                    key = rng.choice(keys[-6:])
                    rng.choice(harness.daemons).send(key)
                pause_s = rng.choice([0.001, 0.5, 3, KEEP_MS / 4000])
                await anyio.sleep(pause_s)
                await inject_random_fault(harness, rng)
                harness.log.is_down &= rng.randrange(2) == 0
                if rng.randrange(12) == 0:
                    expire_early(harness, rng)
                harness.check()
            clear_faults(harness)
            await anyio.sleep(KEEP_MS / 2000)
            key = harness.daemons[0].coordinator.issue_key()
            sends = [daemon.send(key) for daemon in harness.daemons]
            await anyio.sleep(3 * SETTLE_S)
            assert all(harness.result(each).answer for each in sends)

    run(scenario)
