"""Measure how fast a queue of pieces is filled and emptied."""

from collections import deque

from berylcart.clock import now_s

# A few calls of each replica.
RATE_WINDOW_S = 2.0


class RecentSum:
    """Sum what happened within the window."""

    def __init__(self) -> None:
        self.events: deque[tuple[float, int]] = deque()

    def note(self, count: int) -> None:
        """Take what happened now."""
        self.events.append((now_s(), count))

    def per_s(self) -> float:
        """Give the mean rate over the window."""
        oldest_s = now_s() - RATE_WINDOW_S
        while self.events and self.events[0][0] < oldest_s:
            self.events.popleft()
        return sum(count for _, count in self.events) / RATE_WINDOW_S


class QueueRates:
    """Hold the rates of one queue."""

    def __init__(self) -> None:
        self.made = RecentSum()
        self.arrived = RecentSum()
        self.queued_since_s: float | None = None

    def note_queue(self, is_empty: bool) -> None:
        """Note since when there is always work that waits."""
        if is_empty:
            self.queued_since_s = None
        elif self.queued_since_s is None:
            self.queued_since_s = now_s()

    def measured(self) -> float | None:
        """Give the pieces a second behind a queue, None without one.

        Room for results may allow less than the calls' time does.
        """
        oldest_s = now_s() - RATE_WINDOW_S
        if self.queued_since_s is None or self.queued_since_s > oldest_s:
            return None
        return max(1 / RATE_WINDOW_S, self.made.per_s())
