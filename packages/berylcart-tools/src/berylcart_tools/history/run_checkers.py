"""Check the attempts that upstreams ran against the answers to clients."""

from collections.abc import Iterator

from berylcart_tools.history import events as ev
from berylcart_tools.history.reading import History, Violation, group

DID_NOT_RUN = "a request said not to have run did not run"
AT_MOST_ONCE = "a non-idempotent request runs at most once"
LEAVING = "a leaving upstream receives no new work"
PLANNED_STOP = "a planned stop cuts off no request in flight"
MAX_WORK_AFTER_LEAVING_MS = 3000


def check_did_not_run(history: History) -> Iterator[Violation]:
    """Find requests that ran although their answer says that they did not."""
    runs = group(history.runs, lambda event: event["send_id"])
    for answer in history.answers:
        attempts = runs.get(answer.event["send_id"], [])
        if answer.event.get("ran") == "no" and attempts:
            numbers = (answer.number, *(line.number for line in attempts))
            detail = (
                f"{answer.event['send_id']} ran although its answer says that "
                f"it did not"
            )
            yield Violation(DID_NOT_RUN, detail, numbers)


def run_identity(run: ev.RunEvent) -> tuple[str, str, str]:
    """Return what may run once: workspace and key, or send id, with stage."""
    key = run.get("key", "")
    if not key:
        return "", run["send_id"], run["stage"]
    return run["workspace"], key, run["stage"]


def check_at_most_once(history: History) -> Iterator[Violation]:
    """Find non-idempotent requests that ran more than once."""
    runs = [
        line
        for line in history.runs
        if not line.event.get("is_idempotent", True)
    ]
    for identity, lines in group(runs, run_identity).items():
        if len(lines) > 1:
            detail = (
                f"{' '.join(filter(None, identity))} ran {len(lines)} times"
            )
            numbers = tuple(line.number for line in lines)
            yield Violation(AT_MOST_ONCE, detail, numbers)


def check_leaving(history: History) -> Iterator[Violation]:
    """Find attempts started too long after an upstream was marked leaving."""
    leaving = group(
        history.leaving, lambda event: (event["vm_id"], event["instance"])
    )
    for run in history.runs:
        event = run.event
        for mark in leaving.get((event["vm_id"], event["instance"]), [])[:1]:
            late_ms = event["at_ms"] - mark.event["at_ms"]
            if late_ms > MAX_WORK_AFTER_LEAVING_MS:
                yield Violation(
                    LEAVING,
                    f"{event['vm_id']} started an attempt {late_ms} ms "
                    f"after it was marked as leaving",
                    (mark.number, run.number),
                )


def check_planned_stops(history: History) -> Iterator[Violation]:
    """Find requests that an entry cut off after SIGTERM, unless killed."""
    deaths = group(history.deaths, lambda event: event["entry"])
    for stop in history.stops:
        entry, stop_ms = stop.event["entry"], stop.event["at_ms"]
        died_ms = [line.event["at_ms"] for line in deaths.get(entry, [])]
        for answer in history.answers:
            event = answer.event
            is_cut = event["status"] == "cut" and event.get("entry") == entry
            if not is_cut or event["at_ms"] < stop_ms:
                continue
            if any(
                stop_ms <= death_ms <= event["at_ms"] for death_ms in died_ms
            ):
                continue
            detail = f"{entry} closed the connection of {event['send_id']}"
            yield Violation(PLANNED_STOP, detail, (stop.number, answer.number))
