"""Bound extra attempts to a share of the requests."""

RETRY_RATIO = 0.10
HEDGE_RATIO = 0.05
DEFAULT_BURST = 10


class RetryBudget:
    """Earn a share of a token per request and spend one per attempt.

    >>> budget = RetryBudget(ratio=0.5, burst=2)
    >>> [budget.try_take() for _ in range(3)]
    [True, True, False]
    >>> budget.note_request()
    >>> budget.note_request()
    >>> budget.try_take()
    True
    """

    def __init__(
        self, ratio: float = RETRY_RATIO, burst: float = DEFAULT_BURST
    ) -> None:
        self.ratio = ratio
        self.burst = burst
        self.tokens = burst

    def note_request(self) -> None:
        """Earn the share of one fresh request."""
        self.tokens = min(self.burst, self.tokens + self.ratio)

    def try_take(self) -> bool:
        """Spend a token on one more attempt, if there is one."""
        if self.tokens < 1:
            return False
        self.tokens -= 1
        return True
