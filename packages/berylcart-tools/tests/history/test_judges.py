"""Feed each judge a history that it accepts and some that it rejects."""

import json
import random

import cappa
import pytest
from berylcart.state.errors import CODE_INFO, BerylcartError, Code
from berylcart_tools.commands.history import HistoryCheck
from berylcart_tools.history import judge_config, judge_results, judge_runs
from berylcart_tools.history.judges import JUDGES, judge_history
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


def named(kind, at_ms, **fields):
    return {"kind": kind, "at_ms": at_ms, **fields}


def served(at_ms, send_id, output="slot 9", key=""):
    """Tell a send whose booking ran and was answered whole."""
    attempt_id = f"a-{send_id}"
    return [
        send(at_ms, send_id, key),
        run(at_ms + 1, attempt_id, send_id, key=key),
        result(at_ms + 2, attempt_id, output),
        used(at_ms + 3, send_id, attempt_id, output),
        answer(at_ms + 4, send_id, output=output),
    ]


GOOD = [
    accepted(0, 1),
    named("joined", 0, daemon="d1"),
    named("joined", 0, daemon="d2"),
    in_force(10, 1),
    in_force(20, 1, "d2"),
    *served(100, "s1", "slot 1", key="k1"),
    send(200, "s2", "k1", client="c2"),
    answer(210, "s2", client="c2", output="slot 1"),
    *served(300, "s3", "slot 3"),
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
    named("died", 602, entry="d1"),
    named("unreachable", 602, daemon="d1"),
    named("leaving", 700, vm_id="v1", instance="i1"),
    *served(3000, "s7", "slot 7"),
    run(9000, "a8", "s7", "model", instance="i2"),
    result(9001, "a8", "more"),
    used(9002, "s7", "a8", "more", "model"),
    accepted(9500, 2, "lahore-2"),
    named("stop_planned", 9600, entry="d2"),
    named("joined", 9700, daemon="d1"),
    in_force(9800, 2),
    in_force(9900, 2, "d2"),
    named("unreachable", 9950, daemon="d2"),
    named("end", 30_000),
]
GOOD.remove(answer(3004, "s7", output="slot 7"))
GOOD.insert(-6, answer(9003, "s7", output="more"))

STAGE = judge_results.STAGE_RESULTS
ANSWER = judge_results.WHOLE_ANSWERS
BROKEN = {
    "crossed result": (
        STAGE,
        [
            send(50, "x"),
            used(160, "x", "a-s1", "slot 1"),
            answer(170, "x", "error"),
        ],
    ),
    "crossed stage": (STAGE, [used(520, "s5", "a5", "text", "encoder")]),
    "doubled result": (STAGE, [used(520, "s5", "a5", "text", "model")]),
    "never ran": (STAGE, [used(520, "s4", "none", "slot 1")]),
    "altered result": (
        STAGE,
        [
            send(50, "x"),
            run(60, "ax", "x"),
            result(61, "ax", "slot 1"),
            used(62, "x", "ax", "slot 2"),
            answer(63, "x", output="slot 2"),
        ],
    ),
    "lost result": (STAGE, [run(250, "ax", "s1", "model")]),
    "crossed answers": (
        ANSWER,
        [*served(50, "x", "slot x")[:-1], answer(63, "x", output="slot 1")],
    ),
    "partial answer": (
        ANSWER,
        [*served(50, "x", "slot x")[:-1], answer(63, "x", output="slot")],
    ),
    "answer without output": (
        ANSWER,
        [*served(50, "x", "slot x")[:-1], answer(63, "x")],
    ),
    "answer to another client": (
        ANSWER,
        [send(50, "x"), answer(60, "x", "error", client="c9")],
    ),
    "two answers": (ANSWER, [answer(250, "s1", output="slot 1")]),
    "no answer": (ANSWER, [send(50, "x")]),
    "answer to nothing": (ANSWER, [answer(50, "x", "error")]),
    "ran after all": (
        judge_runs.DID_NOT_RUN,
        [run(450, "ax", "s4", key="k4")],
    ),
    "ran twice by key": (
        judge_runs.AT_MOST_ONCE,
        [run(250, "ax", "s2", key="k1")],
    ),
    "ran twice without key": (
        judge_runs.AT_MOST_ONCE,
        [run(350, "ax", "s3")],
    ),
    "work for a leaving upstream": (
        judge_runs.LEAVING,
        [run(3701, "ax", "s5", "model")],
    ),
    "cut by a planned stop": (
        judge_runs.PLANNED_STOP,
        [send(9590, "x"), answer(9601, "x", "cut", entry="d2")],
    ),
    "late configuration": (judge_config.IN_FORCE, [accepted(10_000, 3)]),
    "joiner without configuration": (
        judge_config.IN_FORCE,
        [named("joined", 15_000, daemon="d3")],
    ),
    "version went back": (judge_config.NEVER_BACK, [in_force(9850, 1)]),
    "version before its time": (judge_config.NEVER_BACK, [in_force(9400, 2)]),
    "version never accepted": (judge_config.NEVER_BACK, [in_force(9990, 7)]),
    "accepted versions fall": (judge_config.NEVER_BACK, [accepted(9950, 1)]),
    "place never permitted": (
        judge_config.PLACES,
        [run(450, "ax", "s5", "model", place="galway-1")],
    ),
    "place permitted no more": (
        judge_config.PLACES,
        [run(17_501, "ax", "s5", "model", instance="i2")],
    ),
}


