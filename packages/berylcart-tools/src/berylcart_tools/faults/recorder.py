"""Record a history's events on one clock."""

import json
import time
from pathlib import Path
from typing import Any

from berylcart_tools.history.events import Event

NS_PER_MS = 1_000_000


def now_ms() -> int:
    """Read the clock that all processes of one machine share."""
    return time.monotonic_ns() // NS_PER_MS


class Recorder:
    """Collect events in the order of their times."""

    def __init__(self) -> None:
        self.events: list[Event] = []
        self.sends = 0

    def next_send_id(self) -> str:
        """Name a send unlike every other."""
        self.sends += 1
        return f"s{self.sends}"

    def add(self, event: Event) -> None:
        """Add one event."""
        self.events.append(event)

    def ordered(self) -> list[Event]:
        """List the events by their time."""
        return sorted(self.events, key=lambda event: event["at_ms"])

    def write(self, path: Path) -> None:
        """Write one JSON object a line."""
        lines = [json.dumps(event) for event in self.ordered()]
        path.write_text("\n".join(lines) + "\n", encoding="utf-8")


def parse_pairs(line: str) -> dict[str, str]:
    """Read the key=value pairs of one log line.

    >>> parse_pairs('event=standin.ran place="two words" at_ms=5')
    {'event': 'standin.ran', 'place': 'two words', 'at_ms': '5'}
    """
    pairs: dict[str, str] = {}
    rest = line.strip()
    while rest:
        name, separator, rest = rest.partition("=")
        if not separator:
            break
        if rest.startswith('"'):
            decoder = json.JSONDecoder()
            value, end = decoder.raw_decode(rest)
            pairs[name] = str(value)
            rest = rest[end:].lstrip()
        else:
            value, _, rest = rest.partition(" ")
            pairs[name] = value
    return pairs


def read_events(path: Path, name: str) -> list[dict[str, Any]]:
    """Read the log lines of one event from a process's output."""
    marker = f"event={name} "
    lines = path.read_text(encoding="utf-8", errors="replace").splitlines()
    return [parse_pairs(line) for line in lines if marker in line]
