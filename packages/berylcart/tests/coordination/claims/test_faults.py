"""Break claims at every point; a witness counts what upstreams ran."""

import random
from collections import Counter
from contextlib import asynccontextmanager

import anyio
import pytest
import trio
from berylcart.coordination.claims.answers import StoredAnswer
from berylcart.coordination.claims.batch import BatchSettings
from berylcart.coordination.claims.keeper import ClaimKeeper
from berylcart.coordination.claims.results import ClaimSettings, Found
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
PATIENT = SETTINGS._replace(
    batch=BatchSettings(append_timeout_ms=10 * KEEP_MS),
    claim_timeout_ms=10 * KEEP_MS,
)
POINTS = (
    "before-append",
    "after-append",
    "before-upstream",
    "after-upstream",
    "before-outcome",
)
PAUSE_S = 10


class Daemon:
    """Run one keeper whose every step outside passes a gate."""

    def __init__(self, lab, name, incarnation):
        self.lab = lab
        self.stop_at = ""
        self.is_frozen = False
        self.is_dead = False
        self.thawed = anyio.Event()
        self.tasks = None
        self.keeper = ClaimKeeper(
            self, name, incarnation, self.collect_from, lab.settings
        )

    async def run(self, *, task_status):
        """Run the keeper and the requests of this daemon."""
        async with anyio.create_task_group() as self.tasks:
            self.tasks.start_soon(self.keeper.run)
            task_status.started()

    async def gate(self, point=""):
        """Stop at the chosen point, and at any point while frozen."""
        if point and point == self.stop_at:
            self.stop_at = ""
            self.is_frozen = True
        while self.is_frozen or self.is_dead:
            await self.thawed.wait()

    def thaw(self):
        """Let a frozen daemon go on."""
        self.is_frozen = False
        self.thawed.set()
        self.thawed = anyio.Event()

    def kill(self):
        """End the daemon with all that it holds."""
        self.is_dead = True
        self.lab.daemons.remove(self)
        self.tasks.cancel_scope.cancel()

    async def append(self, stream, records):
        """Append in another task: a timeout doesn't recall what was sent."""
        claims = any(isinstance(each, Claim) for each in records)
        points = ("before-append", "after-append")
        before, after = points if claims else ("before-outcome", "")
        answers, answer = anyio.create_memory_object_stream(1)

        async def deliver():
            await self.gate(before)
            try:
                result = await self.lab.log.append(stream, records)
            except BerylcartError as error:
                result = error
            await self.gate(after)
            answers.send_nowait(result)

        self.lab.tasks.start_soon(deliver)
        result = await answer.receive()
        if isinstance(result, BerylcartError):
            raise result
        return result

    async def read(self, stream, offset, *, wait_ms, limit):
        """Pass the gate before and after a read."""
        await self.gate()
        page = await self.lab.log.read(
            stream, offset, wait_ms=wait_ms, limit=limit
        )
        await self.gate()
        return page

    async def collect_from(self, claimant, key_digest, claim_id, workspace):
        """Ask another daemon, which answers unless it is frozen or dead."""
        await self.gate()
        for daemon in self.lab.daemons:
            if daemon.keeper.claimant == claimant:
                await daemon.gate()
                return await daemon.keeper.collect(key_digest, claim_id)
        raise BerylcartError(Code.PEER_UNAVAILABLE, claimant)

    async def call_upstream(self, key, send_id):
        """Run the booking; the effect comes before its reply."""
        await self.gate("before-upstream")
        if self.lab.refusals > 0:
            self.lab.refusals -= 1
            raise UpstreamError(Code.NO_UPSTREAM, "draining", ran=Ran.NO)
        self.lab.witness.append((key, send_id))
        await self.gate("after-upstream")
        if self.lab.lost_replies > 0:
            self.lab.lost_replies -= 1
            raise UpstreamError(
                Code.UPSTREAM_FAILED, "no reply", ran=Ran.UNKNOWN
            )
        return StoredAnswer(Ran.YES, 0, f"booked {key}".encode())

    async def serve(self, key, send_id):
        """Do what a daemon does with one request."""
        try:
            claimed = await self.keeper.claim(key, "w", "booking", b"{}")
            told = await run_once(
                self.keeper, claimed, lambda: self.call_upstream(key, send_id)
            )
        except BerylcartError as error:
            told = error
        await self.gate()
        self.lab.told[send_id] = (key, told)

    def send(self, key):
        """Send a request in the background and return its id."""
        send_id = f"s{len(self.lab.told)}"
        self.lab.told[send_id] = (key, None)
        self.tasks.start_soon(self.serve, key, send_id)
        return send_id


