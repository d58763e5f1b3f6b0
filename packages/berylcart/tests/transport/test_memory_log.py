"""Test the order, retention and fault injection of the in-memory log."""

import anyio
import pytest
import trio
from berylcart.state.errors import (
    LogAmbiguousError,
    LogGapError,
    LogUnavailableError,
)
from berylcart.state.records import Release
from berylcart.transport.memory_log import MemoryLog
from trio.testing import MockClock

RELEASE = Release("k", "c")


def run_virtual(scenario):
    """Run a scenario on a virtual clock that skips every sleep."""
    return trio.run(scenario, clock=MockClock(autojump_threshold=0))


def test_append_returns_first_offset_and_keeps_order():
    async def scenario():
        log = MemoryLog()
        assert await log.append("s", [RELEASE, RELEASE]) == 0
        assert await log.append("s", [RELEASE]) == 2
        page = await log.read("s", 1, wait_ms=0, limit=10)
        assert [entry.offset for entry in page.entries] == [1, 2]
        assert page.end_offset == 3

    run_virtual(scenario)


def test_read_waits_for_a_first_entry():
    async def scenario():
        log = MemoryLog()

        async def append_later():
            await anyio.sleep(5)
            await log.append("s", [RELEASE])

        async with anyio.create_task_group() as tasks:
            tasks.start_soon(append_later)
            page = await log.read("s", 0, wait_ms=9000, limit=10)
        assert len(page.entries) == 1
        assert anyio.current_time() < 9

    run_virtual(scenario)


def test_read_of_an_expired_offset_raises_log_gap():
    async def scenario():
        log = MemoryLog(retention_ms=1000)
        await log.append("s", [RELEASE])
        await anyio.sleep(2)
        with pytest.raises(LogGapError):
            await log.read("s", 0, wait_ms=0, limit=10)

    run_virtual(scenario)


def test_outage_appends_nothing_and_lost_response_appends():
    async def scenario():
        log = MemoryLog()
        log.is_down = True
        with pytest.raises(LogUnavailableError):
            await log.append("s", [RELEASE])
        log.is_down = False
        log.lost_append_responses = 1
        with pytest.raises(LogAmbiguousError):
            await log.append("s", [RELEASE])
        assert log.stream("s").end_offset == 1

    run_virtual(scenario)
