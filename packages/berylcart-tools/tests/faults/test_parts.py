"""Check the parts of the fault runs that need no processes."""

import random

import pytest
from berylcart.state.config_text import parse
from berylcart_tools.experiments.deployments import AUTHORITY, config_text
from berylcart_tools.experiments.layout import Upstream
from berylcart_tools.faults.collect import add_runs, shared_ms
from berylcart_tools.faults.perform import RACED_WORKSPACE, narrowed
from berylcart_tools.faults.plans import PLANS, pair, random_pairs
from berylcart_tools.faults.recorder import Recorder, parse_pairs, read_events

RAN = (
    "time=2026-01-01T00:00:00.000Z level=info event=standin.ran "
    "attempt_id=s7~ab.0.1.booking-1/1 request_id=s7~ab idempotency_key=k1 "
    "workspace=reports place=lahore-1 at_ms=12"
)


def test_pairs_of_a_line_are_read():
    assert parse_pairs('a=1 b="x \\"y\\" z" c=') == {
        "a": "1",
        "b": 'x "y" z',
        "c": "",
    }


def test_only_lines_of_the_event_are_read(tmp_path):
    path = tmp_path / "log"
    path.write_text(f"noise\n{RAN}\nlevel=info event=standin.ready kind=x\n")
    assert [line["at_ms"] for line in read_events(path, "standin.ran")] == [
        "12"
    ]


def test_witness_is_turned_into_runs(tmp_path):
    path = tmp_path / "log"
    path.write_text(RAN + "\n")
    recorder = Recorder()
    spec = AUTHORITY.service("booking")
    upstream = Upstream("booking-1", spec, "lahore-1", 1)
    add_runs(recorder, AUTHORITY, upstream, path)
    (event,) = recorder.events
    assert event["send_id"] == "s7"
    assert event["key"] == "k1"
    assert event["is_idempotent"] is False


def test_wall_time_moves_to_the_shared_clock():
    later = shared_ms("2026-01-01T00:00:01.500Z", 0)
    earlier = shared_ms("2026-01-01T00:00:00.000Z", 0)
    assert later - earlier == 1500


@pytest.mark.parametrize("place", AUTHORITY.places)
def test_narrowed_text_permits_one_place(place):
    configuration = parse(narrowed(config_text(AUTHORITY), place))
    workspaces = configuration.workspaces
    assert workspaces[RACED_WORKSPACE].places == frozenset({place})
    others = set(workspaces) - {RACED_WORKSPACE}
    assert all(
        workspaces[name].places == frozenset(AUTHORITY.places)
        for name in others
    )


def test_pairs_are_fixed_by_their_seed_and_differ():
    pairs = random_pairs(10, 1)
    assert pairs == random_pairs(10, 1)
    assert len({plan.name for plan in pairs}) == 10
    both = pair(PLANS[1], PLANS[2])
    assert len(both.actions) == len(PLANS[1].actions) + len(PLANS[2].actions)


def test_events_are_written_in_the_order_of_their_times(tmp_path):
    recorder = Recorder()
    times = list(range(20))
    random.Random(1).shuffle(times)
    for at_ms in times:
        recorder.add({"kind": "end", "at_ms": at_ms})
    assert [event["at_ms"] for event in recorder.ordered()] == sorted(times)
