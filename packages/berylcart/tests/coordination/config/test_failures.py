"""Inject faults into the log and the daemons and check the configuration.

Every scenario is seeded. On every change of state, the fleet checks that no
follower's version decreases and that no two followers hold different texts for
the same version.
"""

import random
from contextlib import asynccontextmanager

import anyio
import pytest
import trio
from berylcart.coordination.config.follower import ConfigFollower
from berylcart.coordination.config.recovery import find_start
from berylcart.state.config_text import MAX_TEXT_BYTES
from berylcart.state.errors import (
    BerylcartError,
    Code,
    LogAmbiguousError,
    LogUnavailableError,
)
from berylcart.state.records import CONFIG_STREAM, Checkpoint, Publication
from berylcart.transport.memory_log import MemoryLog
from trio.testing import MockClock

TEXT = 'format = 1\n[place.a]\nregion = "r{}"\n'
RETENTION_S = 60.0
LEASE_S = 10.0
GOSSIP_INTERVAL_S = 1.0
PROPAGATION_S = 2.0
SCENARIO_TIMEOUT_S = 7200.0


def run(scenario, seed=1):
    """Run a scenario with a seeded schedule on a clock that skips sleeps."""
    trio._core._run._ALLOW_DETERMINISTIC_SCHEDULING = True
    trio._core._run._r.seed(seed)
    random.seed(seed)

    async def run_bounded():
        with anyio.fail_after(SCENARIO_TIMEOUT_S):
            await scenario()

    trio.run(run_bounded, clock=MockClock(autojump_threshold=0))


class FrozenLog:
    """Delay the calls of a log while the simulated process is frozen."""

    def __init__(self, log):
        self.log = log
        self.thawed = anyio.Event()
        self.thawed.set()

    async def append(self, stream, records):
        """Append as soon as the process runs."""
        await self.wait()
        return await self.log.append(stream, records)

    async def read(self, stream, offset, *, wait_ms, limit):
        """Read, and delay the reply until the process runs."""
        await self.wait()
        page = await self.log.read(
            stream, offset, wait_ms=wait_ms, limit=limit
        )
        await self.wait()
        return page

    async def wait(self):
        """Wait until the process runs; timeouts are frozen with it."""
        with anyio.CancelScope(shield=True):
            await self.thawed.wait()


class RecordingFollower(ConfigFollower):
    """Record every version that becomes active."""

    def __init__(self, log, fleet, name, seed):
        super().__init__(
            log, lease_s=LEASE_S, retention_s=RETENTION_S, seed=seed
        )
        self.fleet = fleet
        self.name = name
        self.history = []

    def _set_state(self, state, source):
        super()._set_state(state, source)
        self.fleet.note(self, state)


