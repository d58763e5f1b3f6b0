"""Parse a history and group its events by kind."""

from collections import defaultdict
from collections.abc import Callable, Hashable, Iterable, Iterator
from pathlib import Path
from typing import Generic, NamedTuple, TypeVar, cast

from berylcart.protocol.json_codec import describe_validation_error
from berylcart.state.errors import BerylcartError, Code
from pydantic import TypeAdapter, ValidationError

from berylcart_tools.history import events as ev

EventT = TypeVar("EventT")
KeyT = TypeVar("KeyT", bound=Hashable)

IN_FORCE_BOUND_MS = 8000

EVENT_ADAPTER: TypeAdapter[ev.AnyEvent] = TypeAdapter(ev.Event)


class HistoryLine(NamedTuple, Generic[EventT]):
    """Pair an event with its line number in the file."""

    number: int
    event: EventT


class Violation(NamedTuple):
    """Describe a violated guarantee and the lines that prove the violation."""

    promise: str
    detail: str
    lines: tuple[int, ...]


def group(
    lines: Iterable[HistoryLine[EventT]], key: Callable[[EventT], KeyT]
) -> dict[KeyT, list[HistoryLine[EventT]]]:
    """Group events by a key, preserving their order."""
    groups: dict[KeyT, list[HistoryLine[EventT]]] = defaultdict(list)
    for line in lines:
        groups[key(line.event)].append(line)
    return groups


class History:
    """Group the events of a history by kind, sorted by time.

    in_force_ms is the time limit for an accepted configuration to come into
    force on every reachable daemon.
    """

    def __init__(
        self,
        lines: Iterable[HistoryLine[ev.AnyEvent]],
        in_force_ms: int = IN_FORCE_BOUND_MS,
    ) -> None:
        self.in_force_ms = in_force_ms
        ordered = sorted(lines, key=lambda line: line.event["at_ms"])
        self.kinds: dict[str, list[HistoryLine[ev.AnyEvent]]] = {}
        for line in ordered:
            self.kinds.setdefault(line.event["kind"], []).append(line)
        self.count = len(ordered)
        self.last_ms = ordered[-1].event["at_ms"] if ordered else 0
        self.sends = cast(list[HistoryLine[ev.SendEvent]], self.kind("send"))
        self.answers = cast(
            list[HistoryLine[ev.AnswerEvent]], self.kind("answer")
        )
        self.runs = cast(list[HistoryLine[ev.RunEvent]], self.kind("run"))
        self.results = cast(
            list[HistoryLine[ev.StageResultEvent]], self.kind("stage_result")
        )
        self.used = cast(
            list[HistoryLine[ev.StageUsedEvent]], self.kind("stage_used")
        )
        self.leaving = cast(
            list[HistoryLine[ev.LeavingEvent]], self.kind("leaving")
        )
        self.stops = cast(
            list[HistoryLine[ev.StopPlannedEvent]], self.kind("stop_planned")
        )
        self.deaths = cast(list[HistoryLine[ev.DiedEvent]], self.kind("died"))
        self.accepted = cast(
            list[HistoryLine[ev.AcceptedEvent]], self.kind("accepted")
        )
        self.in_force = cast(
            list[HistoryLine[ev.InForceEvent]], self.kind("in_force")
        )
        self.joined = cast(
            list[HistoryLine[ev.JoinedEvent]], self.kind("joined")
        )
        self.unreachable = cast(
            list[HistoryLine[ev.UnreachableEvent]], self.kind("unreachable")
        )

    def kind(self, name: str) -> list[HistoryLine[ev.AnyEvent]]:
        """Return the events of one kind."""
        return self.kinds.get(name, [])


def read_lines(path: Path) -> list[str]:
    """Read the lines of a UTF-8 file; raises BAD_REQUEST on failure."""
    try:
        return path.read_text(encoding="utf-8").splitlines()
    except OSError as error:
        detail = error.strerror or "can't be read"
    except UnicodeDecodeError:
        detail = "not UTF-8"
    raise BerylcartError(Code.BAD_REQUEST, detail)


def read_history(
    texts: Iterable[str], in_force_ms: int = IN_FORCE_BOUND_MS
) -> History:
    """Parse a history; raises BAD_REQUEST with the first invalid line."""
    return History(parse_lines(texts), in_force_ms)


def parse_lines(texts: Iterable[str]) -> Iterator[HistoryLine[ev.AnyEvent]]:
    """Parse one event per line, skipping blank lines."""
    for number, text in enumerate(texts, 1):
        if not text.strip():
            continue
        try:
            yield HistoryLine(
                number, EVENT_ADAPTER.validate_json(text, strict=True)
            )
        except ValidationError as error:
            raise BerylcartError(
                Code.BAD_REQUEST,
                f"line {number}: {describe_validation_error(error)}",
            ) from error
