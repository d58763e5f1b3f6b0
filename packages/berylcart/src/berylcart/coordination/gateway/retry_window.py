"""Bound extra sends over a sliding window, shared by all daemons."""

from collections import deque
from collections.abc import Callable

import anyio

# A share of the allowance stays unused: daemons don't agree at each moment
# on how many they are, and a window slides over theirs.
SAFETY = 0.8


class RetryWindow:
    """Allow a share of the requests of a window, and a share of a slack.

    Each daemon spends its own requests' share, and the slack divided by the
    number of daemons, so that all together stay within the allowance
    without a message.

    >>> window = RetryWindow(0.5, 10.0, 4, lambda: 4, lambda: 0.0, 1.0)
    >>> window.try_take("model"), window.try_take("model")
    (True, False)
    >>> window.note_request("model", 2)
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
        safety: float = SAFETY,
    ) -> None:
        self.ratio = ratio
        self.window_s = window_s
        self.slack = slack
        self.count_daemons = count_daemons
        self.clock_s = clock_s
        self.safety = safety
        self.requests: dict[str, deque[tuple[float, int]]] = {}
        self.extras: dict[str, deque[tuple[float, int]]] = {}

    def note_request(self, service: str, count: int = 1) -> None:
        """Count fresh requests for a service."""
        entry = (self.clock_s(), count)
        self.requests.setdefault(service, deque()).append(entry)

    def allowance(self, service: str) -> float:
        """Say how many extra sends a window may hold."""
        requests = self._sum(self.requests.get(service))
        slack = self.slack / max(1, self.count_daemons())
        return self.safety * (self.ratio * requests + slack)

    def part(self, ratio: float) -> "RetryWindow":
        """Bound one kind of extra sends by a share of the same requests.

        No part of it is unused, as a daemon's share is of its own requests.
        """
        part = RetryWindow(
            ratio, self.window_s, 0.0, self.count_daemons, self.clock_s, 1.0
        )
        part.requests = self.requests
        return part

    def may_take(self, service: str, count: int = 1) -> bool:
        """Tell whether the window allows so many extra sends."""
        used = self._sum(self.extras.get(service))
        return used + count <= self.allowance(service)

    def try_take(self, service: str, count: int = 1) -> bool:
        """Spend extra sends if the window allows them all."""
        if not self.may_take(service, count):
            return False
        entry = (self.clock_s(), count)
        self.extras.setdefault(service, deque()).append(entry)
        return True

    def _sum(self, entries: deque[tuple[float, int]] | None) -> int:
        """Sum the entries of the window and drop the older ones."""
        if not entries:
            return 0
        oldest_s = self.clock_s() - self.window_s
        while entries and entries[0][0] < oldest_s:
            entries.popleft()
        return sum(count for _, count in entries)
