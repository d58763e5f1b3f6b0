"""Decide when a slow request gets a hedged second attempt.

Hedging reduces the tail latency of repeatable requests of which a few reach a
replica that is slow for a moment.
"""

from collections import deque
from collections.abc import Callable, Sequence
from enum import StrEnum
from functools import reduce
from math import ceil, inf
from statistics import median
from typing import NamedTuple

from cachetools import LRUCache

from berylcart import clock
from berylcart.coordination.gateway.retry_window import RetryWindow
from berylcart.coordination.policy.load_table import ReplicaKey, replica_key
from berylcart.state.errors import (
    BerylcartError,
    InputsGoneError,
    UnreachableError,
)
from berylcart.state.request import strongest
from berylcart.state.vm import Vm

MS_PER_S = 1000
# Latency quantile after which a second attempt starts; required by
# docs/design/hard-load.md, as is the minimum number of samples.
DELAY_QUANTILE = 0.95
MIN_SAMPLES = 20
# Leaves six samples above the quantile and takes about 10 KB per key.
MAX_SAMPLES = 128
# A service with 20 requests a minute just reaches MIN_SAMPLES.
WINDOW_S = 60.0
# Sorting 128 samples takes about 10 us, which is negligible twice a second.
REFRESH_S = 0.5
# Resolution of the event loop's timers.
MIN_DELAY_MS = 1.0
# A service counts as overloaded above this multiple of its usual median
# latency.
OVERLOAD_FACTOR = 2.0
# The default retry window of the settings.
RECENT_S = 10.0
# Half an hour (of RECENT_S periods): an overload that lasts for less than half
# of it does not change the usual median.
USUAL_PERIODS = 180
# With fewer samples, single slow responses dominate the median.
MIN_RECENT = 5
# Four times the retry delay of a refused caller (REFUSED_RETRY_AFTER_MS).
REFUSAL_S = 2.0
# 2**24 tokens, more than the context length of any engine.
MAX_SIZE_CLASS = 24
# At 10 KB per key, 2.5 MB at most.
MAX_KEYS = 256
# Several times the number of replicas of the largest deployment.
MAX_REPLICAS = 4096


class HedgeOutcome(StrEnum):
    """How a second attempt ended.

    An aborted attempt won and then failed midway. A cut attempt ended with its
    request: the client disconnected, the deadline passed or the daemon
    stopped.
    """

    WON = "won"
    LOST = "lost"
    FAILED = "failed"
    ABORTED = "aborted"
    CUT = "cut"


class HedgeSkipReason(StrEnum):
    """Why a slow request got no second attempt."""

    OVERLOAD = "overload"
    REFUSALS = "refusals"
    BUDGET = "budget"
    NO_REPLICA = "no_replica"


class TimeKey(NamedTuple):
    """Key of requests with a similar time to the first byte.

    The first byte of a buffered response is sent once the response is
    complete, that of a stream before.
    """

    service: str
    is_stream: bool
    size_class: int


def size_class(tokens: int) -> int:
    """Return the size class of a prompt; each spans a factor of two.

    >>> [size_class(each) for each in (0, 1, 1000, 1023, 1024)]
    [0, 1, 10, 10, 11]
    """
    return min(MAX_SIZE_CLASS, max(0, tokens).bit_length())


def nearest_rank(ordered: Sequence[float], q: float) -> float:
    """Return the q-quantile of sorted samples by the nearest-rank method.

    >>> nearest_rank(range(1, 21), 0.95)
    19
    """
    return ordered[max(0, ceil(q * len(ordered)) - 1)]


def merge_failures(failures: Sequence[BerylcartError]) -> BerylcartError:
    """Combine the failures of all attempts into one error.

    Lost inputs take precedence, as they must be recomputed in any case. The
    error's ran is the strongest of all: Ran.NO requires that no attempt was
    executed.

    >>> from berylcart.state.errors import Code, Ran, UpstreamError
    >>> reset = UpstreamError(Code.UPSTREAM_FAILED, "reset", ran=Ran.UNKNOWN)
    >>> merge_failures([reset, UnreachableError("refused")]).detail
    'reset'
    >>> merge_failures([InputsGoneError(), reset]).ran
    <Ran.UNKNOWN: 'unknown'>
    """
    ran = reduce(strongest, (each.ran for each in failures))

    def weight(error: BerylcartError) -> tuple[bool, bool, bool]:
        return (
            isinstance(error, InputsGoneError),
            error.ran is ran,
            not isinstance(error, UnreachableError),
        )

    error = max(reversed(failures), key=weight)
    error.ran = ran
    return error


class LatencySamples:
    """Recent latencies of one key, and their quantile.

    >>> times = LatencySamples()
    >>> for number in range(20):
    ...     times.add(float(number), 5.0)
    >>> times.quantile_ms(5.0), times.quantile_ms(5.0 + WINDOW_S + 1)
    (18.0, None)
    """

    def __init__(self) -> None:
        self.samples: deque[tuple[float, float]] = deque(maxlen=MAX_SAMPLES)
        self.value_ms: float | None = None
        self.computed_s = -inf

    def add(self, time_ms: float, now_s: float) -> None:
        """Add a latency."""
        self.samples.append((now_s, time_ms))

    def quantile_ms(self, now_s: float) -> float | None:
        """Return the DELAY_QUANTILE, None with too few samples."""
        if now_s - self.computed_s >= REFRESH_S or self.value_ms is None:
            self.drop_old(now_s - WINDOW_S)
            self.value_ms = None
            if len(self.samples) >= MIN_SAMPLES:
                ordered = sorted(time_ms for _, time_ms in self.samples)
                self.value_ms = nearest_rank(ordered, DELAY_QUANTILE)
            self.computed_s = now_s
        return self.value_ms

    def drop_old(self, oldest_s: float) -> None:
        """Drop samples older than a time."""
        while self.samples and self.samples[0][0] < oldest_s:
            self.samples.popleft()


