"""Test that event loop lag is observed and logged."""

import anyio
import pytest
import trio.testing
from berylcart import events
from berylcart_daemon.loop_lag import LAG_WARNING_S, PERIOD_S, LoopLagMonitor


@pytest.fixture
def warnings(monkeypatch):
    logged = []
    monkeypatch.setattr(
        events, "warning", lambda name, **fields: logged.append((name, fields))
    )
    return logged


def test_only_a_long_lag_is_logged(warnings):
    observed = []
    monitor = LoopLagMonitor(observed.append, lambda: {"in_flight": 3})
    monitor.record(LAG_WARNING_S / 2)
    monitor.record(0.25)
    assert observed == [LAG_WARNING_S / 2, 0.25]
    assert warnings == [("event_loop.lagged", {"lag_ms": 250, "in_flight": 3})]


def test_blocked_event_loop_is_detected(warnings):
    observed = []
    clock = trio.testing.MockClock()

    async def check():
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(LoopLagMonitor(observed.append, dict).run)
            await trio.testing.wait_all_tasks_blocked()
            clock.jump(PERIOD_S + 0.5)
            await trio.testing.wait_all_tasks_blocked()
            tasks.cancel_scope.cancel()

    anyio.run(check, backend="trio", backend_options={"clock": clock})
    assert observed == [pytest.approx(0.5)]
    assert warnings == [("event_loop.lagged", {"lag_ms": 500})]