class Fleet:
    """Run followers that share a log and exchange checkpoints."""

    def __init__(self, tasks, log, seed):
        self.tasks = tasks
        self.log = log
        self.rng = random.Random(seed)
        self.members = {}
        self.texts = {}
        self.isolated = set()
        self.started = 0

    def note(self, follower, state):
        """Check that versions never decrease and texts agree."""
        last = follower.history[-1] if follower.history else 0
        assert state.version >= last, (
            f"{follower.name}: version decreased from {last}"
        )
        follower.history.append(state.version)
        text = self.texts.setdefault(state.version, state.text)
        assert text == state.text, f"version {state.version} has two texts"

    def start(self):
        """Start another follower."""
        self.started += 1
        name = f"d{self.started}"
        log = FrozenLog(self.log)
        follower = RecordingFollower(log, self, name, self.rng.random())
        scope = anyio.CancelScope()
        self.members[name] = (follower, log, scope)
        self.tasks.start_soon(self.run_follower, follower, scope)
        return follower

    async def run_follower(self, follower, scope):
        """Run a follower and its gossip until stopped."""
        with scope:
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(follower.run)
                while True:
                    await anyio.sleep(GOSSIP_INTERVAL_S)
                    await self.gossip(follower)

    async def gossip(self, follower):
        """Exchange freshness and checkpoints with reachable peers."""
        if self.is_frozen(follower.name) or follower.name in self.isolated:
            return
        for name, (peer, _, _) in tuple(self.members.items()):
            is_reachable = name not in self.isolated and not self.is_frozen(
                name
            )
            if peer is follower or not is_reachable:
                continue
            freshness = peer.freshness()
            if freshness.as_of_offset > follower.current.as_of_offset:
                follower.offer(peer.checkpoint())
            follower.record_peer_freshness(
                name,
                freshness.as_of_offset,
                freshness.age_ms,
                len(self.members),
                asked_at_s=anyio.current_time(),
            )

    def is_frozen(self, name):
        """Return whether a follower's process is frozen."""
        return not self.members[name][1].thawed.is_set()

    def freeze(self, follower):
        """Freeze a follower's process."""
        if not self.is_frozen(follower.name):
            self.members[follower.name][1].thawed = anyio.Event()

    def thaw(self, follower):
        """Resume a frozen process."""
        self.members[follower.name][1].thawed.set()

    def stop(self, follower):
        """Stop and remove a follower."""
        _, log, scope = self.members.pop(follower.name)
        log.thawed.set()
        scope.cancel()

    @property
    def followers(self):
        """Return the running followers, including frozen ones."""
        return [member[0] for member in self.members.values()]

    async def publish(self, number, base=None):
        """Publish a text, retrying with the same id until confirmed."""
        record = Publication(f"p{number}", base, 1, TEXT.format(number))
        while True:
            try:
                return await self.log.append(CONFIG_STREAM, [record])
            except (LogAmbiguousError, LogUnavailableError):
                await anyio.sleep(self.rng.uniform(0.01, 0.5))

    async def settle(self, version):
        """Wait until every follower has a version or a later one."""
        with anyio.fail_after(PROPAGATION_S):
            for follower in self.followers:
                await follower.wait_for(version)


@asynccontextmanager
async def running_fleet(count=7, seed=1, retention_s=RETENTION_S):
    """Run a fleet inside a with block."""
    log = MemoryLog(retention_ms=int(retention_s * 1000))
    async with anyio.create_task_group() as tasks:
        fleet = Fleet(tasks, log, seed)
        for _ in range(count):
            fleet.start()
        try:
            yield fleet
        finally:
            for follower in fleet.followers:
                fleet.stop(follower)


@pytest.mark.parametrize("seed", range(1, 6))
def test_concurrent_publications_get_one_history(seed):
    async def operate(fleet, number, rng):
        for turn in range(20):
            await anyio.sleep(rng.uniform(0, 0.2))
            base = rng.choice(fleet.followers).current.version
            await fleet.publish(f"{number}-{turn}", base)

    async def scenario():
        async with running_fleet(seed=seed) as fleet:
            fleet.log.lost_append_responses = 10
            fleet.log.delay_ms = 20
            async with anyio.create_task_group() as operators:
                for number in range(5):
                    rng = random.Random(seed * 10 + number)
                    operators.start_soon(operate, fleet, number, rng)
            await anyio.sleep(PROPAGATION_S)
            entries = fleet.log.stream(CONFIG_STREAM).entries
            bases = {
                entry.record.publish_id: entry.record.base_version
                for entry in entries
                if isinstance(entry.record, Publication)
            }
            assert len(bases) == 100
            first, *others = fleet.followers
            assert all(each.verdicts == first.verdicts for each in others)
            accepted = [each for each in first.verdicts if each.version]
            assert 0 < len(accepted) < 100
            for number, verdict in enumerate(accepted):
                assert verdict.version == number + 1
                assert bases[verdict.publish_id] == number

    run(scenario, seed)


def test_publication_with_a_lost_reply_takes_effect_once():
    async def scenario():
        async with running_fleet() as fleet:
            fleet.log.lost_append_responses = 1
            record = Publication("p1", None, 1, TEXT.format(1))
            with pytest.raises(LogAmbiguousError):
                await fleet.log.append(CONFIG_STREAM, [record])
            await fleet.publish(2)
            await fleet.log.append(CONFIG_STREAM, [record])
            await fleet.settle(2)
            await anyio.sleep(PROPAGATION_S)
            for follower in fleet.followers:
                assert follower.current.version == 2
                assert (
                    follower.current.configuration.places["a"].region == "r2"
                )
                assert follower.verdict("p1").version == 1

    run(scenario)


