"""Limit a rate by a token bucket on the runtime's clock."""

import anyio

from berylcart_tools.standins.clock import MS_PER_S


class TokenBucket:
    """Grant a number of calls a second, with bursts up to a bound."""

    def __init__(self, rate_per_s: float, burst: float) -> None:
        self.rate_per_s = rate_per_s
        self.burst = burst
        self.tokens = burst
        self.updated_s = anyio.current_time()

    def take(self) -> bool:
        """Take one token if there is one."""
        now_s = anyio.current_time()
        gained = (now_s - self.updated_s) * self.rate_per_s
        self.tokens = min(self.burst, self.tokens + gained)
        self.updated_s = now_s
        if self.tokens < 1:
            return False
        self.tokens -= 1
        return True

    def wait_ms(self) -> int:
        """Give the time until the next token."""
        missing = max(0.0, 1 - self.tokens)
        return int(missing / self.rate_per_s * MS_PER_S) + 1
