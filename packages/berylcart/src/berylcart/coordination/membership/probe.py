"""Order probes, and detect faults of the local process."""

from collections.abc import Collection, Sequence
from random import Random

MAX_HEALTH_PENALTY = 4


class ProbeOrder:
    """Iterate over members round robin, in a new random order each round.

    New members are inserted at random positions of the current round. If they
    waited for the next, daemons that started together would all miss them.

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
        """Return the next member; candidates may change between calls."""
        if not candidates:
            return None
        self._insert(sorted(set(candidates) - self._in_round))
        while self._round:
            chosen = self._round.pop()
            if chosen in candidates:
                return chosen
        self._in_round.clear()
        return self.next(candidates)

    def _insert(self, new_members: Sequence[str]) -> None:
        for name in new_members:
            position = self._rng.randint(0, len(self._round))
            self._round.insert(position, name)
        self._in_round.update(new_members)


class LocalHealth:
    """Prolong timeouts while this process itself seems impaired.

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
        """Return the multiplier for probe timeouts."""
        return 1 + self._penalty

    def record_fault(self) -> None:
        """Count a probe that nobody answered or a pause of this process."""
        self._penalty = min(MAX_HEALTH_PENALTY, self._penalty + 1)

    def record_success(self) -> None:
        """Count a successful probe."""
        self._penalty = max(0, self._penalty - 1)


class PauseDetector:
    """Detect that the process did not run for some time.

    Times are in seconds of the runtime's clock.

    >>> detector = PauseDetector(slack_s=0.5)
    >>> [detector.tick(now, expected_s=0.2) for now in (0.0, 0.2, 3.4)]
    [0.0, 0.0, 3.0]
    >>> detector.was_paused_since(1.0), detector.was_paused_since(3.5)
    (True, False)
    >>> detector.arrival_time(3.4), detector.arrival_time(4.0)
    (0.2, 4.0)
    """

    def __init__(self, slack_s: float) -> None:
        self._slack_s = slack_s
        self._last_tick = float("inf")
        self._paused_at = float("-inf")
        self._resumed_at = float("-inf")

    def tick(self, now: float, expected_s: float) -> float:
        """Return the length of a pause since the last tick, else 0."""
        paused_s = round(now - self._last_tick - expected_s, 6)
        if paused_s > self._slack_s:
            self._paused_at = self._last_tick
            self._resumed_at = now
        self._last_tick = now
        return paused_s if paused_s > self._slack_s else 0.0

    def was_paused_since(self, start: float) -> bool:
        """Return whether a pause of the process ended at or after start."""
        return self._resumed_at >= start

    def arrival_time(self, now: float) -> float:
        """Return the earliest possible arrival time of a message read now.

        Messages that arrived during a pause are read after it, so they do not
        show that their sender runs now.
        """
        if now - self._last_tick > 2 * self._slack_s:
            return self._last_tick
        if now - self._resumed_at <= self._slack_s:
            return self._paused_at
        return now

    def unrecorded_pause_s(self, now: float) -> float:
        """Return the length of a pause that no tick has recorded yet.

        >>> detector = PauseDetector(slack_s=0.5)
        >>> _ = detector.tick(1.0, expected_s=0.2)
        >>> detector.unrecorded_pause_s(1.9), detector.unrecorded_pause_s(6.5)
        (0.0, 5.0)
        """
        late_s = now - self._last_tick - self._slack_s
        return late_s if late_s > self._slack_s else 0.0

    def was_late(self, start: float, now: float, budget_s: float) -> bool:
        """Return whether a pause affected work that ran from start to now."""
        if now - start > budget_s + self._slack_s:
            return True
        return self.was_paused_since(start)
