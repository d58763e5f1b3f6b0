"""Predict how long the requests of a route take to their complete response."""

from collections import deque
from collections.abc import Sequence
from typing import NamedTuple

from cachetools import LRUCache

# Some seconds of one daemon's requests for a route under load.
MAX_SAMPLES = 32
# At 2.5 KB per route, 10 MB at most.
MAX_ROUTES = 4096


class ResponseTime(NamedTuple):
    """The parts of the time that a complete response took, in seconds.

    queued_s is the time from the request's arrival to its successful attempt,
    first_s that from the attempt to the first event, rest_s that from the
    first event to the end of the response.
    """

    queued_s: float
    first_s: float
    rest_s: float = 0.0


class ResponseTimes:
    """Keep the newest response times of each route.

    The time after the first event is kept per output token that the request
    allows.
    """

    def __init__(self) -> None:
        self.samples: LRUCache[str, deque[ResponseTime]] = LRUCache(MAX_ROUTES)

    def record(
        self, route: str, output_tokens: int, time: ResponseTime
    ) -> None:
        """Record the times of a complete response."""
        samples = self.samples.get(route)
        if samples is None:
            samples = self.samples[route] = deque(maxlen=MAX_SAMPLES)
        token_s = time.rest_s / max(1, output_tokens)
        samples.append(time._replace(rest_s=token_s))

    def slowest(self, route: str, output_tokens: int) -> ResponseTime | None:
        """Return the longest recent time of each part, None if unknown.

        >>> times = ResponseTimes()
        >>> times.slowest("r", 10)
        >>> times.record("r", 10, ResponseTime(0.5, 0.2, 1.0))
        >>> times.record("r", 20, ResponseTime(0.1, 0.3, 1.0))
        >>> times.slowest("r", 20)
        ResponseTime(queued_s=0.5, first_s=0.3, rest_s=2.0)
        """
        samples: Sequence[ResponseTime] = self.samples.get(route, ())
        if not samples:
            return None
        return ResponseTime(
            max(each.queued_s for each in samples),
            max(each.first_s for each in samples),
            max(each.rest_s for each in samples) * max(1, output_tokens),
        )
