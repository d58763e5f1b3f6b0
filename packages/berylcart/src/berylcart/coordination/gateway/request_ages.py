"""Estimate how long callers waited before a request, by its deadline."""

from collections import deque
from collections.abc import Sequence
from statistics import median_high

# Large enough to include first requests while most requests are retries.
MAX_DEADLINE_SAMPLES = 100
# The deadline header is reduced by clock differences, network latency and the
# caller's own processing, so smaller differences are ignored.
MIN_AGE_MS = 300
# With fewer deadlines, their spread is not estimated from the samples.
MIN_DEADLINE_SAMPLES = 20
# Relative spread of first requests' deadlines that is assumed until then:
# twice the spread among callers in the users' deployments.
DEFAULT_SPREAD = 0.3


class RequestAgeEstimator:
    """Estimate the age of requests from the deadlines seen on their route.

    A caller that was refused and retries sends a shorter remaining deadline
    than on its first request, while its response is still due at the same
    time. The callers' own timeouts vary symmetrically around the usual one, so
    a deadline counts as that of a retry only if it lies below this range.

    >>> estimator = RequestAgeEstimator()
    >>> first = [estimator.age_ms("r", each) for each in [8000, 7900] * 10]
    >>> any(first), estimator.age_ms("r", 5000)
    (False, 2900)
    """

    def __init__(self) -> None:
        self.deadlines: dict[str, deque[int]] = {}

    def age_ms(self, route: str, deadline_ms: int) -> int:
        """Return the time since the caller's first request, 0 if unknown."""
        samples = self.deadlines.setdefault(
            route, deque(maxlen=MAX_DEADLINE_SAMPLES)
        )
        samples.append(deadline_ms)
        median_ms = median_high(samples)
        age_ms = median_ms - deadline_ms
        return (
            age_ms if age_ms > deadline_spread_ms(samples) + MIN_AGE_MS else 0
        )


def deadline_spread_ms(deadlines: Sequence[int]) -> float:
    """Estimate how far deadlines of first requests lie below the median.

    Retries also lie below the median but never above it, so the spread above
    the median is that of first requests.

    >>> deadline_spread_ms([8000] * 19 + [9000])
    1000
    >>> deadline_spread_ms([8000])
    2400.0
    """
    median_ms = median_high(deadlines)
    if len(deadlines) < MIN_DEADLINE_SAMPLES:
        return DEFAULT_SPREAD * median_ms
    return max(deadlines) - median_ms
