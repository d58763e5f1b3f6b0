"""Test that blocked prompt parts outlast the daemons."""

import anyio
import trio
from berylcart.coordination.gateway.part_faults import BLOCK_S, PartFaults
from berylcart.coordination.gateway.store_era import StoreEra
from berylcart.state.errors import LogUnavailableError
from berylcart_daemon.blocked_parts_sync import DEFER_S, BlockedPartsSync
from trio.testing import MockClock

TRAITS = ("dead",)


class FakeStore:
    """Hold the blocked parts; every call fails while it is down."""

    def __init__(self):
        self.kept = {}
        self.suspected = {}
        self.puts = 0
        self.is_down = False

    def check(self):
        """Fail while the store is down."""
        if self.is_down:
            raise LogUnavailableError("down")

    async def put(self, part_id, replicas):
        """Store a part."""
        self.check()
        self.puts += 1
        self.kept[part_id] = replicas

    async def remove(self, part_id):
        """Remove a part."""
        self.check()
        self.kept.pop(part_id, None)

    async def parts(self):
        """Return the parts."""
        self.check()
        return dict(self.kept)

    async def put_suspect(self, report):
        """Store evidence against a part."""
        self.check()
        self.suspected[report.part_id] = report

    async def remove_suspect(self, part_id):
        """Remove the evidence against a part."""
        self.check()
        self.suspected.pop(part_id, None)

    async def suspects(self):
        """Return the evidence."""
        self.check()
        return list(self.suspected.values())


def run_paused(scenario):
    async def main():
        async with anyio.create_task_group() as tasks:
            await scenario(tasks)
            tasks.cancel_scope.cancel()

    trio.run(main, clock=MockClock(autojump_threshold=0))


def start(tasks, store, era=None, *, is_first=True):
    """Start the synchronization of a new daemon and return its faults."""
    faults = PartFaults()
    sync = BlockedPartsSync(faults, store, era or StoreEra(), lambda: is_first)
    tasks.start_soon(sync.run)
    tasks.start_soon(faults.run)
    return faults


async def block(faults):
    for number in range(5):
        faults.record_crash(f"v{number}/1", TRAITS, "r")
        await anyio.sleep(1)
    await anyio.sleep(3)


def test_block_outlasts_a_restart_of_all_daemons():
    async def scenario(tasks):
        store = FakeStore()
        await block(start(tasks, store))
        restarted = start(tasks, store)
        await anyio.sleep(1)
        assert restarted.is_refused(TRAITS)

    run_paused(scenario)


def test_block_is_stored_once_the_store_is_back():
    async def scenario(tasks):
        store = FakeStore()
        store.is_down = True
        await block(start(tasks, store))
        assert not store.kept
        store.is_down = False
        await anyio.sleep(3)
        assert list(store.kept) == ["dead"]

    run_paused(scenario)


def test_block_of_a_daemon_without_the_store_is_stored_by_another():
    async def scenario(tasks):
        store, cut_off = FakeStore(), FakeStore()
        cut_off.is_down = True
        faults = start(tasks, cut_off)
        peer = start(tasks, store)
        await block(faults)
        peer.merge("d1", faults.reports())
        assert not store.kept
        await anyio.sleep(DEFER_S + 2)
        assert list(store.kept) == ["dead"]
        faults.merge("d2", peer.reports())
        assert not faults.unstored()

    run_paused(scenario)


def test_block_is_stored_again_after_the_store_lost_it():
    async def scenario(tasks):
        store, era = FakeStore(), StoreEra()
        await block(start(tasks, store, era))
        store.kept.clear()
        era.observe(era.current + 1, "store")
        await anyio.sleep(3)
        assert list(store.kept) == ["dead"]

    run_paused(scenario)


def test_forgotten_block_is_removed_from_the_store():
    async def scenario(tasks):
        store = FakeStore()
        faults = start(tasks, store)
        await block(faults)
        assert (list(store.kept), store.puts) == (["dead"], 1)
        await anyio.sleep(BLOCK_S + 2)
        assert not store.kept
        assert not faults.known

    run_paused(scenario)


REQUEST = ("request:" + "0" * 32,)


async def crash_twice(faults):
    for number in range(2):
        faults.record_crash(f"v{number}/1", REQUEST, "r", 0.0)
        await anyio.sleep(0.5)


def test_evidence_outlasts_a_restart_of_all_daemons():
    async def scenario(tasks):
        store = FakeStore()
        await crash_twice(start(tasks, store))
        restarted = start(tasks, store)
        await anyio.sleep(4)
        restarted.record_crash("v9/1", REQUEST, "r", anyio.current_time())
        await anyio.sleep(2)
        assert restarted.is_refused(REQUEST)
        assert list(store.kept) == list(REQUEST)
        await anyio.sleep(2)
        assert not store.suspected

    run_paused(scenario)


def test_evidence_that_an_answer_cleared_is_removed_from_the_store():
    async def scenario(tasks):
        store = FakeStore()
        faults = start(tasks, store)
        await crash_twice(faults)
        assert list(store.suspected) == list(REQUEST)
        faults.record_answer(REQUEST)
        await anyio.sleep(2)
        assert not store.suspected
        assert not store.kept

    run_paused(scenario)


def test_single_crash_is_not_stored():
    async def scenario(tasks):
        store = FakeStore()
        faults = start(tasks, store)
        faults.record_crash("v1/1", REQUEST, "r")
        await anyio.sleep(3)
        assert not store.suspected

    run_paused(scenario)


def test_daemon_that_stored_evidence_removes_it_although_not_the_first():
    async def scenario(tasks):
        store = FakeStore()
        faults = start(tasks, store, is_first=False)
        await crash_twice(faults)
        assert list(store.suspected) == list(REQUEST)
        faults.record_answer(REQUEST)
        await anyio.sleep(2)
        assert not store.suspected

    run_paused(scenario)


def test_first_daemon_removes_the_evidence_of_one_that_is_gone():
    async def scenario(tasks):
        store = FakeStore()
        first = start(tasks, store)
        async with anyio.create_task_group() as others:
            gone = start(others, store, is_first=False)
            await crash_twice(gone)
            first.merge("d2", gone.reports())
            await anyio.sleep(2)
            assert list(store.suspected) == list(REQUEST)
            others.cancel_scope.cancel()
        first.record_answer(REQUEST)
        await anyio.sleep(2)
        assert not store.suspected

    run_paused(scenario)
