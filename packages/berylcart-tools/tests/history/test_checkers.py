"""Test each checker on a valid history and on histories that violate it."""

import json
import random

import cappa
import pytest
from berylcart.state.errors import CODE_INFO, BerylcartError, Code
from berylcart_tools.commands.history import HistoryCheck
from berylcart_tools.history import (
    config_checkers,
    result_checkers,
    run_checkers,
)
from berylcart_tools.history.checkers import CHECKERS, check_history
from berylcart_tools.history.reading import read_history


def send(at_ms, send_id, key="", client="c1"):
    return {
        "kind": "send",
        "at_ms": at_ms,
        "send_id": send_id,
        "client": client,
        "workspace": "tailors",
        "key": key,
    }


def answer(at_ms, send_id, status="whole", client="c1", **fields):
    return {
        "kind": "answer",
        "at_ms": at_ms,
        "send_id": send_id,
        "client": client,
        "status": status,
        "entry": "d1",
        **fields,
    }


def run(at_ms, attempt_id, send_id, stage="booking", **fields):
    return {
        "kind": "run",
        "at_ms": at_ms,
        "attempt_id": attempt_id,
        "send_id": send_id,
        "stage": stage,
        "vm_id": "v1",
        "instance": "i1",
        "place": "lahore-1",
        "workspace": "tailors",
        "key": "",
        "is_idempotent": stage != "booking",
        **fields,
    }


def result(at_ms, attempt_id, output):
    return {
        "kind": "stage_result",
        "at_ms": at_ms,
        "attempt_id": attempt_id,
        "output": output,
    }


def used(at_ms, send_id, attempt_id, output, stage="booking"):
    return {
        "kind": "stage_used",
        "at_ms": at_ms,
        "send_id": send_id,
        "stage": stage,
        "attempt_id": attempt_id,
        "output": output,
    }


def accepted(at_ms, version, *places):
    permitted = {"tailors": list(places or ["lahore-1"])}
    return {
        "kind": "accepted",
        "at_ms": at_ms,
        "version": version,
        "places": permitted,
    }


def in_force(at_ms, version, daemon="d1"):
    return {
        "kind": "in_force",
        "at_ms": at_ms,
        "daemon": daemon,
        "version": version,
    }


def event_of_kind(kind, at_ms, **fields):
    return {"kind": kind, "at_ms": at_ms, **fields}


def served_booking(at_ms, send_id, output="slot 9", key=""):
    """Return the events of a booking that ran and was answered completely."""
    attempt_id = f"a-{send_id}"
    return [
        send(at_ms, send_id, key),
        run(at_ms + 1, attempt_id, send_id, key=key),
        result(at_ms + 2, attempt_id, output),
        used(at_ms + 3, send_id, attempt_id, output),
        answer(at_ms + 4, send_id, output=output),
    ]


VALID_EVENTS = [
    accepted(0, 1),
    event_of_kind("joined", 0, daemon="d1"),
    event_of_kind("joined", 0, daemon="d2"),
    in_force(10, 1),
    in_force(20, 1, "d2"),
    *served_booking(100, "s1", "slot 1", key="k1"),
    send(200, "s2", "k1", client="c2"),
    answer(210, "s2", client="c2", output="slot 1"),
    *served_booking(300, "s3", "slot 3"),
    send(400, "s4", "k4"),
    answer(401, "s4", "error", ran="no", code=2004),
    send(500, "s5"),
    run(501, "a5", "s5", "model"),
    run(502, "a6", "s5", "model"),
    result(503, "a6", "text"),
    result(504, "a5", "text"),
    used(505, "s5", "a6", "text", "model"),
    answer(506, "s5", output="text"),
    send(600, "s6", "k6"),
    run(601, "a7", "s6", key="k6"),
    answer(602, "s6", "cut"),
    event_of_kind("died", 602, entry="d1"),
    event_of_kind("unreachable", 602, daemon="d1"),
    event_of_kind("leaving", 700, vm_id="v1", instance="i1"),
    *served_booking(3000, "s7", "slot 7"),
    run(9000, "a8", "s7", "model", instance="i2"),
    result(9001, "a8", "more"),
    used(9002, "s7", "a8", "more", "model"),
    accepted(9500, 2, "lahore-2"),
    event_of_kind("stop_planned", 9600, entry="d2"),
    event_of_kind("joined", 9700, daemon="d1"),
    in_force(9800, 2),
    in_force(9900, 2, "d2"),
    event_of_kind("unreachable", 9950, daemon="d2"),
    event_of_kind("end", 30_000),
]
VALID_EVENTS.remove(answer(3004, "s7", output="slot 7"))
VALID_EVENTS.insert(-6, answer(9003, "s7", output="more"))

