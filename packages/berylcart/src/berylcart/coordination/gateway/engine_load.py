"""Estimate the load, speed and prefix cache of one engine replica."""

from collections import OrderedDict
from collections.abc import Iterable
from heapq import heappop, heappush
from math import exp, inf, log
from typing import NamedTuple

from berylcart.state.relay_messages import PromptPart

MS_PER_S = 1000
# Assumed prefill rate of a replica of unknown speed; only the ratios between
# replicas matter.
PREFILL_TOKENS_PER_S = 50_000.0
# Time to the first token apart from prefill, as the equivalent in tokens.
REQUEST_OVERHEAD_TOKENS = 1000
# Prefill capacity that one decoding request takes, in tokens.
DECODE_OVERHEAD_TOKENS = 150
# Time for each output token of a request decoded in a batch.
DECODE_S_PER_TOKEN = 0.006
# Share of the KV cache that shared prompt parts fill, beside running requests.
PREFIX_CACHE_SHARE = 0.6
# A part uses memory in this process even if it has no tokens.
MAX_PARTS = 4096
# Learning rates for one replica's slowdown and for that of the whole fleet.
REPLICA_LEARNING_RATE = 0.25
FLEET_LEARNING_RATE = 0.02
# Bounds the effect of one answer, which may include the wait for a lost
# packet.
MAX_LOG_ERROR = 1.2
MAX_LOG_SLOWDOWN = log(10.0)
# A replica that fails at once never has pending work and would attract the
# most requests. After this many consecutive failures it is avoided, for twice
# as long after each further failure.
MAX_CONSECUTIVE_FAILURES = 3
MIN_AVOIDANCE_S = 1.0
MAX_AVOIDANCE_S = 30.0
# The estimate decays so that a slow replica is tried again.
SLOWDOWN_HALF_LIFE_S = 15.0


def avoidance_s(failures: int) -> float:
    """Return how long to avoid a replica after consecutive failures.

    >>> [avoidance_s(failures) for failures in (2, 3, 4, 99)]
    [0.0, 1.0, 2.0, 30.0]
    """
    excess = failures - MAX_CONSECUTIVE_FAILURES
    if excess < 0:
        return 0.0
    return min(MAX_AVOIDANCE_S, MIN_AVOIDANCE_S * 2.0 ** min(excess, 10))


class PendingRequest(NamedTuple):
    """Hold a request that was sent and has produced no token yet.

    tokens are those the replica has to prefill; the caller leaves at until_s.
    """

    tokens: int
    output_tokens: int
    sent_s: float
    expected_s: float
    until_s: float


class FleetSlowdown:
    """Hold the slowdown that all replicas of a service have in common.

    It is the natural logarithm of the ratio of actual to assumed time.
    """

    def __init__(self) -> None:
        self.log_slowdown = 0.0


