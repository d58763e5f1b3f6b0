"""Judge that stage results and answers reach whom they belong to, whole."""

from collections.abc import Iterator

from berylcart_tools.history import events as ev
from berylcart_tools.history.reading import History, Line, Violation, group

STAGE_RESULTS = "no stage result lost, doubled or crossed"
WHOLE_ANSWERS = "every caller receives the whole answer to its own request"


def judge_stage_results(history: History) -> Iterator[Violation]:
    """Hold what daemons used against what upstreams ran and sent."""
    runs = {line.event["attempt_id"]: line for line in history.runs}
    results = group(history.results, lambda event: event["attempt_id"])
    keys = send_keys(history)
    for used in history.used:
        run = runs.get(used.event["attempt_id"])
        detail = crossed(used.event, run, keys)
        if detail is None:
            detail = altered(used.event, results[used.event["attempt_id"]])
        if detail:
            yield Violation(STAGE_RESULTS, detail, (used.number,))
    yield from doubled(history)
    yield from lost(history)


def crossed(
    used: ev.StageUsed, run: Line[ev.Run] | None, keys: dict[str, str]
) -> str | None:
    """Say how a used result belongs to another request or stage."""
    attempt = used["attempt_id"]
    if run is None:
        return f"attempt {attempt} was used and never ran"
    if run.event["send_id"] != used["send_id"]:
        return (
            f"attempt {attempt} of {run.event['send_id']} was used for "
            + (used["send_id"])
        )
    if run.event["stage"] != used["stage"]:
        return f"attempt {attempt} of another stage was used"
    return None


def altered(
    used: ev.StageUsed, results: list[Line[ev.StageResult]]
) -> str | None:
    """Say whether a used result is not one that the upstream sent."""
    if any(line.event["output"] == used["output"] for line in results):
        return None
    return f"attempt {used['attempt_id']} did not give the result used"


def doubled(history: History) -> Iterator[Violation]:
    """Find stages of which more than one result was used."""
    uses = group(
        history.used, lambda event: (event["send_id"], event["stage"])
    )
    for (send_id, stage), lines in uses.items():
        if len(lines) > 1:
            yield Violation(
                STAGE_RESULTS,
                f"{send_id} used {len(lines)} results of {stage}",
                tuple(line.number for line in lines),
            )


def lost(history: History) -> Iterator[Violation]:
    """Find whole answers given without a result of a stage that ran.

    Where a send says what output it expects, the answer itself shows that.
    """
    expecting = {
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
        if answer.event["send_id"] in expecting:
            continue
        for run in runs[answer.event["send_id"]]:
            if (run.event["send_id"], run.event["stage"]) not in used:
                yield Violation(
                    STAGE_RESULTS,
                    f"{run.event['send_id']} lost its {run.event['stage']}",
                    (run.number, answer.number),
                )


def judge_answers(history: History) -> Iterator[Violation]:
    """Hold each answer against its send and what its stages gave."""
    answers = group(history.answers, lambda event: event["send_id"])
    sends = {line.event["send_id"]: line for line in history.sends}
    for send_id in answers.keys() - sends.keys():
        numbers = tuple(line.number for line in answers[send_id])
        yield Violation(WHOLE_ANSWERS, f"{send_id} was never sent", numbers)
    outputs = last_outputs(history)
    for send_id, send in sends.items():
        given = answers.get(send_id, [])
        numbers = (send.number, *(line.number for line in given))
        if len(given) != 1:
            detail = f"{send_id} got {len(given)} answers"
            yield Violation(WHOLE_ANSWERS, detail, numbers)
        for answer in given:
            wrong = wrong_answer(send.event, answer.event, outputs)
            if wrong:
                yield Violation(WHOLE_ANSWERS, wrong, numbers)


def last_outputs(history: History) -> dict[str, list[object]]:
    """Give what each send may be answered: its own or its key's output."""
    keys = send_keys(history)
    outputs: dict[str, list[object]] = {}
    for send_id, lines in group(
        history.used, lambda event: event["send_id"]
    ).items():
        name = keys.get(send_id, send_id)
        outputs.setdefault(name, []).append(lines[-1].event["output"])
    return outputs


def send_keys(history: History) -> dict[str, str]:
    """Give the name that each send shares with others of its request."""
    return {
        line.event["send_id"]: key_of(line.event) for line in history.sends
    }


def key_of(send: ev.Send) -> str:
    """Name what sends of one request share.

    >>> key_of({"kind": "send", "at_ms": 1, "send_id": "s1", "client": "c",
    ...         "workspace": "w", "key": "k"})
    'w/k'
    """
    key = send.get("key", "")
    return f"{send['workspace']}/{key}" if key else send["send_id"]


def wrong_answer(
    send: ev.Send, answer: ev.Answer, outputs: dict[str, list[object]]
) -> str | None:
    """Say how an answer is not the whole answer to its send."""
    send_id = send["send_id"]
    if answer["client"] != send["client"]:
        return f"{send_id} was answered to {answer['client']}"
    if answer["status"] != "whole":
        return None
    if "output" not in answer:
        return f"{send_id} got an answer without its output"
    if "expected" in send:
        if answer["output"] != send["expected"]:
            return f"{send_id} got an output that is not its own"
        return None
    if answer["output"] not in outputs.get(key_of(send), []):
        return f"{send_id} got an output that its stages did not give"
    return None
