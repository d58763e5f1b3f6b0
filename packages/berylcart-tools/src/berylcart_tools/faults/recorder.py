"""Record history events with timestamps from one monotonic clock."""

import json
import time
from pathlib import Path
from typing import Any

from berylcart_tools.history.events import Event

NS_PER_MS = 1_000_000


def monotonic_ms() -> int:
    """Return the monotonic time, shared by all processes of a machine."""
    return time.monotonic_ns() // NS_PER_MS


class Recorder:
    """Collect history events and write them ordered by time."""

    def __init__(self) -> None:
        self.events: list[Event] = []
        self.send_count = 0

    def next_send_id(self) -> str:
        """Return a unique send id."""
        self.send_count += 1
        return f"s{self.send_count}"

    def add(self, event: Event) -> None:
        """Append one event."""
        self.events.append(event)

    def sorted_events(self) -> list[Event]:
        """Return the events sorted by time."""
        return sorted(self.events, key=lambda event: event["at_ms"])

    def write(self, path: Path) -> None:
        """Write the events to a file, one JSON object per line."""
        lines = [json.dumps(event) for event in self.sorted_events()]
        path.write_text("\n".join(lines) + "\n", encoding="utf-8")


def parse_log_fields(line: str) -> dict[str, str]:
    """Parse the key=value pairs of one log line.

    >>> parse_log_fields('event=standin.ran place="two words" at_ms=5')
    {'event': 'standin.ran', 'place': 'two words', 'at_ms': '5'}
    """
    pairs: dict[str, str] = {}
    remaining = line.strip()
    while remaining:
        name, separator, remaining = remaining.partition("=")
        if not separator:
            break
        if remaining.startswith('"'):
            decoder = json.JSONDecoder()
            value, end = decoder.raw_decode(remaining)
            pairs[name] = str(value)
            remaining = remaining[end:].lstrip()
        else:
            value, _, remaining = remaining.partition(" ")
            pairs[name] = value
    return pairs


def read_log_events(path: Path, name: str) -> list[dict[str, Any]]:
    """Parse the lines of a log file that carry the named event."""
    marker = f"event={name} "
    lines = path.read_text(encoding="utf-8", errors="replace").splitlines()
    return [parse_log_fields(line) for line in lines if marker in line]
