"""Break the log and the daemons and check the configuration's promises.

Every scenario is seeded; the fleet checks after each that no keeper went
back and that no two keepers held different texts as one version.
"""

import random
from contextlib import asynccontextmanager

import anyio
import pytest
import trio
from berylcart.coordination.config.keeper import ConfigKeeper
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
GOSSIP_S = 1.0
SPREAD_S = 2.0
SCENARIO_S = 7200.0


def run(scenario, seed=1):
    """Run a scenario with its schedule seeded and its sleeps skipped."""
    trio._core._run._ALLOW_DETERMINISTIC_SCHEDULING = True
    trio._core._run._r.seed(seed)
    random.seed(seed)

    async def run_bounded():
        with anyio.fail_after(SCENARIO_S):
            await scenario()

    trio.run(run_bounded, clock=MockClock(autojump_threshold=0))


class FrozenLog:
    """Hold back the answers of a log while the process is frozen."""

    def __init__(self, log):
        self.log = log
        self.thawed = anyio.Event()
        self.thawed.set()

    async def append(self, stream, records):
        """Append once the process runs."""
        await self.wait()
        return await self.log.append(stream, records)

    async def read(self, stream, offset, *, wait_ms, limit):
        """Read, and hold the answer back until the process runs."""
        await self.wait()
        page = await self.log.read(
            stream, offset, wait_ms=wait_ms, limit=limit
        )
        await self.wait()
        return page

    async def wait(self):
        """Wait for the process to run; a frozen one has no timeouts."""
        with anyio.CancelScope(shield=True):
            await self.thawed.wait()


class RecordingKeeper(ConfigKeeper):
    """Record every version that comes into force."""

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
    """Run keepers on one log and let them gossip."""

    def __init__(self, tasks, log, seed):
        self.tasks = tasks
        self.log = log
        self.source = random.Random(seed)
        self.members = {}
        self.texts = {}
        self.cut = set()
        self.started = 0

    def note(self, keeper, state):
        """Check that a keeper only rises and agrees with all others."""
        last = keeper.history[-1] if keeper.history else 0
        assert state.version >= last, f"{keeper.name} went back"
        keeper.history.append(state.version)
        text = self.texts.setdefault(state.version, state.text)
        assert text == state.text, f"two texts are version {state.version}"

    def start(self):
        """Start one more keeper."""
        self.started += 1
        name = f"d{self.started}"
        log = FrozenLog(self.log)
        keeper = RecordingKeeper(log, self, name, self.source.random())
        scope = anyio.CancelScope()
        self.members[name] = (keeper, log, scope)
        self.tasks.start_soon(self.live, keeper, scope)
        return keeper

    async def live(self, keeper, scope):
        """Follow the log and gossip until stopped."""
        with scope:
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(keeper.run)
                while True:
                    await anyio.sleep(GOSSIP_S)
                    await self.gossip(keeper)

    async def gossip(self, keeper):
        """Ask every reachable peer what it has."""
        if self.is_frozen(keeper.name) or keeper.name in self.cut:
            return
        for name, (peer, _, _) in tuple(self.members.items()):
            is_reachable = name not in self.cut and not self.is_frozen(name)
            if peer is keeper or not is_reachable:
                continue
            fresh = peer.freshness()
            if fresh.as_of_offset > keeper.current.as_of_offset:
                keeper.offer(peer.checkpoint())
            keeper.heard_freshness(
                name,
                fresh.as_of_offset,
                fresh.age_ms,
                len(self.members),
                asked_at_s=anyio.current_time(),
            )

    def is_frozen(self, name):
        """Say whether a keeper's process is frozen."""
        return not self.members[name][1].thawed.is_set()

    def freeze(self, keeper):
        """Freeze a keeper's process."""
        if not self.is_frozen(keeper.name):
            self.members[keeper.name][1].thawed = anyio.Event()

    def thaw(self, keeper):
        """Let a frozen process run on."""
        self.members[keeper.name][1].thawed.set()

    def stop(self, keeper):
        """Stop a keeper for good."""
        _, log, scope = self.members.pop(keeper.name)
        log.thawed.set()
        scope.cancel()

    @property
    def keepers(self):
        """List the keepers that run."""
        return [member[0] for member in self.members.values()]

    async def publish(self, number, base=None):
        """Publish a text, repeating it under one id until confirmed."""
        record = Publication(f"p{number}", base, 1, TEXT.format(number))
        while True:
            try:
                return await self.log.append(CONFIG_STREAM, [record])
            except (LogAmbiguousError, LogUnavailableError):
                await anyio.sleep(self.source.uniform(0.01, 0.5))

    async def settle(self, version):
        """Wait until every keeper has a version."""
        with anyio.fail_after(SPREAD_S):
            for keeper in self.keepers:
                await keeper.wait_for(version)


