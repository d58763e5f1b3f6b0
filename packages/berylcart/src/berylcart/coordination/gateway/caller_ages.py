"""Tell how long callers have waited before a request arrived."""

from collections import deque

# Enough to hold first requests also while most callers come back.
KEPT_DEADLINES = 100
# Callers name what they still wait after clocks, links and their own work.
MIN_AGE_MS = 300


class CallerAges:
    """Learn how long a route's callers wait in all.

    The load is one of callers that were refused and came back: their answer
    is due as long after the first request as anybody's.

    >>> ages = CallerAges()
    >>> [ages.age_ms("r", deadline) for deadline in (8000, 7900, 5000)]
    [0, 0, 3000]
    """

    def __init__(self) -> None:
        self.deadlines: dict[str, deque[int]] = {}

    def age_ms(self, route: str, deadline_ms: int) -> int:
        """Estimate how long ago the caller began to wait."""
        known = self.deadlines.setdefault(route, deque(maxlen=KEPT_DEADLINES))
        known.append(deadline_ms)
        age_ms = max(known) - deadline_ms
        return age_ms if age_ms >= MIN_AGE_MS else 0
