"""Latency quantiles of each service over a sliding time window."""

from collections.abc import Callable
from typing import NamedTuple

import anyio
from cachetools import LRUCache
from hdrh.histogram import HdrHistogram

WINDOW_S = 10.0
REFRESH_S = 0.5
MAX_SERVICES = 256
MIN_SAMPLES = 8
HISTOGRAM_UNITS_PER_MS = 10
MAX_LATENCY_MS = 600_000
SIGNIFICANT_DIGITS = 2


class CachedQuantile(NamedTuple):
    """Hold a quantile and the time at which it was computed."""

    value_ms: float | None
    computed_s: float


class LatencyWindow:
    """Hold the histograms of the current and the previous window."""

    def __init__(self, now_s: float) -> None:
        self.current = create_histogram()
        self.previous = create_histogram()
        self.started_s = now_s
        self.quantiles: dict[float, CachedQuantile] = {}

    def rotate_if_due(self, now_s: float, window_s: float) -> None:
        """Rotate the histograms if the current window is over."""
        elapsed_s = now_s - self.started_s
        if elapsed_s < window_s:
            return
        self.previous.reset()
        if elapsed_s < 2 * window_s:
            self.current, self.previous = self.previous, self.current
        else:
            self.current.reset()
        self.started_s = now_s

    def quantile_ms(self, q: float) -> float | None:
        """Compute a quantile of both windows, None below MIN_SAMPLES."""
        count = self.current.total_count + self.previous.total_count
        if count < MIN_SAMPLES:
            return None
        merged = create_histogram()
        merged.add(self.previous)
        merged.add(self.current)
        units = merged.get_value_at_percentile(q * 100)
        return float(units) / HISTOGRAM_UNITS_PER_MS


def create_histogram() -> HdrHistogram:
    """Create an empty histogram with a unit of 0.1 ms."""
    return HdrHistogram(
        1, MAX_LATENCY_MS * HISTOGRAM_UNITS_PER_MS, SIGNIFICANT_DIGITS
    )


class LatencyTable:
    """Compute latency quantiles of services from recent samples.

    >>> table = LatencyTable(clock_s=lambda: 0.0)
    >>> table.quantile_ms("encoder", 0.5, default_ms=20)
    20
    >>> for latency_ms in range(1, 101):
    ...     table.record("encoder", latency_ms)
    >>> table.quantile_ms("encoder", 0.5, default_ms=20)
    50.1
    """

    def __init__(
        self,
        window_s: float = WINDOW_S,
        clock_s: Callable[[], float] = anyio.current_time,
    ) -> None:
        self.window_s = window_s
        self.clock_s = clock_s
        self.windows: LRUCache[str, LatencyWindow] = LRUCache(MAX_SERVICES)

    def record(self, service: str, latency_ms: float) -> None:
        """Add one latency sample to a service's current window."""
        now_s = self.clock_s()
        window = self.windows.get(service)
        if window is None:
            window = LatencyWindow(now_s)
            self.windows[service] = window
        window.rotate_if_due(now_s, self.window_s)
        bounded_ms = min(max(latency_ms, 0.1), MAX_LATENCY_MS)
        window.current.record_value(round(bounded_ms * HISTOGRAM_UNITS_PER_MS))

    def quantile_ms(self, service: str, q: float, default_ms: float) -> float:
        """Return a quantile, or the default below MIN_SAMPLES samples."""
        window = self.windows.get(service)
        if window is None:
            return default_ms
        now_s = self.clock_s()
        cached = window.quantiles.get(q)
        if cached is None or is_stale(cached, now_s):
            window.rotate_if_due(now_s, self.window_s)
            cached = CachedQuantile(window.quantile_ms(q), now_s)
            window.quantiles[q] = cached
        return default_ms if cached.value_ms is None else cached.value_ms


def is_stale(cached: CachedQuantile, now_s: float) -> bool:
    """Tell whether a cached quantile must be recomputed.

    >>> is_stale(CachedQuantile(5.0, 10.0), 10.4)
    False
    >>> is_stale(CachedQuantile(None, 10.0), 10.0)
    True
    """
    if cached.value_ms is None:
        return True
    return now_s - cached.computed_s >= REFRESH_S
