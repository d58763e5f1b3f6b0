"""Check that stage results and answers are complete and not mixed up."""

from collections.abc import Iterator

from berylcart_tools.history import events as ev
from berylcart_tools.history.reading import (
    History,
    HistoryLine,
    Violation,
    group,
)

STAGE_RESULTS = "no stage result lost, doubled or crossed"
COMPLETE_ANSWERS = "every caller receives the whole answer to its own request"


def check_stage_results(history: History) -> Iterator[Violation]:
    """Compare the results that daemons used with those that upstreams sent."""
    runs = {line.event["attempt_id"]: line for line in history.runs}
    results = group(history.results, lambda event: event["attempt_id"])
    identities = request_identities(history)
    for used in history.used:
        run = runs.get(used.event["attempt_id"])
        detail = find_mismatch(used.event, run, identities)
        if detail is None:
            detail = find_alteration(
                used.event, results[used.event["attempt_id"]]
            )
        if detail:
            yield Violation(STAGE_RESULTS, detail, (used.number,))
    yield from find_duplicate_uses(history)
    yield from find_lost_results(history)


def find_mismatch(
    used: ev.StageUsedEvent,
    run: HistoryLine[ev.RunEvent] | None,
    identities: dict[str, str],
) -> str | None:
    """Describe how a used result belongs to another request or stage."""
    attempt = used["attempt_id"]
    if run is None:
        return f"a result of attempt {attempt}, which never ran, was used"
    if run.event["send_id"] != used["send_id"]:
        return (
            f"the result of attempt {attempt} for {run.event['send_id']} was "
            f"used for {used['send_id']}"
        )
    if run.event["stage"] != used["stage"]:
        return (
            f"the result of attempt {attempt} for stage "
            f"{run.event['stage']} was used for stage {used['stage']}"
        )
    return None


def find_alteration(
    used: ev.StageUsedEvent, results: list[HistoryLine[ev.StageResultEvent]]
) -> str | None:
    """Describe a used result that differs from those the upstream sent."""
    if any(line.event["output"] == used["output"] for line in results):
        return None
    return f"attempt {used['attempt_id']} did not produce the result used"


def find_duplicate_uses(history: History) -> Iterator[Violation]:
    """Find stages of a request for which several results were used."""
    uses = group(
        history.used, lambda event: (event["send_id"], event["stage"])
    )
    for (send_id, stage), lines in uses.items():
        if len(lines) > 1:
            yield Violation(
                STAGE_RESULTS,
                f"{send_id} used {len(lines)} results for stage {stage}",
                tuple(line.number for line in lines),
            )


def find_lost_results(history: History) -> Iterator[Violation]:
    """Find complete answers that used no result of a stage that ran.

    Requests that specify an expected output are skipped: check_answers
    compares that output with the answer.
    """
    sends_with_expected_output = {
        line.event["send_id"]
        for line in history.sends
        if "expected" in line.event
    }
    used = {
        (line.event["send_id"], line.event["stage"]) for line in history.used
    }
    runs = group(history.runs, lambda event: event["send_id"])
    for answer in history.answers:
        if answer.event["status"] != "whole":
            continue
        if answer.event["send_id"] in sends_with_expected_output:
            continue
        for run in runs[answer.event["send_id"]]:
            if (run.event["send_id"], run.event["stage"]) not in used:
                yield Violation(
                    STAGE_RESULTS,
                    f"{run.event['send_id']} was answered without the result "
                    f"of stage {run.event['stage']}",
                    (run.number, answer.number),
                )


def check_answers(history: History) -> Iterator[Violation]:
    """Compare each answer with its request and its stage results."""
    answers = group(history.answers, lambda event: event["send_id"])
    sends = {line.event["send_id"]: line for line in history.sends}
    for send_id in answers.keys() - sends.keys():
        numbers = tuple(line.number for line in answers[send_id])
        yield Violation(
            COMPLETE_ANSWERS, f"{send_id} was answered but never sent", numbers
        )
    outputs = permitted_outputs(history)
    for send_id, send in sends.items():
        received = answers.get(send_id, [])
        numbers = (send.number, *(line.number for line in received))
        if len(received) != 1:
            detail = f"{send_id} received {len(received)} answers"
            yield Violation(COMPLETE_ANSWERS, detail, numbers)
        for answer in received:
            fault = find_answer_fault(send.event, answer.event, outputs)
            if fault:
                yield Violation(COMPLETE_ANSWERS, fault, numbers)


def permitted_outputs(history: History) -> dict[str, list[object]]:
    """Map each request identity to the outputs it may be answered with."""
    identities = request_identities(history)
    outputs: dict[str, list[object]] = {}
    for send_id, lines in group(
        history.used, lambda event: event["send_id"]
    ).items():
        identity = identities.get(send_id, send_id)
        outputs.setdefault(identity, []).append(lines[-1].event["output"])
    return outputs


def request_identities(history: History) -> dict[str, str]:
    """Map each send id to the identity of its request."""
    return {
        line.event["send_id"]: request_identity(line.event)
        for line in history.sends
    }


def request_identity(send: ev.SendEvent) -> str:
    """Return the workspace and idempotency key, or the send id without one.

    >>> request_identity({"kind": "send", "at_ms": 1, "send_id": "s1",
    ...         "client": "c", "workspace": "w", "key": "k"})
    'w/k'
    """
    key = send.get("key", "")
    return f"{send['workspace']}/{key}" if key else send["send_id"]


def find_answer_fault(
    send: ev.SendEvent,
    answer: ev.AnswerEvent,
    outputs: dict[str, list[object]],
) -> str | None:
    """Describe how an answer is not the complete answer to its request."""
    send_id = send["send_id"]
    if answer["client"] != send["client"]:
        return f"the answer to {send_id} went to client {answer['client']}"
    if answer["status"] != "whole":
        return None
    if "output" not in answer:
        return f"{send_id} received an answer without an output"
    if "expected" in send:
        if answer["output"] != send["expected"]:
            return f"{send_id} received an output other than the expected one"
        return None
    if answer["output"] not in outputs.get(request_identity(send), []):
        return f"{send_id} received an output that its stages did not produce"
    return None
