"""Report an upstream's load with a lag."""

from collections import deque
from typing import NamedTuple

from berylcart_tools.standins.clock import now_ms


class Load(NamedTuple):
    """Count the attempts that run and those that wait."""

    in_flight: int
    queued: int


class LaggingLoad:
    """Show the load as it was some time ago."""

    def __init__(self, lag_ms: int) -> None:
        self.lag_ms = lag_ms
        self.pending: deque[tuple[int, Load]] = deque()
        self.shown = Load(0, 0)

    def note(self, load: Load) -> None:
        """Take the load of this moment."""
        self.settle()
        self.pending.append((now_ms(), load))

    def settle(self) -> int:
        """Move to the latest load that is old enough, and give its time."""
        as_of_ms = now_ms() - self.lag_ms
        while self.pending and self.pending[0][0] <= as_of_ms:
            _, self.shown = self.pending.popleft()
        return as_of_ms

    def report(self) -> tuple[int, Load]:
        """Give the time shown and the load at that time."""
        as_of_ms = self.settle()
        return as_of_ms, self.shown
