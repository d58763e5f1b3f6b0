"""Token buckets that limit retries and hedges to a share of requests."""

from cachetools import LRUCache

RETRY_RATIO = 0.10
HEDGE_RATIO = 0.05
DEFAULT_BURST = 10
MAX_SERVICES = 256


class RetryBudget:
    """Add ratio tokens per request and take one per extra attempt.

    >>> budget = RetryBudget(ratio=0.5, burst=2)
    >>> [budget.try_take() for _ in range(3)]
    [True, True, False]
    >>> budget.record_request()
    >>> budget.record_request()
    >>> budget.try_take()
    True
    """

    def __init__(
        self, ratio: float = RETRY_RATIO, burst: float = DEFAULT_BURST
    ) -> None:
        self.ratio = ratio
        self.burst = burst
        self.tokens = burst

    def record_request(self) -> None:
        """Add the tokens that one new request earns, up to the burst."""
        self.tokens = min(self.burst, self.tokens + self.ratio)

    def try_take(self) -> bool:
        """Take a token for an extra attempt if one is available."""
        if self.tokens < 1:
            return False
        self.tokens -= 1
        return True


class ServiceBudgets:
    """Keep a separate budget for each service.

    Extra attempts at a cheap service can't exhaust the budget of an expensive
    one.

    >>> budgets = ServiceBudgets(ratio=0.5, burst=1)
    >>> budgets.try_take("encoder"), budgets.try_take("encoder")
    (True, False)
    >>> budgets.try_take("model")
    True
    """

    def __init__(
        self, ratio: float = HEDGE_RATIO, burst: float = DEFAULT_BURST
    ) -> None:
        self.ratio = ratio
        self.burst = burst
        self.budgets: LRUCache[str, RetryBudget] = LRUCache(MAX_SERVICES)

    def record_request(self, service: str) -> None:
        """Add the tokens that one new request to a service earns."""
        self._find(service).record_request()

    def try_take(self, service: str) -> bool:
        """Take a token from a service's budget if one is available."""
        return self._find(service).try_take()

    def _find(self, service: str) -> RetryBudget:
        budget = self.budgets.get(service)
        if budget is None:
            budget = RetryBudget(self.ratio, self.burst)
            self.budgets[service] = budget
        return budget
