"""Measure the arrival and completion rates of a queue of pieces."""

from collections import deque

from berylcart.clock import now_s

# Spans a few calls of each replica.
RATE_WINDOW_S = 2.0


class SlidingWindowRate:
    """Measure a rate over a sliding window."""

    def __init__(self) -> None:
        self.events: deque[tuple[float, int]] = deque()

    def record(self, count: int) -> None:
        """Add a number of events that happened now."""
        self.events.append((now_s(), count))

    def per_s(self) -> float:
        """Return the mean rate over the window."""
        oldest_s = now_s() - RATE_WINDOW_S
        while self.events and self.events[0][0] < oldest_s:
            self.events.popleft()
        return sum(count for _, count in self.events) / RATE_WINDOW_S


class QueueRates:
    """Hold the completion and arrival rates of one queue."""

    def __init__(self) -> None:
        self.completed = SlidingWindowRate()
        self.arrived = SlidingWindowRate()
        self.backlogged_since_s: float | None = None

    def update_queue_state(self, is_empty: bool) -> None:
        """Record since when the queue has not been empty."""
        if is_empty:
            self.backlogged_since_s = None
        elif self.backlogged_since_s is None:
            self.backlogged_since_s = now_s()

    def completion_rate(self) -> float | None:
        """Return the completion rate, None unless backlogged for a window.

        Memory for results can limit the rate to less than call durations
        imply.
        """
        oldest_s = now_s() - RATE_WINDOW_S
        if (
            self.backlogged_since_s is None
            or self.backlogged_since_s > oldest_s
        ):
            return None
        return max(1 / RATE_WINDOW_S, self.completed.per_s())
