"""Judge what upstreams ran against what callers were told."""

from collections.abc import Iterator

from berylcart_tools.history import events as ev
from berylcart_tools.history.reading import History, Violation, group

DID_NOT_RUN = "a request said not to have run did not run"
AT_MOST_ONCE = "a non-idempotent request runs at most once"
LEAVING = "a leaving upstream receives no new work"
PLANNED_STOP = "a planned stop cuts off no request in flight"
LEAVING_BOUND_MS = 3000


def judge_did_not_run(history: History) -> Iterator[Violation]:
    """Find sends that ran although their caller was told otherwise."""
    runs = group(history.runs, lambda event: event["send_id"])
    for answer in history.answers:
        ran = runs.get(answer.event["send_id"], [])
        if answer.event.get("ran") == "no" and ran:
            numbers = (answer.number, *(line.number for line in ran))
            detail = f"{answer.event['send_id']} was said not to have run"
            yield Violation(DID_NOT_RUN, detail, numbers)


def once_name(run: ev.Run) -> tuple[str, str, str]:
    """Name what may run once: a key of a workspace, or one send."""
    key = run.get("key", "")
    if not key:
        return "", run["send_id"], run["stage"]
    return run["workspace"], key, run["stage"]


def judge_at_most_once(history: History) -> Iterator[Violation]:
    """Find non-idempotent requests that ran more than once."""
    runs = [
        line
        for line in history.runs
        if not line.event.get("is_idempotent", True)
    ]
    for name, lines in group(runs, once_name).items():
        if len(lines) > 1:
            detail = f"{' '.join(filter(None, name))} ran {len(lines)} times"
            numbers = tuple(line.number for line in lines)
            yield Violation(AT_MOST_ONCE, detail, numbers)


def judge_leaving(history: History) -> Iterator[Violation]:
    """Find attempts begun too late at a leaving upstream."""
    marks = group(
        history.leaving, lambda event: (event["vm_id"], event["instance"])
    )
    for run in history.runs:
        event = run.event
        for mark in marks.get((event["vm_id"], event["instance"]), [])[:1]:
            late_ms = event["at_ms"] - mark.event["at_ms"]
            if late_ms > LEAVING_BOUND_MS:
                yield Violation(
                    LEAVING,
                    f"{event['vm_id']} got work {late_ms} ms after leaving",
                    (mark.number, run.number),
                )


def judge_planned_stops(history: History) -> Iterator[Violation]:
    """Find requests that an entry cut off after it was told to stop."""
    deaths = group(history.deaths, lambda event: event["entry"])
    for stop in history.stops:
        entry, stop_ms = stop.event["entry"], stop.event["at_ms"]
        died_ms = [line.event["at_ms"] for line in deaths.get(entry, [])]
        for answer in history.answers:
            event = answer.event
            is_cut = event["status"] == "cut" and event.get("entry") == entry
            if not is_cut or event["at_ms"] < stop_ms:
                continue
            if any(stop_ms <= each <= event["at_ms"] for each in died_ms):
                continue
            detail = f"{entry} cut {event['send_id']} off"
            yield Violation(PLANNED_STOP, detail, (stop.number, answer.number))
