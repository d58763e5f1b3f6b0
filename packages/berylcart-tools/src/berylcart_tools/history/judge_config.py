"""Judge that configurations come into force, stay, and are obeyed."""

from collections.abc import Iterator
from itertools import pairwise

from berylcart_tools.history import events as ev
from berylcart_tools.history.reading import History, Line, Violation, group

IN_FORCE = "an accepted configuration is in force everywhere in time"
NEVER_BACK = "an accepted configuration never reverts"
PLACES = "work runs in permitted places only"


def judge_never_back(history: History) -> Iterator[Violation]:
    """Find versions that went back or that nobody accepted yet."""
    yield from judge_accepted(history.accepted)
    accepted_ms = {
        line.event["version"]: line.event["at_ms"] for line in history.accepted
    }
    joined = group(history.joined, lambda event: event["daemon"])
    for daemon, lines in group(
        history.in_force, lambda event: event["daemon"]
    ).items():
        starts = [line.event["at_ms"] for line in joined.get(daemon, [])]
        yield from judge_daemon(daemon, lines, starts)
        for line in lines:
            version, at_ms = line.event["version"], line.event["at_ms"]
            if version and accepted_ms.get(version, at_ms + 1) > at_ms:
                detail = f"{daemon} acts upon {version}, not accepted yet"
                yield Violation(NEVER_BACK, detail, (line.number,))


def judge_accepted(lines: list[Line[ev.Accepted]]) -> Iterator[Violation]:
    """Find accepted versions that do not rise."""
    for before, after in pairwise(lines):
        if after.event["version"] <= before.event["version"]:
            numbers = (before.number, after.number)
            yield Violation(NEVER_BACK, "versions do not rise", numbers)


def judge_daemon(
    daemon: str, lines: list[Line[ev.InForce]], starts: list[int]
) -> Iterator[Violation]:
    """Find steps back of one process; a new process begins anew."""
    for before, after in pairwise(lines):
        old, new = before.event["version"], after.event["version"]
        is_anew = any(
            before.event["at_ms"] < start <= after.event["at_ms"]
            for start in starts
        )
        if 0 < new < old and not is_anew:
            detail = f"{daemon} went back from {old} to {new}"
            yield Violation(NEVER_BACK, detail, (before.number, after.number))


def judge_in_force(history: History) -> Iterator[Violation]:
    """Find daemons that were reachable and did not act upon a version."""
    forces = group(history.in_force, lambda event: event["daemon"])
    gone = group(history.unreachable, lambda event: event["daemon"])
    for joined in history.joined:
        daemon = joined.event["daemon"]
        gone_ms = [
            line.event["at_ms"]
            for line in gone.get(daemon, [])
            if line.event["at_ms"] >= joined.event["at_ms"]
        ]
        end_ms = min([history.last_ms, *gone_ms])
        for accepted in history.accepted:
            start_ms = max(joined.event["at_ms"], accepted.event["at_ms"])
            due_ms = start_ms + history.in_force_ms
            acted = newest_version(
                forces[daemon], joined.event["at_ms"], due_ms
            )
            if due_ms <= end_ms and acted < accepted.event["version"]:
                detail = f"{daemon} lacks {accepted.event['version']}"
                numbers = (accepted.number, joined.number)
                yield Violation(IN_FORCE, detail, numbers)


def newest_version(
    forces: list[Line[ev.InForce]], from_ms: int, to_ms: int
) -> int:
    """Give the newest version acted upon within a span, 0 for none."""
    versions = [
        line.event["version"]
        for line in forces
        if from_ms <= line.event["at_ms"] <= to_ms
    ]
    return max(versions, default=0)


def judge_places(history: History) -> Iterator[Violation]:
    """Find runs where no recent configuration permits the workspace."""
    accepted = [line for line in history.accepted if "places" in line.event]
    for run in history.runs:
        event = run.event
        recent = recent_versions(accepted, event["at_ms"], history.in_force_ms)
        if not recent:
            continue
        permitted = {
            place
            for line in recent
            for place in line.event["places"].get(event["workspace"], [])
        }
        if event["place"] not in permitted:
            detail = f"{event['workspace']} ran in {event['place']}"
            numbers = (*(line.number for line in recent), run.number)
            yield Violation(PLACES, detail, numbers)


def recent_versions(
    accepted: list[Line[ev.Accepted]], at_ms: int, in_force_ms: int
) -> list[Line[ev.Accepted]]:
    """List the versions that may still be in force somewhere at a time."""
    known = [line for line in accepted if line.event["at_ms"] <= at_ms]
    if not known:
        return []
    replaced_ms = [line.event["at_ms"] for line in known[1:]]
    return [
        line
        for line, end_ms in zip(known, [*replaced_ms, at_ms], strict=True)
        if end_ms + in_force_ms >= at_ms
    ]
