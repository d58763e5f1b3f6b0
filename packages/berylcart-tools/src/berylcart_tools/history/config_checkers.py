"""Check that configurations come into force, never revert and are enforced."""

from collections.abc import Iterator
from itertools import pairwise

from berylcart_tools.history import events as ev
from berylcart_tools.history.reading import (
    History,
    HistoryLine,
    Violation,
    group,
)

IN_FORCE_EVERYWHERE = (
    "an accepted configuration is in force everywhere in time"
)
NO_REVERT = "an accepted configuration never reverts"
PERMITTED_PLACES = "work runs in permitted places only"


def check_no_revert(history: History) -> Iterator[Violation]:
    """Find versions that reverted or were in force before acceptance."""
    yield from check_accepted_order(history.accepted)
    accepted_ms = {
        line.event["version"]: line.event["at_ms"] for line in history.accepted
    }
    joined = group(history.joined, lambda event: event["daemon"])
    for daemon, lines in group(
        history.in_force, lambda event: event["daemon"]
    ).items():
        starts = [line.event["at_ms"] for line in joined.get(daemon, [])]
        yield from check_daemon_versions(daemon, lines, starts)
        for line in lines:
            version, at_ms = line.event["version"], line.event["at_ms"]
            if version and accepted_ms.get(version, at_ms + 1) > at_ms:
                detail = (
                    f"{daemon} applied version {version}, which was not yet "
                    f"accepted"
                )
                yield Violation(NO_REVERT, detail, (line.number,))


def check_accepted_order(
    lines: list[HistoryLine[ev.AcceptedEvent]],
) -> Iterator[Violation]:
    """Find accepted versions that do not increase."""
    for before, after in pairwise(lines):
        if after.event["version"] <= before.event["version"]:
            numbers = (before.number, after.number)
            yield Violation(
                NO_REVERT, "accepted versions do not increase", numbers
            )


def check_daemon_versions(
    daemon: str, lines: list[HistoryLine[ev.InForceEvent]], starts: list[int]
) -> Iterator[Violation]:
    """Find reverts within one daemon process; a restart resets the order."""
    for before, after in pairwise(lines):
        old, new = before.event["version"], after.event["version"]
        is_restarted = any(
            before.event["at_ms"] < start <= after.event["at_ms"]
            for start in starts
        )
        if 0 < new < old and not is_restarted:
            detail = f"{daemon} went back from {old} to {new}"
            yield Violation(NO_REVERT, detail, (before.number, after.number))


def check_in_force(history: History) -> Iterator[Violation]:
    """Find reachable daemons that did not apply a version in time."""
    in_force_by_daemon = group(history.in_force, lambda event: event["daemon"])
    unreachable = group(history.unreachable, lambda event: event["daemon"])
    for joined in history.joined:
        daemon = joined.event["daemon"]
        unreachable_ms = [
            line.event["at_ms"]
            for line in unreachable.get(daemon, [])
            if line.event["at_ms"] >= joined.event["at_ms"]
        ]
        end_ms = min([history.last_ms, *unreachable_ms])
        for accepted in history.accepted:
            start_ms = max(joined.event["at_ms"], accepted.event["at_ms"])
            due_ms = start_ms + history.in_force_ms
            applied = highest_version(
                in_force_by_daemon[daemon], joined.event["at_ms"], due_ms
            )
            if due_ms <= end_ms and applied < accepted.event["version"]:
                detail = (
                    f"{daemon} did not apply version "
                    f"{accepted.event['version']} in time"
                )
                numbers = (accepted.number, joined.number)
                yield Violation(IN_FORCE_EVERYWHERE, detail, numbers)


def highest_version(
    in_force: list[HistoryLine[ev.InForceEvent]], start_ms: int, end_ms: int
) -> int:
    """Return the highest version applied in an interval, 0 if none."""
    versions = [
        line.event["version"]
        for line in in_force
        if start_ms <= line.event["at_ms"] <= end_ms
    ]
    return max(versions, default=0)


def check_places(history: History) -> Iterator[Violation]:
    """Find runs in places that no configuration then in force permits."""
    accepted = [line for line in history.accepted if "places" in line.event]
    for run in history.runs:
        event = run.event
        candidates = possibly_in_force(
            accepted, event["at_ms"], history.in_force_ms
        )
        if not candidates:
            continue
        permitted = {
            place
            for line in candidates
            for place in line.event["places"].get(event["workspace"], [])
        }
        if event["place"] not in permitted:
            detail = f"{event['workspace']} ran in {event['place']}"
            numbers = (*(line.number for line in candidates), run.number)
            yield Violation(PERMITTED_PLACES, detail, numbers)


def possibly_in_force(
    accepted: list[HistoryLine[ev.AcceptedEvent]],
    at_ms: int,
    in_force_ms: int,
) -> list[HistoryLine[ev.AcceptedEvent]]:
    """Return the versions possibly in force on some daemon at a time."""
    accepted_before = [
        line for line in accepted if line.event["at_ms"] <= at_ms
    ]
    if not accepted_before:
        return []
    replaced_ms = [line.event["at_ms"] for line in accepted_before[1:]]
    return [
        line
        for line, end_ms in zip(
            accepted_before, [*replaced_ms, at_ms], strict=True
        )
        if end_ms + in_force_ms >= at_ms
    ]
