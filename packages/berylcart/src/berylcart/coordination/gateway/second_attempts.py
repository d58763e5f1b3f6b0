"""Decide when a slow request gets a second attempt beside its first.

The load is requests that may be repeated and of which a few meet a replica
that is slow for a moment; their times make the service's high quantiles.
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
from berylcart.coordination.policy.load_table import VmKey, key_of
from berylcart.state.errors import (
    BerylcartError,
    InputsGoneError,
    UnreachableError,
)
from berylcart.state.request import strongest
from berylcart.state.vm import Vm

MS_PER_S = 1000
# Share of first bytes that come before a second attempt starts; required by
# docs/design/hard-load.md, as is the number of samples.
DELAY_QUANTILE = 0.95
MIN_SAMPLES = 20
# Leaves six samples above the quantile, in about 10 KB for each key.
MAX_SAMPLES = 128
# A service of 20 requests a minute just has its samples.
WINDOW_S = 60.0
# Sorting 128 samples takes about 10 us; twice a second it costs nothing.
REFRESH_S = 0.5
# Timers of the event loop are no finer.
MIN_DELAY_MS = 1.0
# Times of a service count as risen above this multiple of their usual median.
OVERLOAD_FACTOR = 2.0
# The usual retry window of the settings.
RECENT_S = 10.0
# Half an hour: an overload of less than half of it stays unusual.
USUAL_PERIODS = 180
# The median of fewer samples follows single slow answers.
MIN_RECENT = 5
# Four times what a refused caller waits (REFUSED_RETRY_AFTER_MS).
REFUSAL_S = 2.0
# 2**24 tokens: more than the context of any engine.
MAX_SIZE_CLASS = 24
# Keys of 10 KB each: 2.5 MB at most.
MAX_KEYS = 256
# Several times the replicas of the largest deployment.
MAX_REPLICAS = 4096


class Outcome(StrEnum):
    """Say how a second attempt ended.

    An aborted one had won and then broke off; a cut one ended with its
    request: the caller left, its time was over or the daemon stopped.
    """

    WON = "won"
    LOST = "lost"
    FAILED = "failed"
    ABORTED = "aborted"
    CUT = "cut"


class Held(StrEnum):
    """Say why a slow request got no second attempt."""

    OVERLOAD = "overload"
    REFUSALS = "refusals"
    BUDGET = "budget"
    NO_REPLICA = "no_replica"


class TimeKey(NamedTuple):
    """Name requests whose first bytes take about as long.

    The first byte of a whole answer comes after all of its work, that of a
    stream does not.
    """

    service: str
    is_stream: bool
    size_class: int


def size_class(tokens: int) -> int:
    """Group prompts whose sizes differ by less than a factor of two.

    >>> [size_class(each) for each in (0, 1, 1000, 1023, 1024)]
    [0, 1, 10, 10, 11]
    """
    return min(MAX_SIZE_CLASS, max(0, tokens).bit_length())


def nearest_rank(ordered: Sequence[float], q: float) -> float:
    """Give the smallest sample with a share of q at or below it.

    >>> nearest_rank(range(1, 21), 0.95)
    19
    """
    return ordered[max(0, ceil(q * len(ordered)) - 1)]


def merge_failures(failures: Sequence[BerylcartError]) -> BerylcartError:
    """Give the failure by which a request goes on after all its attempts.

    Lost inputs must be made again whatever else failed. Its ran is the
    strongest of all: "has not run" needs every attempt's promise.

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


class RecentTimes:
    """Hold the newest times of one kind, and a quantile of them.

    >>> times = RecentTimes()
    >>> for number in range(20):
    ...     times.note(float(number), 5.0)
    >>> times.quantile_ms(5.0), times.quantile_ms(5.0 + WINDOW_S + 1)
    (18.0, None)
    """

    def __init__(self) -> None:
        self.samples: deque[tuple[float, float]] = deque(maxlen=MAX_SAMPLES)
        self.value_ms: float | None = None
        self.computed_s = -inf

    def note(self, time_ms: float, now_s: float) -> None:
        """Add a time."""
        self.samples.append((now_s, time_ms))

    def quantile_ms(self, now_s: float) -> float | None:
        """Give the quantile of the delay, None with too few samples."""
        if now_s - self.computed_s >= REFRESH_S or self.value_ms is None:
            self.drop_old(now_s - WINDOW_S)
            self.value_ms = None
            if len(self.samples) >= MIN_SAMPLES:
                ordered = sorted(time_ms for _, time_ms in self.samples)
                self.value_ms = nearest_rank(ordered, DELAY_QUANTILE)
            self.computed_s = now_s
        return self.value_ms

    def drop_old(self, oldest_s: float) -> None:
        """Forget samples of before a time."""
        while self.samples and self.samples[0][0] < oldest_s:
            self.samples.popleft()