class LatencyTrend:
    """Compare a service's recent median latency with its usual one.

    >>> trend = LatencyTrend(0.0)
    >>> for second in range(30):
    ...     trend.add(100.0, float(second))
    >>> trend.has_risen(29.0)
    False
    >>> for second in range(30, 40):
    ...     trend.add(300.0, float(second))
    >>> trend.has_risen(39.0)
    True
    """

    def __init__(self, now_s: float) -> None:
        self.recent = LatencySamples()
        self.period_s = now_s
        self.medians: deque[float] = deque(maxlen=USUAL_PERIODS)

    def add(self, time_ms: float, now_s: float) -> None:
        """Add a latency and close the current period if it is over."""
        if now_s - self.period_s >= RECENT_S:
            if len(self.recent.samples) >= MIN_RECENT:
                self.medians.append(self.recent_ms())
            self.period_s = now_s
            self.recent.drop_old(now_s - RECENT_S)
        self.recent.add(time_ms, now_s)

    def recent_ms(self) -> float:
        """Return the median of the recent latencies."""
        return median(time_ms for _, time_ms in self.recent.samples)

    def has_risen(self, now_s: float) -> bool:
        """Return whether the recent median far exceeds the usual one."""
        self.recent.drop_old(now_s - RECENT_S)
        if not self.medians or len(self.recent.samples) < MIN_RECENT:
            return False
        return self.recent_ms() > OVERLOAD_FACTOR * median(self.medians)


class HedgingPolicy:
    """Decide on second attempts by recent latencies, refusals and a budget.

    share is the fraction of a service's requests in the retry window that may
    get a second attempt. Each of them also counts against the retry budget.
    """

    def __init__(self, share: float, budget: RetryWindow) -> None:
        self.budget = budget
        self.window = budget.part(share)
        self.times: LRUCache[TimeKey, LatencySamples] = LRUCache(MAX_KEYS)
        self.trends: LRUCache[str, LatencyTrend] = LRUCache(MAX_KEYS)
        self.last_refusal_s: LRUCache[str, float] = LRUCache(MAX_KEYS)
        # The start of the first late attempt since a replica's last response.
        self.silent_since_s: LRUCache[ReplicaKey, float] = LRUCache(
            MAX_REPLICAS
        )
        self.on_outcome: Callable[[str, HedgeOutcome], None] = lambda *_: None
        self.on_hedge_skipped: Callable[[str, HedgeSkipReason], None] = (
            lambda *_: None
        )

    def delay_ms(self, key: TimeKey) -> float | None:
        """Return the delay before a second attempt, None to send none."""
        times = self.times.get(key)
        value_ms = None if times is None else times.quantile_ms(clock.now_s())
        return None if value_ms is None else max(MIN_DELAY_MS, value_ms)

    def record_first_byte(self, key: TimeKey, vm: Vm, time_ms: float) -> None:
        """Record the time to the first byte of a response."""
        self.record_response(vm)
        self.add_latency(key, time_ms)

    def record_response(self, vm: Vm) -> None:
        """Record that a replica responds, with whatever status."""
        self.silent_since_s.pop(replica_key(vm), None)

    def record_refusal(self, vm: Vm) -> None:
        """Record that a replica refused a request."""
        self.record_response(vm)
        self.last_refusal_s[vm.service] = clock.now_s()

    def record_silence(
        self, key: TimeKey, vm: Vm, started_s: float, silence_timeout_s: float
    ) -> bool:
        """Record an attempt that ended before its first byte.

        Returns whether the replica has stalled: it has sent no response for as
        long as an attempt without hedging would wait. Losing attempts count
        together, as each of them is cancelled too early to detect a stall by
        itself.
        """
        now_s = clock.now_s()
        elapsed_ms = (now_s - started_s) * MS_PER_S
        delay_ms = self.delay_ms(key)
        if delay_ms is not None and elapsed_ms < delay_ms:
            return False
        # A lower bound, as the first byte would have arrived later. Without
        # this sample the quantile would fall with each second attempt that
        # wins.
        self.add_latency(key, elapsed_ms)
        since_s = self.silent_since_s.setdefault(replica_key(vm), started_s)
        return now_s - since_s >= silence_timeout_s

    def add_latency(self, key: TimeKey, time_ms: float) -> None:
        """Add a latency to the samples of its key and its service."""
        now_s = clock.now_s()
        times = self.times.get(key)
        if times is None:
            times = self.times[key] = LatencySamples()
        times.add(time_ms, now_s)
        trend = self.trends.get(key.service)
        if trend is None:
            trend = self.trends[key.service] = LatencyTrend(now_s)
        trend.add(time_ms, now_s)

    def skip_reason(self, service: str) -> HedgeSkipReason | None:
        """Return why a second attempt is not allowed now, None if it is."""
        now_s = clock.now_s()
        trend = self.trends.get(service)
        if trend is not None and trend.has_risen(now_s):
            return HedgeSkipReason.OVERLOAD
        if now_s - self.last_refusal_s.get(service, -inf) < REFUSAL_S:
            return HedgeSkipReason.REFUSALS
        if self.window.may_take(service) and self.budget.may_take(service):
            return None
        return HedgeSkipReason.BUDGET

    def consume_budget(self, service: str) -> None:
        """Count a second attempt against both budgets."""
        self.window.try_take(service)
        self.budget.try_take(service)
