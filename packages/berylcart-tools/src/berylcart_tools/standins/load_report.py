"""Report an upstream's load with a delay."""

from collections import deque
from typing import NamedTuple

from berylcart_tools.standins.clock import now_ms


class Load(NamedTuple):
    """Count the running and the queued attempts of an upstream."""

    in_flight: int
    queued: int


class DelayedLoad:
    """Report the load as it was lag_ms ago."""

    def __init__(self, lag_ms: int) -> None:
        self.lag_ms = lag_ms
        self.pending: deque[tuple[int, Load]] = deque()
        self.visible = Load(0, 0)

    def add_sample(self, load: Load) -> None:
        """Add a sample of the current load."""
        self.advance()
        self.pending.append((now_ms(), load))

    def advance(self) -> int:
        """Make samples from before the lag visible; return the cutoff time."""
        as_of_ms = now_ms() - self.lag_ms
        while self.pending and self.pending[0][0] <= as_of_ms:
            _, self.visible = self.pending.popleft()
        return as_of_ms

    def report(self) -> tuple[int, Load]:
        """Return the time lag_ms ago and the load at that time."""
        as_of_ms = self.advance()
        return as_of_ms, self.visible