class Trend:
    """Compare the median time of a service with its usual one.

    >>> trend = Trend(0.0)
    >>> for second in range(30):
    ...     trend.note(100.0, float(second))
    >>> trend.has_risen(29.0)
    False
    >>> for second in range(30, 40):
    ...     trend.note(300.0, float(second))
    >>> trend.has_risen(39.0)
    True
    """

    def __init__(self, now_s: float) -> None:
        self.recent = RecentTimes()
        self.period_s = now_s
        self.medians: deque[float] = deque(maxlen=USUAL_PERIODS)

    def note(self, time_ms: float, now_s: float) -> None:
        """Add a time, and end a period that is over."""
        if now_s - self.period_s >= RECENT_S:
            if len(self.recent.samples) >= MIN_RECENT:
                self.medians.append(self.recent_ms())
            self.period_s = now_s
            self.recent.drop_old(now_s - RECENT_S)
        self.recent.note(time_ms, now_s)

    def recent_ms(self) -> float:
        """Give the median of the newest times."""
        return median(time_ms for _, time_ms in self.recent.samples)

    def has_risen(self, now_s: float) -> bool:
        """Tell whether the newest times are far over the usual ones."""
        self.recent.drop_old(now_s - RECENT_S)
        if not self.medians or len(self.recent.samples) < MIN_RECENT:
            return False
        return self.recent_ms() > OVERLOAD_FACTOR * median(self.medians)


class SecondAttempts:
    """Decide on second attempts by recent times, refusals and a budget.

    share is the part of a service's requests that may get one, within the
    window of the retry budget, which each of them also takes from.
    """

    def __init__(self, share: float, budget: RetryWindow) -> None:
        self.budget = budget
        self.window = budget.part(share)
        self.times: LRUCache[TimeKey, RecentTimes] = LRUCache(MAX_KEYS)
        self.trends: LRUCache[str, Trend] = LRUCache(MAX_KEYS)
        self.refused_s: LRUCache[str, float] = LRUCache(MAX_KEYS)
        # The start of the first late attempt since a replica's last answer.
        self.silent_since_s: LRUCache[VmKey, float] = LRUCache(MAX_REPLICAS)
        self.on_outcome: Callable[[str, Outcome], None] = lambda *_: None
        self.on_held: Callable[[str, Held], None] = lambda *_: None

    def delay_ms(self, key: TimeKey) -> float | None:
        """Say how long a first byte is waited for, None without end."""
        times = self.times.get(key)
        value_ms = None if times is None else times.quantile_ms(clock.now_s())
        return None if value_ms is None else max(MIN_DELAY_MS, value_ms)

    def note_answer(self, key: TimeKey, vm: Vm, time_ms: float) -> None:
        """Take the time to an answer's first byte."""
        self.note_life(vm)
        self.learn(key, time_ms)

    def note_life(self, vm: Vm) -> None:
        """Note that a replica answers, whatever it says."""
        self.silent_since_s.pop(key_of(vm), None)

    def note_refusal(self, vm: Vm) -> None:
        """Note that a replica refuses work."""
        self.note_life(vm)
        self.refused_s[vm.service] = clock.now_s()

    def note_silence(
        self, key: TimeKey, vm: Vm, started_s: float, patience_s: float
    ) -> bool:
        """Take an attempt that ended before its answer's first byte.

        Tells whether its replica has stalled: has answered nothing for as
        long as an attempt without a rival waits. Late attempts that lost
        count together, as each is cancelled too early to tell.
        """
        now_s = clock.now_s()
        elapsed_ms = (now_s - started_s) * MS_PER_S
        delay_ms = self.delay_ms(key)
        if delay_ms is not None and elapsed_ms < delay_ms:
            return False
        # The first byte would have come later still. Without this time the
        # quantile would fall with each second attempt that wins.
        self.learn(key, elapsed_ms)
        since_s = self.silent_since_s.setdefault(key_of(vm), started_s)
        return now_s - since_s >= patience_s

    def learn(self, key: TimeKey, time_ms: float) -> None:
        """Add a time to those of its kind and its service."""
        now_s = clock.now_s()
        times = self.times.get(key)
        if times is None:
            times = self.times[key] = RecentTimes()
        times.note(time_ms, now_s)
        trend = self.trends.get(key.service)
        if trend is None:
            trend = self.trends[key.service] = Trend(now_s)
        trend.note(time_ms, now_s)

    def held(self, service: str) -> Held | None:
        """Say what forbids a second attempt now, None where nothing does."""
        now_s = clock.now_s()
        trend = self.trends.get(service)
        if trend is not None and trend.has_risen(now_s):
            return Held.OVERLOAD
        if now_s - self.refused_s.get(service, -inf) < REFUSAL_S:
            return Held.REFUSALS
        if self.window.may_take(service) and self.budget.may_take(service):
            return None
        return Held.BUDGET

    def take(self, service: str) -> None:
        """Spend a second attempt that nothing forbids."""
        self.window.try_take(service)
        self.budget.try_take(service)