class Lab:
    """Hold the log, the daemons, the witness and what senders were told."""

    def __init__(self, log, settings):
        self.log = log
        self.settings = settings
        self.witness = []
        self.refusals = 0
        self.lost_replies = 0
        self.told = {}
        self.daemons = []
        self.tasks = None

    async def start(self, name, incarnation=1):
        """Start one more daemon."""
        daemon = Daemon(self, name, incarnation)
        self.daemons.append(daemon)
        await self.tasks.start(daemon.run)
        return daemon

    def result(self, send_id):
        """Give what a sender was told, None for no answer."""
        return self.told[send_id][1]

    def check(self):
        """Hold what senders were told against the witness."""
        runs = Counter(key for key, _ in self.witness)
        assert all(count == 1 for count in runs.values()), runs
        ran = {send_id for _, send_id in self.witness}
        for send_id, (key, told) in self.told.items():
            if told is None:
                continue
            if told.ran is Ran.NO:
                assert send_id not in ran, send_id
            if isinstance(told, Found) and told.answer is not None:
                assert told.answer.body == f"booked {key}".encode()


@asynccontextmanager
async def lab(count=3, log=None, settings=SETTINGS):
    """Run daemons d0, d1 and so on for the length of a block."""
    made = Lab(log or MemoryLog(), settings)
    async with anyio.create_task_group() as made.tasks:
        for n in range(count):
            await made.start(f"d{n}")
        await anyio.sleep(1)
        yield made
        made.check()
        made.tasks.cancel_scope.cancel()


def run(scenario, *args):
    """Run a scenario on a clock that jumps over every sleep."""
    return trio.run(scenario, *args, clock=MockClock(autojump_threshold=0))


@pytest.mark.parametrize("delay_ms", [0, 5, 300])
def test_same_key_at_once_to_all_seven(delay_ms):
    async def scenario():
        async with lab(7) as made:
            made.log.delay_ms = delay_ms
            sends = [daemon.send("k") for daemon in made.daemons]
            await anyio.sleep(PAUSE_S)
            assert len(made.witness) == 1
            for send_id in sends:
                assert made.result(send_id).answer.body == b"booked k"

    run(scenario)


@pytest.mark.parametrize("point", POINTS)
def test_killed_claimant(point):
    async def scenario():
        async with lab() as made:
            first, second, third = made.daemons
            first.stop_at = point
            first.send("k")
            await anyio.sleep(1)
            first.kill()
            told = second.send("k")
            await anyio.sleep(PAUSE_S)
            third.send("k")
            again = await made.start("d0", incarnation=2)
            again.send("k")
            await anyio.sleep(PAUSE_S)
            made.check()
            if point == "before-append":
                assert made.result(told).answer is not None
            else:
                assert made.result(told).code is Code.OUTCOME_UNKNOWN
                assert made.result(told).ran is Ran.UNKNOWN

    run(scenario)