class EngineLoad:
    """Hold the state of one incarnation of an engine replica.

    >>> load = EngineLoad(FleetSlowdown(), kv_tokens=100_000)
    >>> load.expected_s(4000, 0.0)
    0.1
    >>> load.record_sent(1, 4000, 80, now_s=0.0, until_s=9.0)
    >>> load.expected_s(4000, 0.0)
    0.2
    >>> load.record_first_token(1, 0.1, now_s=0.1)
    >>> load.expected_s(4000, 0.1)
    0.103
    """

    def __init__(self, fleet: FleetSlowdown, kv_tokens: int) -> None:
        self.fleet = fleet
        self.kv_tokens = kv_tokens
        self.pending: dict[int, PendingRequest] = {}
        self.pending_tokens = 0
        # Heap of the estimated end times of the decoding requests.
        self.running: list[float] = []
        self.next_expiry_s = inf
        # Tokens by prompt part in its prefix cache, most recently used last.
        self.cached_parts: OrderedDict[str, int] = OrderedDict()
        self.cached_tokens = 0
        self.replica_log_slowdown = 0.0
        self.updated_at_s = 0.0
        self.consecutive_failures = 0
        self.avoided_until_s = 0.0

    def log_slowdown(self, now_s: float) -> float:
        """Return its log slowdown, which decays towards the fleet's."""
        age_s = now_s - self.updated_at_s
        weight: float = 0.5 ** (age_s / SLOWDOWN_HALF_LIFE_S)
        return self.fleet.log_slowdown + self.replica_log_slowdown * weight

    def expected_s(self, tokens: int, now_s: float) -> float:
        """Estimate the time to the first token of one more request."""
        self.expire(now_s)
        tokens_ahead = self.pending_tokens + DECODE_OVERHEAD_TOKENS * len(
            self.running
        )
        tokens_ahead += REQUEST_OVERHEAD_TOKENS + tokens
        return round(
            tokens_ahead
            / PREFILL_TOKENS_PER_S
            * exp(self.log_slowdown(now_s)),
            6,
        )

    def expire(self, now_s: float) -> None:
        """Remove requests that have ended or expired by now."""
        while self.running and self.running[0] <= now_s:
            heappop(self.running)
        if now_s < self.next_expiry_s:
            return
        for number, request in list(self.pending.items()):
            if request.until_s <= now_s:
                self.remove(number)
        expiries_s = [request.until_s for request in self.pending.values()]
        self.next_expiry_s = min(expiries_s, default=inf)

    def count_uncached(self, parts: Iterable[PromptPart]) -> int:
        """Count the tokens of prompt parts that are not in its prefix cache.

        A cached part is usable only if all parts before it are cached.
        """
        uncached = 0
        for part in parts:
            if uncached or part.part_id not in self.cached_parts:
                uncached += part.tokens
        return uncached

    def record_sent(
        self,
        number: int,
        tokens: int,
        output_tokens: int,
        *,
        now_s: float,
        until_s: float,
    ) -> None:
        """Record a request that is sent to it."""
        expected_s = self.expected_s(tokens, now_s)
        self.pending[number] = PendingRequest(
            tokens, output_tokens, now_s, expected_s, until_s
        )
        self.pending_tokens += REQUEST_OVERHEAD_TOKENS + tokens
        self.next_expiry_s = min(self.next_expiry_s, until_s)

    def cache_parts(self, parts: Iterable[PromptPart]) -> None:
        """Record prompt parts as cached and evict the least recently used."""
        for part in parts:
            self.cached_tokens += part.tokens - self.cached_parts.pop(
                part.part_id, 0
            )
            self.cached_parts[part.part_id] = part.tokens
        capacity = PREFIX_CACHE_SHARE * self.kv_tokens
        while self.cached_parts and (
            self.cached_tokens > capacity or len(self.cached_parts) > MAX_PARTS
        ):
            _, tokens = self.cached_parts.popitem(last=False)
            self.cached_tokens -= tokens

    def record_first_token(
        self, number: int, latency_s: float, *, now_s: float
    ) -> None:
        """Record a request's first token and update the slowdown estimates."""
        request = self.remove(number)
        if request is None:
            return
        self.consecutive_failures = 0
        self.avoided_until_s = 0.0
        end_s = now_s + DECODE_S_PER_TOKEN * request.output_tokens
        # Callers may announce any number of output tokens, but they leave at
        # their deadline.
        heappush(self.running, min(end_s, request.until_s))
        error = log(max(latency_s, 1 / MS_PER_S) / request.expected_s)
        error = max(-MAX_LOG_ERROR, min(MAX_LOG_ERROR, error))
        replica_slowdown = (
            self.log_slowdown(now_s)
            - self.fleet.log_slowdown
            + REPLICA_LEARNING_RATE * error
        )
        self.replica_log_slowdown = max(
            -MAX_LOG_SLOWDOWN, min(MAX_LOG_SLOWDOWN, replica_slowdown)
        )
        self.updated_at_s = now_s
        fleet_slowdown = self.fleet.log_slowdown + FLEET_LEARNING_RATE * error
        self.fleet.log_slowdown = max(
            -MAX_LOG_SLOWDOWN, min(MAX_LOG_SLOWDOWN, fleet_slowdown)
        )

    def record_failure(self, number: int, now_s: float) -> None:
        """Record that a request failed through the replica's fault."""
        if self.remove(number) is not None:
            self.consecutive_failures += 1
            self.avoided_until_s = now_s + avoidance_s(
                self.consecutive_failures
            )

    def remove(self, number: int) -> PendingRequest | None:
        """Remove a pending request and return it, None if it is unknown."""
        request = self.pending.pop(number, None)
        if request is not None:
            self.pending_tokens -= REQUEST_OVERHEAD_TOKENS + request.tokens
        return request
