"""Adapt a limit of concurrent work to what the upstreams can take."""

from collections.abc import Callable
from typing import NamedTuple

import anyio

DECREASE_FACTOR = 0.9
LEAST_FACTOR = 0.5
SMOOTHING = 0.2
SLOWDOWN_TOLERANCE = 3.0
BASELINE_WINDOW_S = 60.0
HOLD_S = 0.2
LEAST_EXCESS_MS = 100.0
DEADLINE_SHARE = 0.5
MS_PER_S = 1000


class LimitSettings(NamedTuple):
    """Bound the adaptive limit."""

    initial: int = 16
    lowest: int = 2
    highest: int = 512
    slowdown_tolerance: float = SLOWDOWN_TOLERANCE


class Baseline:
    """Track the least latency of the last one to two windows."""

    def __init__(self) -> None:
        self.current_ms = float("inf")
        self.previous_ms = float("inf")
        self.started_s = 0.0

    def note(self, latency_ms: float, now_s: float) -> None:
        """Take in one latency."""
        if now_s - self.started_s >= BASELINE_WINDOW_S:
            self.previous_ms = self.current_ms
            self.current_ms = float("inf")
            self.started_s = now_s
        self.current_ms = min(self.current_ms, latency_ms)

    @property
    def least_ms(self) -> float:
        """Give the least latency seen."""
        return min(self.current_ms, self.previous_ms)


class AdaptiveLimit:
    """Raise the limit by one per limit's worth of answers, cut it on strain.

    Strain is a refusal by an upstream, or a mean latency far above the
    least. Every entry adapts on its own to the pool that all share.

    >>> limit = AdaptiveLimit(LimitSettings(initial=10), lambda: 1.0)
    >>> limit.value
    10
    >>> limit.note_strain()
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
        self.exact = float(settings.initial)
        self.baseline = Baseline()
        self.mean_ms = 0.0
        self.cut_s = float("-inf")

    @property
    def value(self) -> int:
        """Give the limit as a whole number."""
        return int(self.exact)

    def note(
        self, latency_ms: float, in_flight: int, deadline_ms: float = 0.0
    ) -> None:
        """Take in one answer's latency and how much was in flight.

        Latencies well within the deadline are no strain.
        """
        self.baseline.note(latency_ms, self.clock_s())
        weight = SMOOTHING if self.mean_ms else 1.0
        self.mean_ms += weight * (latency_ms - self.mean_ms)
        least_ms = self.baseline.least_ms
        bound_ms = max(
            self.settings.slowdown_tolerance * least_ms,
            least_ms + LEAST_EXCESS_MS,
            DEADLINE_SHARE * deadline_ms,
        )
        if self.mean_ms > bound_ms:
            self._cut(max(LEAST_FACTOR, bound_ms / self.mean_ms))
        elif 2 * in_flight >= self.exact:
            self.exact = min(
                self.settings.highest, self.exact + 1 / self.exact
            )

    def note_strain(self) -> None:
        """Take in an upstream's refusal as overloaded."""
        self._cut(DECREASE_FACTOR)

    def _cut(self, factor: float) -> None:
        """Cut the limit, at most once in the time an answer takes."""
        now_s = self.clock_s()
        hold_s = max(HOLD_S, self.mean_ms / MS_PER_S)
        if now_s - self.cut_s < hold_s:
            return
        self.cut_s = now_s
        self.exact = max(
            self.settings.lowest, self.exact * min(factor, DECREASE_FACTOR)
        )