@pytest.mark.parametrize("frozen_s", [0.5, 5, 60])
@pytest.mark.parametrize("point", POINTS)
def test_frozen_claimant_wakes(point, frozen_s):
    async def scenario():
        async with lab() as made:
            first, second, third = made.daemons
            first.stop_at = point
            first.send("k")
            await anyio.sleep(0.1)
            sends = [second.send("k")]
            await anyio.sleep(frozen_s)
            sends.append(third.send("k"))
            first.thaw()
            sends.append(first.send("k"))
            await anyio.sleep(PAUSE_S)
            sends.append(second.send("k"))
            await anyio.sleep(PAUSE_S)
            assert len(made.witness) == 1
            assert all(made.result(each) is not None for each in sends)
            last = made.result(sends[-1])
            assert last.answer.body == b"booked k"

    run(scenario)


@pytest.mark.parametrize("settings", [SETTINGS, PATIENT])
@pytest.mark.parametrize("retention_ms", [None, 2 * KEEP_MS])
@pytest.mark.parametrize("point", POINTS)
def test_claimant_frozen_past_the_keys_age_wakes(
    point, retention_ms, settings
):
    async def scenario():
        log = MemoryLog(retention_ms=retention_ms)
        async with lab(log=log, settings=settings) as made:
            first, second, _ = made.daemons
            second.send("warm")
            await anyio.sleep(1)
            key = second.keeper.issue_key()
            first.stop_at = point
            first.send(key)
            await anyio.sleep(0.1)
            second.send(key)
            await anyio.sleep(3 * KEEP_MS / 1000)
            late = second.send(key)
            await anyio.sleep(1)
            first.thaw()
            await anyio.sleep(PAUSE_S)
            first.send(key)
            await anyio.sleep(PAUSE_S)
            assert made.result(late).code is Code.KEY_EXPIRED
            made.check()

    run(scenario)


def test_reader_frozen_across_a_gap_forgets_what_it_cannot_know():
    async def scenario():
        async with lab() as made:
            first, second, _ = made.daemons
            first.is_frozen = True
            second.send("k")
            await anyio.sleep(1)
            second.kill()
            made.log.stream("claims").entries.clear()
            first.thaw()
            await anyio.sleep(1)
            told = first.send("k")
            await anyio.sleep(PAUSE_S)
            assert len(made.witness) == 1
            assert made.result(told).code is Code.CLAIMS_UNAVAILABLE

    run(scenario)


def test_log_that_lost_its_stream_lets_no_old_key_through():
    async def scenario():
        async with lab() as made:
            first, second, _ = made.daemons
            for n in range(5):
                first.send(f"k{n}")
            await anyio.sleep(1)
            dated = second.keeper.issue_key()
            made.log.streams.clear()
            await anyio.sleep(PAUSE_S)
            first.kill()
            told = [second.send("k1"), second.send(dated)]
            await anyio.sleep(PAUSE_S)
            assert len(made.witness) == 5
            for send_id in told:
                code = made.result(send_id).code
                assert code is Code.CLAIMS_UNAVAILABLE
            await anyio.sleep(KEEP_MS / 4000)
            fresh = second.send(second.keeper.issue_key())
            await anyio.sleep(PAUSE_S)
            assert made.result(fresh).answer is not None

    run(scenario)


def test_restart_under_the_same_incarnation_runs_nothing_again():
    async def scenario():
        async with lab() as made:
            first, second, _ = made.daemons
            first.send("k")
            await anyio.sleep(1)
            first.kill()
            again = await made.start("d0", incarnation=1)
            told = [again.send("other"), again.send("k"), second.send("k")]
            await anyio.sleep(PAUSE_S)
            assert made.result(told[0]).answer.body == b"booked other"
            assert made.result(told[1]) == made.result(told[2])
            assert made.result(told[1]).ran is Ran.YES
            assert len(made.witness) == 2

    run(scenario)


