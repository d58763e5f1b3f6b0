"""Adaptive concurrency limit, driven by latency and overload refusals."""

from collections.abc import Callable
from typing import NamedTuple

import anyio

DECREASE_FACTOR = 0.9
MIN_DECREASE_FACTOR = 0.5
SMOOTHING = 0.2
SLOWDOWN_TOLERANCE = 3.0
BASELINE_WINDOW_S = 60.0
MIN_DECREASE_INTERVAL_S = 0.2
MIN_EXCESS_MS = 100.0
DEADLINE_SHARE = 0.5
MS_PER_S = 1000


class LimitSettings(NamedTuple):
    """Configure the range and the latency tolerance of the limit."""

    initial: int = 16
    lowest: int = 2
    highest: int = 512
    slowdown_tolerance: float = SLOWDOWN_TOLERANCE


class LatencyBaseline:
    """Track the minimum latency of the current and previous window."""

    def __init__(self) -> None:
        self.current_ms = float("inf")
        self.previous_ms = float("inf")
        self.started_s = 0.0

    def record(self, latency_ms: float, now_s: float) -> None:
        """Record one latency, rotating the windows when one is over."""
        if now_s - self.started_s >= BASELINE_WINDOW_S:
            self.previous_ms = self.current_ms
            self.current_ms = float("inf")
            self.started_s = now_s
        self.current_ms = min(self.current_ms, latency_ms)

    @property
    def min_ms(self) -> float:
        """Return the minimum latency of both windows."""
        return min(self.current_ms, self.previous_ms)


class AdaptiveLimit:
    """Additive-increase, multiplicative-decrease (AIMD) concurrency limit.

    The limit grows by one for as many replies as the limit itself, and
    decreases when an upstream refuses work as overloaded or when the mean
    latency is far above the minimum. Entries share the upstream pool, but
    each entry adapts its own limit independently.

    >>> limit = AdaptiveLimit(LimitSettings(initial=10), lambda: 1.0)
    >>> limit.value
    10
    >>> limit.record_overload()
    >>> limit.value
    9
    """

    def __init__(
        self,
        settings: LimitSettings = LimitSettings(),  # noqa: B008
        clock_s: Callable[[], float] = anyio.current_time,
    ) -> None:
        self.settings = settings
        self.clock_s = clock_s
        self.unrounded = float(settings.initial)
        self.baseline = LatencyBaseline()
        self.mean_ms = 0.0
        self.last_decrease_s = float("-inf")

    @property
    def value(self) -> int:
        """Return the limit rounded down."""
        return int(self.unrounded)

    def record(
        self, latency_ms: float, in_flight: int, deadline_ms: float = 0.0
    ) -> None:
        """Record one reply's latency and the number of requests in flight.

        The limit does not decrease while the mean latency is at most
        DEADLINE_SHARE of the deadline.
        """
        self.baseline.record(latency_ms, self.clock_s())
        weight = SMOOTHING if self.mean_ms else 1.0
        self.mean_ms += weight * (latency_ms - self.mean_ms)
        min_ms = self.baseline.min_ms
        max_mean_ms = max(
            self.settings.slowdown_tolerance * min_ms,
            min_ms + MIN_EXCESS_MS,
            DEADLINE_SHARE * deadline_ms,
        )
        if self.mean_ms > max_mean_ms:
            self._decrease(
                max(MIN_DECREASE_FACTOR, max_mean_ms / self.mean_ms)
            )
        elif 2 * in_flight >= self.unrounded:
            self.unrounded = min(
                self.settings.highest, self.unrounded + 1 / self.unrounded
            )

    def record_overload(self) -> None:
        """Decrease the limit after an upstream refused as overloaded."""
        self._decrease(DECREASE_FACTOR)

    def _decrease(self, factor: float) -> None:
        """Decrease the limit, at most once per mean latency."""
        now_s = self.clock_s()
        min_interval_s = max(MIN_DECREASE_INTERVAL_S, self.mean_ms / MS_PER_S)
        if now_s - self.last_decrease_s < min_interval_s:
            return
        self.last_decrease_s = now_s
        self.unrounded = max(
            self.settings.lowest, self.unrounded * min(factor, DECREASE_FACTOR)
        )
