"""Know the work, the speed and the prompts of one engine replica."""

from collections import OrderedDict
from collections.abc import Iterable
from heapq import heappop, heappush
from math import exp, inf, log
from typing import NamedTuple

from berylcart.state.relayed import PromptPart

MS_PER_S = 1000
# What a replica of unknown speed reads; only ratios between replicas count.
TOKENS_PER_S = 50_000.0
# The time to a first token beside reading the prompt, as tokens read.
FIRST_TOKEN_TOKENS = 1000
# What a request that generates takes from the reading of others.
RUNNING_TOKENS = 150
# A token of a running request, with others in its batch.
OUTPUT_TOKEN_S = 0.006
# The share of memory that shared parts fill beside running requests.
PARTS_SHARE = 0.6
# A part costs memory here even where it has no tokens.
MAX_PARTS = 4096
# How fast a replica's own speed is learnt, and that of all.
LEARNING = 0.25
FLEET_LEARNING = 0.02
# One answer tells no more than this: it may have waited for a lost packet.
MAX_ERROR = 1.2
MAX_SLOWNESS = log(10.0)
# A replica that fails at once has no work that waits and would get the most
# requests; it is avoided after these, for longer at each further failure.
MAX_FAILURES_IN_ROW = 3
AVOID_S = 1.0
MAX_AVOID_S = 30.0
# A replica that was slow is tried again.
SLOWNESS_HALF_LIFE_S = 15.0


def avoid_s(failures: int) -> float:
    """Say how long a replica is avoided after failures in a row.

    >>> [avoid_s(failures) for failures in (2, 3, 4, 99)]
    [0.0, 1.0, 2.0, 30.0]
    """
    excess = failures - MAX_FAILURES_IN_ROW
    if excess < 0:
        return 0.0
    return min(MAX_AVOID_S, AVOID_S * 2.0 ** min(excess, 10))


class Reading(NamedTuple):
    """Hold a request that was sent and has not begun.

    tokens are those that the replica reads for it; until_s is when its caller
    leaves.
    """

    tokens: int
    output_tokens: int
    sent_s: float
    expected_s: float
    until_s: float


class FleetSpeed:
    """Hold how much slower than assumed all replicas of a service are.

    slowness is a logarithm: 0 is as assumed.
    """

    def __init__(self) -> None:
        self.slowness = 0.0


class EngineLoad:
    """Hold what is known of one replica.

    >>> load = EngineLoad(FleetSpeed(), kv_tokens=100_000)
    >>> load.expected_s(4000, 0.0)
    0.1
    >>> load.send(1, 4000, 80, now_s=0.0, until_s=9.0)
    >>> load.expected_s(4000, 0.0)
    0.2
    >>> load.begin(1, 0.1, now_s=0.1)
    >>> load.expected_s(4000, 0.1)
    0.103
    """

    def __init__(self, fleet: FleetSpeed, kv_tokens: int) -> None:
        self.fleet = fleet
        self.kv_tokens = kv_tokens
        self.readings: dict[int, Reading] = {}
        self.unread_tokens = 0
        # When the running requests end, as far as that is known.
        self.running: list[float] = []
        self.next_expiry_s = inf
        # Parts that it has read, the one used last at the end.
        self.parts: OrderedDict[str, int] = OrderedDict()
        self.parts_tokens = 0
        self.own_slowness = 0.0
        self.learnt_s = 0.0
        self.failures_in_row = 0
        self.avoided_until_s = 0.0

    def slowness(self, now_s: float) -> float:
        """Give how much slower it is than assumed, as a logarithm."""
        age_s = now_s - self.learnt_s
        weight: float = 0.5 ** (age_s / SLOWNESS_HALF_LIFE_S)
        return self.fleet.slowness + self.own_slowness * weight

    def expected_s(self, tokens: int, now_s: float) -> float:
        """Estimate the time to the first token of one more request."""
        self.expire(now_s)
        work = self.unread_tokens + RUNNING_TOKENS * len(self.running)
        work += FIRST_TOKEN_TOKENS + tokens
        return round(work / TOKENS_PER_S * exp(self.slowness(now_s)), 6)

    def expire(self, now_s: float) -> None:
        """Forget requests that have ended by now."""
        while self.running and self.running[0] <= now_s:
            heappop(self.running)
        if now_s < self.next_expiry_s:
            return
        for number, reading in list(self.readings.items()):
            if reading.until_s <= now_s:
                self.end(number)
        left_s = [reading.until_s for reading in self.readings.values()]
        self.next_expiry_s = min(left_s, default=inf)

    def missing(self, parts: Iterable[PromptPart]) -> int:
        """Count the tokens of shared parts that it has to read.

        A part is kept only behind all parts before it.
        """
        missing = 0
        for part in parts:
            if missing or part.part_id not in self.parts:
                missing += part.tokens
        return missing

    def send(
        self,
        number: int,
        tokens: int,
        output_tokens: int,
        *,
        now_s: float,
        until_s: float,
    ) -> None:
        """Note a request that is sent to it."""
        expected_s = self.expected_s(tokens, now_s)
        self.readings[number] = Reading(
            tokens, output_tokens, now_s, expected_s, until_s
        )
        self.unread_tokens += FIRST_TOKEN_TOKENS + tokens
        self.next_expiry_s = min(self.next_expiry_s, until_s)

    def keep(self, parts: Iterable[PromptPart]) -> None:
        """Note shared parts that it reads; those unused longest give way."""
        for part in parts:
            self.parts_tokens += part.tokens - self.parts.pop(part.part_id, 0)
            self.parts[part.part_id] = part.tokens
        room = PARTS_SHARE * self.kv_tokens
        while self.parts and (
            self.parts_tokens > room or len(self.parts) > MAX_PARTS
        ):
            _, tokens = self.parts.popitem(last=False)
            self.parts_tokens -= tokens

    def begin(self, number: int, latency_s: float, *, now_s: float) -> None:
        """Take that a request has begun, and how long that took."""
        reading = self.end(number)
        if reading is None:
            return
        self.failures_in_row = 0
        self.avoided_until_s = 0.0
        end_s = now_s + OUTPUT_TOKEN_S * reading.output_tokens
        # Callers announce any number of tokens, but leave at their deadline.
        heappush(self.running, min(end_s, reading.until_s))
        error = log(max(latency_s, 1 / MS_PER_S) / reading.expected_s)
        error = max(-MAX_ERROR, min(MAX_ERROR, error))
        own = self.slowness(now_s) - self.fleet.slowness + LEARNING * error
        self.own_slowness = max(-MAX_SLOWNESS, min(MAX_SLOWNESS, own))
        self.learnt_s = now_s
        fleet = self.fleet.slowness + FLEET_LEARNING * error
        self.fleet.slowness = max(-MAX_SLOWNESS, min(MAX_SLOWNESS, fleet))

    def fail(self, number: int, now_s: float) -> None:
        """Take that a request ended by the replica's fault."""
        if self.end(number) is not None:
            self.failures_in_row += 1
            self.avoided_until_s = now_s + avoid_s(self.failures_in_row)

    def end(self, number: int) -> Reading | None:
        """Take that a request waits here no more."""
        reading = self.readings.pop(number, None)
        if reading is not None:
            self.unread_tokens -= FIRST_TOKEN_TOKENS + reading.tokens
        return reading