def test_outcome_reaches_the_log_after_an_outage():
    async def scenario():
        async with lab() as made:
            first, second, _ = made.daemons
            first.stop_at = "before-outcome"
            first.send("k")
            await anyio.sleep(1)
            made.log.is_down = True
            first.thaw()
            await anyio.sleep(PAUSE_S)
            made.log.is_down = False
            await first.keeper.flush()
            first.kill()
            await anyio.sleep(1)
            told = second.send("k")
            await anyio.sleep(PAUSE_S)
            assert made.result(told) == Found(Ran.YES, 0, None)

    run(scenario)


def test_reader_restarted_after_expiry_lets_no_old_key_through():
    async def scenario():
        log = MemoryLog(retention_ms=2 * KEEP_MS)
        async with lab(log=log) as made:
            for daemon in made.daemons:
                daemon.send("warm")
            await anyio.sleep(1)
            key = made.daemons[0].keeper.issue_key()
            made.daemons[0].send(key)
            made.daemons[0].send("plain")
            await anyio.sleep(1)
            for daemon in list(made.daemons):
                daemon.kill()
            log.stream("claims").entries.clear()
            late = await made.start("d9")
            await anyio.sleep(KEEP_MS / 4000)
            sends = [late.send(key), late.send("plain")]
            await anyio.sleep(PAUSE_S)
            for send_id in sends:
                code = made.result(send_id).code
                assert code is Code.CLAIMS_UNAVAILABLE
            await anyio.sleep(KEEP_MS / 4000)
            fresh = late.keeper.issue_key()
            sent = late.send(fresh)
            await anyio.sleep(PAUSE_S)
            assert made.result(sent).answer is not None

    run(scenario)


def test_lost_append_answers():
    async def scenario():
        async with lab() as made:
            for n in range(9):
                made.log.lost_answers = 1
                sent = made.daemons[n % 3].send(f"k{n}")
                made.daemons[(n + 1) % 3].send(f"k{n}")
                await anyio.sleep(PAUSE_S)
                assert made.result(sent).answer is not None
            assert len(made.witness) == 9
            stream = made.log.stream("claims")
            claims = [e for e in stream.entries if isinstance(e.record, Claim)]
            assert len(claims) == len({e.record.claim_id for e in claims})

    run(scenario)


def test_copied_claim_record_frees_nothing():
    async def scenario():
        async with lab() as made:
            first, second, _ = made.daemons
            first.send("k")
            await anyio.sleep(1)
            stream = made.log.stream("claims")
            copy = next(
                each.record
                for each in stream.entries
                if isinstance(each.record, Claim)
            )
            await made.log.append("claims", [copy])
            await anyio.sleep(1)
            for daemon in made.daemons:
                daemon.keeper.own.answers.kept.clear()
            second.send("k")
            first.send("k")
            await anyio.sleep(PAUSE_S)
            assert len(made.witness) == 1

    run(scenario)


def test_outage_slowness_and_recovery():
    async def scenario():
        async with lab() as made:
            first, second, _ = made.daemons
            made.log.delay_ms = 1500
            slow = [first.send("a"), second.send("a")]
            await anyio.sleep(PAUSE_S)
            made.log.is_down = True
            down = [first.send("b"), second.send("b")]
            await anyio.sleep(PAUSE_S)
            for send_id in down:
                assert made.result(send_id).code is Code.CLAIMS_UNAVAILABLE
                assert made.result(send_id).ran is Ran.NO
            made.log.delay_ms = 0
            made.log.is_down = False
            await anyio.sleep(PAUSE_S)
            sends = [second.send("a"), first.send("b")]
            await anyio.sleep(PAUSE_S)
            assert all(made.result(each) is not None for each in slow)
            assert all(made.result(each).answer for each in sends)

    run(scenario)


def test_reply_lost_after_its_effect_is_never_run_again():
    async def scenario():
        async with lab() as made:
            first, second, _ = made.daemons
            made.lost_replies = 1
            lost = first.send("k")
            await anyio.sleep(1)
            told = [second.send("k"), first.send("k")]
            await anyio.sleep(PAUSE_S)
            assert len(made.witness) == 1
            for send_id in (lost, *told):
                assert made.result(send_id).ran is Ran.UNKNOWN

    run(scenario)


