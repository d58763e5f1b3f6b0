"""Limit a rate with a token bucket on the event loop's clock."""

import anyio

from berylcart_tools.standins.clock import MS_PER_S


class TokenBucket:
    """Allow rate_per_s calls per second, with bursts of up to burst calls."""

    def __init__(self, rate_per_s: float, burst: float) -> None:
        self.rate_per_s = rate_per_s
        self.burst = burst
        self.tokens = burst
        self.updated_s = anyio.current_time()

    def try_take(self) -> bool:
        """Take one token if available, and return whether it was."""
        now_s = anyio.current_time()
        refill = (now_s - self.updated_s) * self.rate_per_s
        self.tokens = min(self.burst, self.tokens + refill)
        self.updated_s = now_s
        if self.tokens < 1:
            return False
        self.tokens -= 1
        return True

    def wait_ms(self) -> int:
        """Return the time until a token is available, rounded up."""
        deficit = max(0.0, 1 - self.tokens)
        return int(deficit / self.rate_per_s * MS_PER_S) + 1