def test_log_outage_outlasts_the_lease():
    async def scenario():
        async with running_fleet(retention_s=1000) as fleet:
            await fleet.publish(1)
            await fleet.settle(1)
            fleet.log.is_down = True
            alone, *others = fleet.followers
            fleet.isolated.add(alone.name)
            await anyio.sleep(300)
            assert all(follower.is_current for follower in others)
            assert alone.is_ready
            assert not alone.is_current
            fleet.log.is_down = False
            await fleet.publish(2)
            await anyio.sleep(PROPAGATION_S * 2)
            assert all(each.current.version == 2 for each in fleet.followers)
            assert alone.is_current

    run(scenario)


def test_lease_needs_a_majority_during_a_log_outage():
    async def scenario():
        async with running_fleet() as fleet:
            await fleet.publish(1)
            await fleet.settle(1)
            fleet.log.is_down = True
            for follower in fleet.followers[:4]:
                fleet.freeze(follower)
            await anyio.sleep(LEASE_S * 2)
            assert not any(each.is_current for each in fleet.followers[4:])
            for follower in fleet.followers[:1]:
                fleet.thaw(follower)
            await anyio.sleep(LEASE_S)
            assert all(each.is_current for each in fleet.followers[4:])

    run(scenario)


def test_new_follower_starts_from_a_checkpoint_after_expiry():
    async def scenario():
        async with running_fleet() as fleet:
            await fleet.publish(1)
            await fleet.settle(1)
            await anyio.sleep(RETENTION_S * 10)
            stream = fleet.log.stream(CONFIG_STREAM)
            assert stream.start_offset > 1
            for follower in fleet.followers:
                fleet.isolated.add(follower.name)
            newcomer = fleet.start()
            fleet.isolated.add(newcomer.name)
            with anyio.fail_after(PROPAGATION_S):
                await newcomer.wait_for(1)
            assert newcomer.verdict("p1").version == 1

    run(scenario)


@pytest.mark.parametrize("seed", range(1, 4))
def test_follower_resumes_after_the_log_has_expired(seed):
    async def scenario():
        async with running_fleet(seed=seed) as fleet:
            await fleet.publish(1)
            await fleet.settle(1)
            frozen = fleet.followers[0]
            fleet.freeze(frozen)
            await anyio.sleep(RETENTION_S * 3)
            await fleet.publish(2)
            await anyio.sleep(RETENTION_S * 3)
            fleet.thaw(frozen)
            assert not frozen.is_current
            await fleet.settle(2)
            await fleet.publish(3, base=2)
            await fleet.settle(3)

    run(scenario, seed)


def test_stale_and_forged_checkpoints_are_ignored():
    async def scenario():
        async with running_fleet(count=3) as fleet:
            await fleet.publish(1)
            await fleet.settle(1)
            stale = fleet.followers[0].checkpoint()
            await fleet.publish(2)
            await fleet.settle(2)
            await fleet.log.append(CONFIG_STREAM, [stale])
            forged = stale._replace(as_of_offset=3, version=0)
            await fleet.log.append(CONFIG_STREAM, [forged])
            newcomer = fleet.start()
            fleet.isolated.add(newcomer.name)
            await anyio.sleep(RETENTION_S * 3)
            assert newcomer.current.version == 2
            assert all(each.current.version == 2 for each in fleet.followers)

    run(scenario)


@pytest.mark.parametrize("pause_s", [1, 2, 7, 45])
def test_configuration_survives_replacement_of_all_daemons(pause_s):
    async def scenario():
        async with running_fleet() as fleet:
            await fleet.publish(1)
            await fleet.settle(1)
            while anyio.current_time() < RETENTION_S * 6:
                fleet.stop(fleet.followers[0])
                await anyio.sleep(pause_s)
                fleet.start()
                assert await find_start(fleet.log) is not None
            for follower in fleet.followers:
                fleet.stop(follower)
            newcomer = fleet.start()
            with anyio.fail_after(PROPAGATION_S):
                await newcomer.wait_for(1)

    run(scenario)


