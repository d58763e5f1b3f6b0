"""Limit extra sends of all daemons in a sliding window (retry budget)."""

from collections import deque
from collections.abc import Callable

import anyio

# Share of the allowance that is used. The rest covers moments when daemons
# disagree on their number, and windows that are not aligned between daemons.
SAFETY_FACTOR = 0.8


class RetryWindow:
    """Allow extra sends as a share of the window's requests plus a slack.

    Each daemon uses the share of its own requests and the slack divided by the
    number of daemons, so that all daemons together stay within the allowance
    without communication.

    >>> window = RetryWindow(0.5, 10.0, 4, lambda: 4, lambda: 0.0, 1.0)
    >>> window.try_take("model"), window.try_take("model")
    (True, False)
    >>> window.record_request("model", 2)
    >>> window.try_take("model")
    True
    """

    def __init__(
        self,
        ratio: float,
        window_s: float,
        slack: float,
        count_daemons: Callable[[], int],
        clock_s: Callable[[], float] = anyio.current_time,
        safety: float = SAFETY_FACTOR,
    ) -> None:
        self.ratio = ratio
        self.window_s = window_s
        self.slack = slack
        self.count_daemons = count_daemons
        self.clock_s = clock_s
        self.safety = safety
        self.requests: dict[str, deque[tuple[float, int]]] = {}
        self.extra_sends: dict[str, deque[tuple[float, int]]] = {}

    def record_request(self, service: str, count: int = 1) -> None:
        """Count new requests for a service."""
        entry = (self.clock_s(), count)
        self.requests.setdefault(service, deque()).append(entry)

    def allowance(self, service: str) -> float:
        """Return how many extra sends the window allows."""
        requests = self._sum(self.requests.get(service))
        slack = self.slack / max(1, self.count_daemons())
        return self.safety * (self.ratio * requests + slack)

    def part(self, ratio: float) -> "RetryWindow":
        """Return a budget for one kind of extra sends on the same requests.

        It needs no safety factor, as it depends on the daemon's own requests
        only.
        """
        part = RetryWindow(
            ratio, self.window_s, 0.0, self.count_daemons, self.clock_s, 1.0
        )
        part.requests = self.requests
        return part

    def may_take(self, service: str, count: int = 1) -> bool:
        """Return whether the window allows more extra sends."""
        used = self._sum(self.extra_sends.get(service))
        return used + count <= self.allowance(service)

    def try_take(self, service: str, count: int = 1) -> bool:
        """Count extra sends if the window allows all of them."""
        if not self.may_take(service, count):
            return False
        entry = (self.clock_s(), count)
        self.extra_sends.setdefault(service, deque()).append(entry)
        return True

    def _sum(self, entries: deque[tuple[float, int]] | None) -> int:
        """Drop entries older than the window and sum the others."""
        if not entries:
            return 0
        oldest_s = self.clock_s() - self.window_s
        while entries and entries[0][0] < oldest_s:
            entries.popleft()
        return sum(count for _, count in entries)
