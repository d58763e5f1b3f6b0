"""Estimate the time from an engine attempt's start to its first event."""

from collections import deque
from math import ceil

from cachetools import LRUCache

from berylcart.coordination.gateway.stage_times import ENGINE_FIRST_EVENT_S

MIN_SAMPLES = 5
# Some seconds of one daemon's requests for a route under load.
MAX_SAMPLES = 32
# An order may start as late as its due time, so that a median would make half
# of the answers late; a higher quantile follows single slow attempts.
QUANTILE = 0.75
# At 300 bytes per route, 1 MB at most.
MAX_ROUTES = 4096


class FirstEventTimes:
    """Keep the newest times to the first event of each route, in seconds."""

    def __init__(self) -> None:
        self.samples: LRUCache[str, deque[float]] = LRUCache(MAX_ROUTES)

    def record(self, route: str, time_s: float) -> None:
        """Record the time to the first event of a successful attempt."""
        samples = self.samples.get(route)
        if samples is None:
            samples = self.samples[route] = deque(maxlen=MAX_SAMPLES)
        samples.append(time_s)

    def expected_s(self, route: str) -> float:
        """Return a high quantile of a route's newest times.

        >>> times = FirstEventTimes()
        >>> times.expected_s("r")
        0.4
        >>> for time_s in (0.1, 0.1, 0.1, 0.2, 0.9):
        ...     times.record("r", time_s)
        >>> times.expected_s("r")
        0.2
        """
        samples = self.samples.get(route, ())
        if len(samples) < MIN_SAMPLES:
            return ENGINE_FIRST_EVENT_S
        return sorted(samples)[ceil(QUANTILE * len(samples)) - 1]