def test_follower_started_during_a_log_outage():
    async def scenario():
        async with running_fleet() as fleet:
            await fleet.publish(1)
            await fleet.settle(1)
            fleet.log.is_down = True
            fleet.stop(fleet.followers[0])
            newcomer = fleet.start()
            assert not newcomer.is_ready
            await anyio.sleep(LEASE_S * 2)
            assert newcomer.is_current
            alone = fleet.start()
            fleet.isolated.add(alone.name)
            await anyio.sleep(RETENTION_S * 2)
            assert not alone.is_ready
            with pytest.raises(BerylcartError) as caught:
                alone.check_current()
            assert caught.value.code is Code.NOT_READY
            fleet.log.is_down = False
            await anyio.sleep(PROPAGATION_S * 2)
            await fleet.publish(2, base=1)
            await anyio.sleep(RETENTION_S)
            assert all(each.current.version == 2 for each in fleet.followers)

    run(scenario)


@pytest.mark.parametrize(
    "text",
    [
        "",
        "format = 1\n[place.a]\n",
        "\x00\ud800",
        "format = 1\n#" + "x" * MAX_TEXT_BYTES,
    ],
)
def test_invalid_and_huge_texts_are_rejected_by_all(text):
    async def scenario():
        async with running_fleet() as fleet:
            await fleet.publish(1)
            record = Publication("bad", None, 1, text)
            await fleet.log.append(CONFIG_STREAM, [record])
            await fleet.publish(2, base=1)
            await fleet.settle(2)
            for follower in fleet.followers:
                verdict = follower.verdict("bad")
                assert verdict.version is None
                assert len(verdict.reason) < 1000
                assert follower.is_current

    run(scenario)


def test_unreadable_record_is_skipped_by_all():
    async def scenario():
        async with running_fleet() as fleet:
            await fleet.publish(1)
            await fleet.log.append(CONFIG_STREAM, [None])
            await fleet.publish(2, base=1)
            await fleet.settle(2)

    run(scenario)


def test_unknown_format_blocks_followers_until_superseded():
    async def scenario():
        async with running_fleet() as fleet:
            await fleet.publish(1)
            await fleet.settle(1)
            record = Publication("p9", None, 9, "?")
            await fleet.log.append(CONFIG_STREAM, [record])
            await fleet.publish(2)
            await anyio.sleep(PROPAGATION_S)
            for follower in fleet.followers:
                assert follower.current.version == 1
                with pytest.raises(BerylcartError) as caught:
                    follower.check_current()
                assert caught.value.code is Code.FORMAT_UNKNOWN
            end = fleet.log.stream(CONFIG_STREAM).end_offset
            newer = Checkpoint(end, 3, 1, TEXT.format(2), ())
            await fleet.log.append(CONFIG_STREAM, [newer])
            await anyio.sleep(PROPAGATION_S * 2)
            assert all(each.is_current for each in fleet.followers)
            assert all(each.current.version == 3 for each in fleet.followers)

    run(scenario)


FAULTS = ("publish", "freeze", "thaw", "replace", "outage", "cut", "lose")


async def inject_fault(fleet, action, turn):
    """Inject one fault or action of the platform or an operator."""
    rng = fleet.rng
    follower = rng.choice(fleet.followers)
    if action == "publish":
        base = rng.choice([None, follower.current.version])
        with anyio.move_on_after(5):
            await fleet.publish(turn, base)
    elif action == "freeze" and len(fleet.followers) > 2:
        fleet.freeze(follower)
    elif action == "thaw":
        fleet.thaw(follower)
    elif action == "replace":
        fleet.stop(follower)
        fleet.start()
    elif action == "outage":
        fleet.log.is_down = not fleet.log.is_down
    elif action == "cut":
        fleet.isolated ^= {follower.name}
    elif action == "lose":
        fleet.log.lost_append_responses += 1


@pytest.mark.parametrize("seed", range(1, 9))
def test_random_faults_never_revert_the_version(seed):
    async def scenario():
        async with running_fleet(seed=seed) as fleet:
            await fleet.publish("first")
            await fleet.settle(1)
            for turn in range(60):
                await inject_fault(fleet, fleet.rng.choice(FAULTS), turn)
                await anyio.sleep(fleet.rng.uniform(0, 20))
            fleet.log.is_down = False
            fleet.isolated.clear()
            for follower in fleet.followers:
                fleet.thaw(follower)
            await anyio.sleep(PROPAGATION_S * 5)
            newest = max(fleet.texts)
            await fleet.publish("last")
            await anyio.sleep(PROPAGATION_S * 2)
            for follower in fleet.followers:
                assert follower.is_current
                assert follower.current.version == newest + 1

    run(scenario, seed)