@asynccontextmanager
async def fleet(count=7, seed=1, retention_s=RETENTION_S):
    """Run a fleet for the length of a block."""
    log = MemoryLog(retention_ms=int(retention_s * 1000))
    async with anyio.create_task_group() as tasks:
        made = Fleet(tasks, log, seed)
        for _ in range(count):
            made.start()
        try:
            yield made
        finally:
            for keeper in made.keepers:
                made.stop(keeper)


@pytest.mark.parametrize("seed", range(1, 6))
def test_racing_operators_get_one_history(seed):
    async def operate(made, number, source):
        for turn in range(20):
            await anyio.sleep(source.uniform(0, 0.2))
            base = source.choice(made.keepers).current.version
            await made.publish(f"{number}-{turn}", base)

    async def scenario():
        async with fleet(seed=seed) as made:
            made.log.lost_answers = 10
            made.log.delay_ms = 20
            async with anyio.create_task_group() as operators:
                for number in range(5):
                    source = random.Random(seed * 10 + number)
                    operators.start_soon(operate, made, number, source)
            await anyio.sleep(SPREAD_S)
            entries = made.log.stream(CONFIG_STREAM).entries
            bases = {
                entry.record.publish_id: entry.record.base_version
                for entry in entries
                if isinstance(entry.record, Publication)
            }
            assert len(bases) == 100
            first, *others = made.keepers
            assert all(each.verdicts == first.verdicts for each in others)
            accepted = [each for each in first.verdicts if each.version]
            assert 0 < len(accepted) < 100
            for number, verdict in enumerate(accepted):
                assert verdict.version == number + 1
                assert bases[verdict.publish_id] == number

    run(scenario, seed)


def test_lost_append_answer_takes_effect_once():
    async def scenario():
        async with fleet() as made:
            made.log.lost_answers = 1
            record = Publication("p1", None, 1, TEXT.format(1))
            with pytest.raises(LogAmbiguousError):
                await made.log.append(CONFIG_STREAM, [record])
            await made.publish(2)
            await made.log.append(CONFIG_STREAM, [record])
            await made.settle(2)
            await anyio.sleep(SPREAD_S)
            for keeper in made.keepers:
                assert keeper.current.version == 2
                assert keeper.current.configuration.places["a"].region == "r2"
                assert keeper.verdict("p1").version == 1

    run(scenario)


def test_log_outage_of_minutes():
    async def scenario():
        async with fleet(retention_s=1000) as made:
            await made.publish(1)
            await made.settle(1)
            made.log.is_down = True
            alone, *others = made.keepers
            made.cut.add(alone.name)
            await anyio.sleep(300)
            assert all(keeper.is_current for keeper in others)
            assert alone.is_ready
            assert not alone.is_current
            made.log.is_down = False
            await made.publish(2)
            await anyio.sleep(SPREAD_S * 2)
            assert all(each.current.version == 2 for each in made.keepers)
            assert alone.is_current

    run(scenario)


def test_minority_of_an_outage_stops_and_majority_goes_on():
    async def scenario():
        async with fleet() as made:
            await made.publish(1)
            await made.settle(1)
            made.log.is_down = True
            for keeper in made.keepers[:4]:
                made.freeze(keeper)
            await anyio.sleep(LEASE_S * 2)
            assert not any(each.is_current for each in made.keepers[4:])
            for keeper in made.keepers[:1]:
                made.thaw(keeper)
            await anyio.sleep(LEASE_S)
            assert all(each.is_current for each in made.keepers[4:])

    run(scenario)


def test_every_original_record_expires():
    async def scenario():
        async with fleet() as made:
            await made.publish(1)
            await made.settle(1)
            await anyio.sleep(RETENTION_S * 10)
            stream = made.log.stream(CONFIG_STREAM)
            assert stream.start_offset > 1
            for keeper in made.keepers:
                made.cut.add(keeper.name)
            newcomer = made.start()
            made.cut.add(newcomer.name)
            with anyio.fail_after(SPREAD_S):
                await newcomer.wait_for(1)
            assert newcomer.verdict("p1").version == 1

    run(scenario)


@pytest.mark.parametrize("seed", range(1, 4))
def test_keeper_frozen_past_retention_wakes(seed):
    async def scenario():
        async with fleet(seed=seed) as made:
            await made.publish(1)
            await made.settle(1)
            frozen = made.keepers[0]
            made.freeze(frozen)
            await anyio.sleep(RETENTION_S * 3)
            await made.publish(2)
            await anyio.sleep(RETENTION_S * 3)
            made.thaw(frozen)
            assert not frozen.is_current
            await made.settle(2)
            await made.publish(3, base=2)
            await made.settle(3)

    run(scenario, seed)


def test_stale_checkpoint_of_a_woken_keeper_changes_nothing():
    async def scenario():
        async with fleet(count=3) as made:
            await made.publish(1)
            await made.settle(1)
            stale = made.keepers[0].checkpoint()
            await made.publish(2)
            await made.settle(2)
            await made.log.append(CONFIG_STREAM, [stale])
            forged = stale._replace(as_of_offset=3, version=0)
            await made.log.append(CONFIG_STREAM, [forged])
            newcomer = made.start()
            made.cut.add(newcomer.name)
            await anyio.sleep(RETENTION_S * 3)
            assert newcomer.current.version == 2
            assert all(each.current.version == 2 for each in made.keepers)

    run(scenario)