STAGE_RESULTS = result_checkers.STAGE_RESULTS
COMPLETE_ANSWERS = result_checkers.COMPLETE_ANSWERS
VIOLATING_EVENTS = {
    "crossed result": (
        STAGE_RESULTS,
        [
            send(50, "x"),
            used(160, "x", "a-s1", "slot 1"),
            answer(170, "x", "error"),
        ],
    ),
    "crossed stage": (
        STAGE_RESULTS,
        [used(520, "s5", "a5", "text", "encoder")],
    ),
    "doubled result": (
        STAGE_RESULTS,
        [used(520, "s5", "a5", "text", "model")],
    ),
    "never ran": (STAGE_RESULTS, [used(520, "s4", "none", "slot 1")]),
    "altered result": (
        STAGE_RESULTS,
        [
            send(50, "x"),
            run(60, "ax", "x"),
            result(61, "ax", "slot 1"),
            used(62, "x", "ax", "slot 2"),
            answer(63, "x", output="slot 2"),
        ],
    ),
    "lost result": (STAGE_RESULTS, [run(250, "ax", "s1", "model")]),
    "crossed answers": (
        COMPLETE_ANSWERS,
        [
            *served_booking(50, "x", "slot x")[:-1],
            answer(63, "x", output="slot 1"),
        ],
    ),
    "partial answer": (
        COMPLETE_ANSWERS,
        [
            *served_booking(50, "x", "slot x")[:-1],
            answer(63, "x", output="slot"),
        ],
    ),
    "answer without output": (
        COMPLETE_ANSWERS,
        [*served_booking(50, "x", "slot x")[:-1], answer(63, "x")],
    ),
    "answer to another client": (
        COMPLETE_ANSWERS,
        [send(50, "x"), answer(60, "x", "error", client="c9")],
    ),
    "two answers": (COMPLETE_ANSWERS, [answer(250, "s1", output="slot 1")]),
    "no answer": (COMPLETE_ANSWERS, [send(50, "x")]),
    "answer to nothing": (COMPLETE_ANSWERS, [answer(50, "x", "error")]),
    "ran after all": (
        run_checkers.DID_NOT_RUN,
        [run(450, "ax", "s4", key="k4")],
    ),
    "ran twice by key": (
        run_checkers.AT_MOST_ONCE,
        [run(250, "ax", "s2", key="k1")],
    ),
    "ran twice without key": (
        run_checkers.AT_MOST_ONCE,
        [run(350, "ax", "s3")],
    ),
    "work for a leaving upstream": (
        run_checkers.LEAVING,
        [run(3701, "ax", "s5", "model")],
    ),
    "cut by a planned stop": (
        run_checkers.PLANNED_STOP,
        [send(9590, "x"), answer(9601, "x", "cut", entry="d2")],
    ),
    "late configuration": (
        config_checkers.IN_FORCE_EVERYWHERE,
        [accepted(10_000, 3)],
    ),
    "joiner without configuration": (
        config_checkers.IN_FORCE_EVERYWHERE,
        [event_of_kind("joined", 15_000, daemon="d3")],
    ),
    "version went back": (config_checkers.NO_REVERT, [in_force(9850, 1)]),
    "version before its time": (
        config_checkers.NO_REVERT,
        [in_force(9400, 2)],
    ),
    "version never accepted": (config_checkers.NO_REVERT, [in_force(9990, 7)]),
    "accepted versions fall": (config_checkers.NO_REVERT, [accepted(9950, 1)]),
    "place never permitted": (
        config_checkers.PERMITTED_PLACES,
        [run(450, "ax", "s5", "model", place="galway-1")],
    ),
    "place permitted no more": (
        config_checkers.PERMITTED_PLACES,
        [run(17_501, "ax", "s5", "model", instance="i2")],
    ),
}