def test_refused_by_the_upstream_may_run_later():
    async def scenario():
        async with lab() as made:
            first, second, _ = made.daemons
            made.refusals = 1
            refused = first.send("k")
            await anyio.sleep(1)
            assert made.result(refused).ran is Ran.NO
            told = second.send("k")
            await anyio.sleep(PAUSE_S)
            assert made.result(told).answer.body == b"booked k"

    run(scenario)


async def disturb(made, rng):
    """Do one random thing to the daemons, the log or the upstream."""
    daemon = rng.choice(made.daemons)
    action = rng.randrange(10)
    if action < 3:
        daemon.stop_at = rng.choice(POINTS)
    elif action < 5:
        daemon.thaw()
    elif action == 5 and len(made.daemons) > 2:
        daemon.kill()
        await made.start(f"d{rng.randrange(99)}", rng.randrange(1 << 30))
    elif action == 6:
        made.log.is_down = not made.log.is_down
    elif action == 7:
        made.log.lost_answers += 1
    elif action == 8:
        made.log.delay_ms = rng.choice([0, 5, 100, 1900, 2500])
    else:
        made.lost_replies += rng.randrange(2)
        made.refusals += rng.randrange(2)


@pytest.mark.parametrize("seed", range(60))
def test_random_faults(seed):
    async def scenario():
        rng = random.Random(seed)
        async with lab(rng.randint(3, 7)) as made:
            for _ in range(60):
                for _ in range(rng.randrange(4)):
                    rng.choice(made.daemons).send(f"k{rng.randrange(8)}")
                await anyio.sleep(rng.choice([0, 0.001, 0.01, 0.5, 3]))
                await disturb(made, rng)
                made.check()
            heal(made)
            await anyio.sleep(3 * PAUSE_S)
            sends = [
                daemon.send(f"k{n}")
                for daemon in made.daemons
                for n in range(8)
            ]
            await anyio.sleep(3 * PAUSE_S)
            assert all(made.result(each) is not None for each in sends)

    run(scenario)


def expire_early(made, rng):
    """Drop some records sooner than the log should."""
    entries = made.log.stream("claims").entries
    for _ in range(rng.randrange(len(entries) + 1)):
        entries.popleft()


def heal(made):
    """End every failure."""
    made.log.is_down = False
    made.log.delay_ms = 0
    made.log.lost_answers = 0
    made.refusals = 0
    made.lost_replies = 0
    for daemon in made.daemons:
        daemon.stop_at = ""
        daemon.thaw()


@pytest.mark.parametrize("seed", range(12))
def test_random_faults_across_expiry_with_dated_keys(seed):
    async def scenario():
        rng = random.Random(seed)
        log = MemoryLog(retention_ms=2 * KEEP_MS)
        settings = rng.choice([SETTINGS, PATIENT])
        async with lab(rng.randint(3, 5), log, settings) as made:
            keys = []
            for _ in range(40):
                keys.append(rng.choice(made.daemons).keeper.issue_key())
                for _ in range(rng.randrange(6)):
                    key = rng.choice(keys[-6:])
                    rng.choice(made.daemons).send(key)
                pause_s = rng.choice([0.001, 0.5, 3, KEEP_MS / 4000])
                await anyio.sleep(pause_s)
                await disturb(made, rng)
                made.log.is_down &= rng.randrange(2) == 0
                if rng.randrange(12) == 0:
                    expire_early(made, rng)
                made.check()
            heal(made)
            await anyio.sleep(KEEP_MS / 2000)
            key = made.daemons[0].keeper.issue_key()
            sends = [daemon.send(key) for daemon in made.daemons]
            await anyio.sleep(3 * PAUSE_S)
            assert all(made.result(each).answer for each in sends)

    run(scenario)