def read(events):
    return read_history([json.dumps(event) for event in events])


def promises(events):
    return {each.promise for each in judge_history(read(events))}


def test_good_history_is_accepted():
    assert judge_history(read(GOOD)) == []


def test_order_of_lines_does_not_matter():
    shuffled = list(GOOD)
    random.Random(7).shuffle(shuffled)
    assert judge_history(read(shuffled)) == []


@pytest.mark.parametrize("name", BROKEN)
def test_broken_history_is_rejected(name):
    promise, extra = BROKEN[name]
    assert promise in promises([*GOOD, *extra])


def test_every_promise_has_a_broken_history():
    assert {promise for promise, _ in BROKEN.values()} == set(JUDGES)


def test_violation_names_its_lines():
    events = [*GOOD, run(250, "ax", "s2", key="k1")]
    (violation,) = judge_runs.judge_at_most_once(read(events))
    lines = {events[number - 1]["attempt_id"] for number in violation.lines}
    assert lines == {"a-s1", "ax"}


@pytest.mark.parametrize(
    "text", ["{", "[]", '{"kind": "sent"}', '{"kind": "end", "at_ms": "1"}']
)
def test_faulty_line_is_named(text):
    with pytest.raises(BerylcartError, match="line 2"):
        read_history(["", text])


def test_bound_of_a_configuration_may_be_set():
    lines = [json.dumps(event) for event in [*GOOD, in_force(9000, 1, "d3")]]
    lines.append(json.dumps(named("joined", 8000, daemon="d3")))
    found = {each.promise for each in judge_history(read_history(lines, 999))}
    assert found == {judge_config.IN_FORCE}


def write(path, events):
    path.write_text("".join(json.dumps(event) + "\n" for event in events))
    return str(path)


def test_command_accepts_and_rejects(tmp_path, capsys):
    good = write(tmp_path / "good", GOOD)
    cappa.invoke(HistoryCheck, argv=[good])
    assert (
        f"9 promises hold over {len(GOOD)} events" in capsys.readouterr().out
    )
    bad = write(tmp_path / "bad", [*GOOD, in_force(9850, 1)])
    with pytest.raises(cappa.Exit) as caught:
        cappa.invoke(HistoryCheck, argv=[bad])
    status = CODE_INFO[Code.HISTORY_VIOLATION].exit_status
    assert caught.value.code == status
    assert "went back from 2 to 1" in capsys.readouterr().out


@pytest.mark.parametrize("data", [b"{\n", b"\xff\n", None])
def test_command_refuses_what_it_cannot_read(data, tmp_path, capsys):
    path = tmp_path / "file"
    if data is not None:
        path.write_bytes(data)
    with pytest.raises(cappa.Exit) as caught:
        cappa.invoke(HistoryCheck, argv=[str(path)])
    assert caught.value.code == CODE_INFO[Code.BAD_REQUEST].exit_status
    assert str(path) in capsys.readouterr().err


def test_expected_output_is_held_against_the_answer():
    sent = send(1, "s1") | {"expected": "own"}
    right = answer(2, "s1", ran="yes", output="own")
    wrong = answer(2, "s1", ran="yes", output="other")

    def promises(events):
        history = read_history(json.dumps(event) for event in events)
        return [violation.promise for violation in judge_history(history)]

    assert promises([sent, run(1, "a1", "s1", "model"), right]) == []
    assert promises([sent, run(1, "a1", "s1", "model"), wrong]) == [
        judge_results.WHOLE_ANSWERS
    ]