def parse_events(events):
    return read_history([json.dumps(event) for event in events])


def violated_promises(events):
    return {
        violation.promise for violation in check_history(parse_events(events))
    }


def test_valid_history_has_no_violations():
    assert check_history(parse_events(VALID_EVENTS)) == []


def test_line_order_does_not_matter():
    shuffled = list(VALID_EVENTS)
    random.Random(7).shuffle(shuffled)
    assert check_history(parse_events(shuffled)) == []


@pytest.mark.parametrize("name", VIOLATING_EVENTS)
def test_violation_is_detected(name):
    promise, extra_events = VIOLATING_EVENTS[name]
    assert promise in violated_promises([*VALID_EVENTS, *extra_events])


def test_every_checker_has_a_violating_history():
    assert {promise for promise, _ in VIOLATING_EVENTS.values()} == set(
        CHECKERS
    )


def test_violation_lists_the_lines_that_prove_it():
    events = [*VALID_EVENTS, run(250, "ax", "s2", key="k1")]
    (violation,) = run_checkers.check_at_most_once(parse_events(events))
    attempt_ids = {
        events[number - 1]["attempt_id"] for number in violation.lines
    }
    assert attempt_ids == {"a-s1", "ax"}


@pytest.mark.parametrize(
    "text", ["{", "[]", '{"kind": "sent"}', '{"kind": "end", "at_ms": "1"}']
)
def test_error_contains_the_number_of_an_invalid_line(text):
    with pytest.raises(BerylcartError, match="line 2"):
        read_history(["", text])


def test_in_force_limit_is_configurable():
    lines = [
        json.dumps(event) for event in [*VALID_EVENTS, in_force(9000, 1, "d3")]
    ]
    lines.append(json.dumps(event_of_kind("joined", 8000, daemon="d3")))
    violations = check_history(read_history(lines, 999))
    assert {violation.promise for violation in violations} == {
        config_checkers.IN_FORCE_EVERYWHERE
    }


def write_history(path, events):
    path.write_text("".join(json.dumps(event) + "\n" for event in events))
    return str(path)


def test_command_reports_violations(tmp_path, capsys):
    valid_path = write_history(tmp_path / "good", VALID_EVENTS)
    cappa.invoke(HistoryCheck, argv=[valid_path])
    assert (
        f"9 promises hold over {len(VALID_EVENTS)} events"
        in capsys.readouterr().out
    )
    violating_path = write_history(
        tmp_path / "bad", [*VALID_EVENTS, in_force(9850, 1)]
    )
    with pytest.raises(cappa.Exit) as caught:
        cappa.invoke(HistoryCheck, argv=[violating_path])
    status = CODE_INFO[Code.HISTORY_VIOLATION].exit_status
    assert caught.value.code == status
    assert "went back from 2 to 1" in capsys.readouterr().out


@pytest.mark.parametrize("data", [b"{\n", b"\xff\n", None])
def test_command_reports_unreadable_file(data, tmp_path, capsys):
    path = tmp_path / "file"
    if data is not None:
        path.write_bytes(data)
    with pytest.raises(cappa.Exit) as caught:
        cappa.invoke(HistoryCheck, argv=[str(path)])
    assert caught.value.code == CODE_INFO[Code.BAD_REQUEST].exit_status
    assert str(path) in capsys.readouterr().err


def test_answer_is_compared_with_the_expected_output():
    sent_event = send(1, "s1") | {"expected": "own"}
    correct = answer(2, "s1", ran="yes", output="own")
    incorrect = answer(2, "s1", ran="yes", output="other")

    def promises(events):
        history = read_history(json.dumps(event) for event in events)
        return [violation.promise for violation in check_history(history)]

    assert promises([sent_event, run(1, "a1", "s1", "model"), correct]) == []
    assert promises([sent_event, run(1, "a1", "s1", "model"), incorrect]) == [
        result_checkers.COMPLETE_ANSWERS
    ]
