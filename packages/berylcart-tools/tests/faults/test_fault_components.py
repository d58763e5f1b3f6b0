"""Test plans, log parsing and recording without starting processes."""

import random
from contextlib import asynccontextmanager

import anyio
import pytest
from berylcart.state.config_text import parse
from berylcart_tools.experiments.deployments import AUTHORITY, config_text
from berylcart_tools.experiments.layout import Upstream
from berylcart_tools.faults import run as fault_run
from berylcart_tools.faults.collect import record_runs, to_monotonic_ms
from berylcart_tools.faults.injection import (
    CONTENDED_WORKSPACE,
    restrict_to_place,
)
from berylcart_tools.faults.plans import PLANS, combine, random_pairs
from berylcart_tools.faults.recorder import (
    Recorder,
    parse_log_fields,
    read_log_events,
)
from berylcart_tools.faults.run import IN_FORCE_BOUND_MS, run_plan

RAN_LOG_LINE = (
    "time=2026-01-01T00:00:00.000Z level=info event=standin.ran "
    "attempt_id=s7~ab.0.1.booking-1/1 request_id=s7~ab idempotency_key=k1 "
    "workspace=reports place=lahore-1 at_ms=12"
)


def test_log_line_fields_are_parsed():
    assert parse_log_fields('a=1 b="x \\"y\\" z" c=') == {
        "a": "1",
        "b": 'x "y" z',
        "c": "",
    }


def test_lines_of_other_events_are_skipped(tmp_path):
    path = tmp_path / "log"
    path.write_text(
        f"noise\n{RAN_LOG_LINE}\nlevel=info event=standin.ready kind=x\n"
    )
    assert [
        line["at_ms"] for line in read_log_events(path, "standin.ran")
    ] == ["12"]


def test_logged_attempts_become_run_events(tmp_path):
    path = tmp_path / "log"
    path.write_text(RAN_LOG_LINE + "\n")
    recorder = Recorder()
    spec = AUTHORITY.service("booking")
    upstream = Upstream("booking-1", spec, "lahore-1", 1)
    record_runs(recorder, AUTHORITY, upstream, path)
    (event,) = recorder.events
    assert event["send_id"] == "s7"
    assert event["key"] == "k1"
    assert event["is_idempotent"] is False


def test_wall_clock_time_is_converted_to_monotonic():
    later = to_monotonic_ms("2026-01-01T00:00:01.500Z", 0)
    earlier = to_monotonic_ms("2026-01-01T00:00:00.000Z", 0)
    assert later - earlier == 1500


@pytest.mark.parametrize("place", AUTHORITY.places)
def test_restricted_text_permits_one_place(place):
    configuration = parse(restrict_to_place(config_text(AUTHORITY), place))
    workspaces = configuration.workspaces
    assert workspaces[CONTENDED_WORKSPACE].places == frozenset({place})
    others = set(workspaces) - {CONTENDED_WORKSPACE}
    assert all(
        workspaces[name].places == frozenset(AUTHORITY.places)
        for name in others
    )


def test_random_pairs_are_reproducible_and_distinct():
    pairs = random_pairs(10, 1)
    assert pairs == random_pairs(10, 1)
    assert len({plan.name for plan in pairs}) == 10
    combined = combine(PLANS[1], PLANS[2])
    assert len(combined.actions) == len(PLANS[1].actions) + len(
        PLANS[2].actions
    )


def test_events_are_sorted_by_time(tmp_path):
    recorder = Recorder()
    times = list(range(20))
    random.Random(1).shuffle(times)
    for at_ms in times:
        recorder.add({"kind": "end", "at_ms": at_ms})
    assert [event["at_ms"] for event in recorder.sorted_events()] == sorted(
        times
    )


@pytest.mark.parametrize("watched_ms", [0, IN_FORCE_BOUND_MS])
def test_daemon_is_judged_only_while_it_is_watched(
    watched_ms, tmp_path, monkeypatch
):
    """A daemon that started as its log was read counted as late."""
    clock = {"now_ms": 1000}

    @asynccontextmanager
    async def running_fleet(*args):
        yield None
        clock["now_ms"] += 5 * IN_FORCE_BOUND_MS

    async def run_under_faults(plan, seed, fleet, recorder):
        at_ms = clock["now_ms"]
        recorder.add(
            {"kind": "accepted", "at_ms": 1, "version": 1, "places": {}}
        )
        recorder.add({"kind": "joined", "at_ms": at_ms, "daemon": "entry-2"})
        clock["now_ms"] += watched_ms

    async def collect_events(*args):
        clock["now_ms"] += 1

    monkeypatch.setattr(fault_run, "monotonic_ms", lambda: clock["now_ms"])
    monkeypatch.setattr(fault_run, "running_fleet", running_fleet)
    monkeypatch.setattr(fault_run, "run_under_faults", run_under_faults)
    monkeypatch.setattr(fault_run, "collect_events", collect_events)
    monkeypatch.setattr(fault_run, "SETTLE_S", 0.0)
    path = tmp_path / "history.jsonl"
    outcome = anyio.run(run_plan, PLANS[0], 1, path)
    assert bool(outcome.violations) is (watched_ms >= IN_FORCE_BOUND_MS)
