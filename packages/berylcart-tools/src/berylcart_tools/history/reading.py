"""Read a history and index its events by kind."""

from collections import defaultdict
from collections.abc import Callable, Hashable, Iterable, Iterator
from pathlib import Path
from typing import Generic, NamedTuple, TypeVar, cast

from berylcart.protocol.json_values import describe_fault
from berylcart.state.errors import BerylcartError, Code
from pydantic import TypeAdapter, ValidationError

from berylcart_tools.history import events as ev

E = TypeVar("E")
K = TypeVar("K", bound=Hashable)

IN_FORCE_MS = 8000

ADAPTER: TypeAdapter[ev.EventUnion] = TypeAdapter(ev.Event)


class Line(NamedTuple, Generic[E]):
    """Hold one event and the number of its line."""

    number: int
    event: E


class Violation(NamedTuple):
    """Name a broken promise, how it was broken and the lines that show it."""

    promise: str
    detail: str
    lines: tuple[int, ...]


def group(
    lines: Iterable[Line[E]], key: Callable[[E], K]
) -> dict[K, list[Line[E]]]:
    """Group lines by a key of their events, in order."""
    groups: dict[K, list[Line[E]]] = defaultdict(list)
    for line in lines:
        groups[key(line.event)].append(line)
    return groups


class History:
    """Hold a history's events by kind, each kind in order of time.

    in_force_ms bounds how long an accepted configuration takes to come into
    force on every reachable daemon.
    """

    def __init__(
        self,
        lines: Iterable[Line[ev.EventUnion]],
        in_force_ms: int = IN_FORCE_MS,
    ) -> None:
        self.in_force_ms = in_force_ms
        ordered = sorted(lines, key=lambda line: line.event["at_ms"])
        self.kinds: dict[str, list[Line[ev.EventUnion]]] = {}
        for line in ordered:
            self.kinds.setdefault(line.event["kind"], []).append(line)
        self.count = len(ordered)
        self.last_ms = ordered[-1].event["at_ms"] if ordered else 0
        self.sends = cast(list[Line[ev.Send]], self.kind("send"))
        self.answers = cast(list[Line[ev.Answer]], self.kind("answer"))
        self.runs = cast(list[Line[ev.Run]], self.kind("run"))
        self.results = cast(
            list[Line[ev.StageResult]], self.kind("stage_result")
        )
        self.used = cast(list[Line[ev.StageUsed]], self.kind("stage_used"))
        self.leaving = cast(list[Line[ev.Leaving]], self.kind("leaving"))
        self.stops = cast(
            list[Line[ev.StopPlanned]], self.kind("stop_planned")
        )
        self.deaths = cast(list[Line[ev.Died]], self.kind("died"))
        self.accepted = cast(list[Line[ev.Accepted]], self.kind("accepted"))
        self.in_force = cast(list[Line[ev.InForce]], self.kind("in_force"))
        self.joined = cast(list[Line[ev.Joined]], self.kind("joined"))
        self.unreachable = cast(
            list[Line[ev.Unreachable]], self.kind("unreachable")
        )

    def kind(self, name: str) -> list[Line[ev.EventUnion]]:
        """Give the events of one kind."""
        return self.kinds.get(name, [])


def read_lines(path: Path) -> list[str]:
    """Read a file's lines; raises BAD_REQUEST if it can't be read."""
    try:
        return path.read_text(encoding="utf-8").splitlines()
    except OSError as error:
        detail = error.strerror or "can't be read"
    except UnicodeDecodeError:
        detail = "not UTF-8"
    raise BerylcartError(Code.BAD_REQUEST, detail)


def read_history(
    texts: Iterable[str], in_force_ms: int = IN_FORCE_MS
) -> History:
    """Read a history; raises BAD_REQUEST naming the first faulty line."""
    return History(parse_lines(texts), in_force_ms)


def parse_lines(texts: Iterable[str]) -> Iterator[Line[ev.EventUnion]]:
    """Parse one event a line; blank lines are skipped."""
    for number, text in enumerate(texts, 1):
        if not text.strip():
            continue
        try:
            yield Line(number, ADAPTER.validate_json(text, strict=True))
        except ValidationError as error:
            raise BerylcartError(
                Code.BAD_REQUEST, f"line {number}: {describe_fault(error)}"
            ) from error
