"""Order probes, and guard them against faults of the local process."""

from collections.abc import Collection, Sequence
from random import Random

MAX_HEALTH_PENALTY = 4


class ProbeOrder:
    """Visit members round robin, shuffling them anew for each round.

    Newcomers join the present round at random positions; were they to wait
    for the next, daemons that started together would all miss them.

    >>> order = ProbeOrder(Random(1))
    >>> first = order.next(["a", "b"])
    >>> sorted([first, *(order.next(["a", "b", "c"]) for _ in range(2))])
    ['a', 'b', 'c']
    """

    def __init__(self, rng: Random) -> None:
        self._rng = rng
        self._round: list[str] = []
        self._in_round: set[str] = set()

    def next(self, candidates: Collection[str]) -> str | None:
        """Choose the next member; candidates change from call to call."""
        if not candidates:
            return None
        self._insert(sorted(set(candidates) - self._in_round))
        while self._round:
            chosen = self._round.pop()
            if chosen in candidates:
                return chosen
        self._in_round.clear()
        return self.next(candidates)

    def _insert(self, newcomers: Sequence[str]) -> None:
        for name in newcomers:
            position = self._rng.randint(0, len(self._round))
            self._round.insert(position, name)
        self._in_round.update(newcomers)


class LocalHealth:
    """Slow probing down while this process itself seems unwell.

    >>> health = LocalHealth()
    >>> health.record_fault()
    >>> health.factor
    2
    >>> health.record_success()
    >>> health.factor
    1
    """

    def __init__(self) -> None:
        self._penalty = 0

    @property
    def factor(self) -> int:
        """Give the factor by which to stretch timeouts and periods."""
        return 1 + self._penalty

    def record_fault(self) -> None:
        """Count a missed answer, a refuted suspicion or a pause."""
        self._penalty = min(MAX_HEALTH_PENALTY, self._penalty + 1)

    def record_success(self) -> None:
        """Count an answered probe."""
        self._penalty = max(0, self._penalty - 1)


class PauseGuard:
    """Notice that the process did not run for a while.

    Times are in seconds of the runtime's clock.

    >>> guard = PauseGuard(slack_s=0.5)
    >>> [guard.tick(now, expected_s=0.2) for now in (0.0, 0.2, 3.4)]
    [0.0, 0.0, 3.0]
    >>> guard.was_paused_since(1.0), guard.was_paused_since(3.5)
    (True, False)
    >>> guard.arrival_time(3.4), guard.arrival_time(4.0)
    (0.2, 4.0)
    """

    def __init__(self, slack_s: float) -> None:
        self._slack_s = slack_s
        self._last_tick = float("inf")
        self._paused_at = float("-inf")
        self._resumed_at = float("-inf")

    def tick(self, now: float, expected_s: float) -> float:
        """Give how many seconds were lost since the last tick."""
        lost_s = round(now - self._last_tick - expected_s, 6)
        if lost_s > self._slack_s:
            self._paused_at = self._last_tick
            self._resumed_at = now
        self._last_tick = now
        return lost_s if lost_s > self._slack_s else 0.0

    def was_paused_since(self, start: float) -> bool:
        """Say whether the process resumed from a pause since a time."""
        return self._resumed_at >= start

    def arrival_time(self, now: float) -> float:
        """Say since when a message taken in now may have been waiting.

        What was sent during a pause is taken in after it, and says nothing
        about the present.
        """
        if now - self._last_tick > 2 * self._slack_s:
            return self._last_tick
        if now - self._resumed_at <= self._slack_s:
            return self._paused_at
        return now

    def was_late(self, start: float, now: float, budget_s: float) -> bool:
        """Say whether work from start to now overran by a pause."""
        if now - start > budget_s + self._slack_s:
            return True
        return self.was_paused_since(start)