@pytest.mark.parametrize("pause_s", [1, 2, 7, 45])
def test_all_seven_are_replaced_again_and_again(pause_s):
    async def scenario():
        async with fleet() as made:
            await made.publish(1)
            await made.settle(1)
            while anyio.current_time() < RETENTION_S * 6:
                made.stop(made.keepers[0])
                await anyio.sleep(pause_s)
                made.start()
                assert await find_start(made.log) is not None
            for keeper in made.keepers:
                made.stop(keeper)
            newcomer = made.start()
            with anyio.fail_after(SPREAD_S):
                await newcomer.wait_for(1)

    run(scenario)


def test_keeper_replaced_during_an_outage():
    async def scenario():
        async with fleet() as made:
            await made.publish(1)
            await made.settle(1)
            made.log.is_down = True
            made.stop(made.keepers[0])
            newcomer = made.start()
            assert not newcomer.is_ready
            await anyio.sleep(LEASE_S * 2)
            assert newcomer.is_current
            alone = made.start()
            made.cut.add(alone.name)
            await anyio.sleep(RETENTION_S * 2)
            assert not alone.is_ready
            with pytest.raises(BerylcartError) as caught:
                alone.check_current()
            assert caught.value.code is Code.NOT_READY
            made.log.is_down = False
            await anyio.sleep(SPREAD_S * 2)
            await made.publish(2, base=1)
            await anyio.sleep(RETENTION_S)
            assert all(each.current.version == 2 for each in made.keepers)

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
def test_invalid_and_huge_texts_are_rejected_alike(text):
    async def scenario():
        async with fleet() as made:
            await made.publish(1)
            record = Publication("bad", None, 1, text)
            await made.log.append(CONFIG_STREAM, [record])
            await made.publish(2, base=1)
            await made.settle(2)
            for keeper in made.keepers:
                verdict = keeper.verdict("bad")
                assert verdict.version is None
                assert len(verdict.reason) < 1000
                assert keeper.is_current

    run(scenario)


def test_unreadable_record_is_passed_over_alike():
    async def scenario():
        async with fleet() as made:
            await made.publish(1)
            await made.log.append(CONFIG_STREAM, [None])
            await made.publish(2, base=1)
            await made.settle(2)

    run(scenario)


def test_unknown_format_stops_every_keeper_until_it_is_superseded():
    async def scenario():
        async with fleet() as made:
            await made.publish(1)
            await made.settle(1)
            record = Publication("p9", None, 9, "?")
            await made.log.append(CONFIG_STREAM, [record])
            await made.publish(2)
            await anyio.sleep(SPREAD_S)
            for keeper in made.keepers:
                assert keeper.current.version == 1
                with pytest.raises(BerylcartError) as caught:
                    keeper.check_current()
                assert caught.value.code is Code.FORMAT_UNKNOWN
            end = made.log.stream(CONFIG_STREAM).end_offset
            newer = Checkpoint(end, 3, 1, TEXT.format(2), ())
            await made.log.append(CONFIG_STREAM, [newer])
            await anyio.sleep(SPREAD_S * 2)
            assert all(each.is_current for each in made.keepers)
            assert all(each.current.version == 3 for each in made.keepers)

    run(scenario)


ACTIONS = ("publish", "freeze", "thaw", "replace", "outage", "cut", "lose")


async def act(made, action, turn):
    """Do one thing that the platform or an operator may do."""
    source = made.source
    keeper = source.choice(made.keepers)
    if action == "publish":
        base = source.choice([None, keeper.current.version])
        with anyio.move_on_after(5):
            await made.publish(turn, base)
    elif action == "freeze" and len(made.keepers) > 2:
        made.freeze(keeper)
    elif action == "thaw":
        made.thaw(keeper)
    elif action == "replace":
        made.stop(keeper)
        made.start()
    elif action == "outage":
        made.log.is_down = not made.log.is_down
    elif action == "cut":
        made.cut ^= {keeper.name}
    elif action == "lose":
        made.log.lost_answers += 1


@pytest.mark.parametrize("seed", range(1, 9))
def test_failures_in_any_order_never_revert(seed):
    async def scenario():
        async with fleet(seed=seed) as made:
            await made.publish("first")
            await made.settle(1)
            for turn in range(60):
                await act(made, made.source.choice(ACTIONS), turn)
                await anyio.sleep(made.source.uniform(0, 20))
            made.log.is_down = False
            made.cut.clear()
            for keeper in made.keepers:
                made.thaw(keeper)
            await anyio.sleep(SPREAD_S * 5)
            newest = max(made.texts)
            await made.publish("last")
            await anyio.sleep(SPREAD_S * 2)
            for keeper in made.keepers:
                assert keeper.is_current
                assert keeper.current.version == newest + 1

    run(scenario, seed)
