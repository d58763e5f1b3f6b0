"""Issue idempotency keys with timestamps of the log's clock."""

import anyio

from berylcart.coordination.log_clock import read_log_time_ms
from berylcart.coordination.ports import Log
from berylcart.state.claim_keys import issue_key
from berylcart.state.errors import BerylcartError, Code

REFRESH_INTERVAL_S = 60.0
MS_PER_S = 1000
RETRY_AFTER_MS = 1000


class KeyIssuer:
    """Issue keys dated by the log's clock, read at most once a minute.

    Between two reads, the time is extrapolated with the runtime's clock.
    """

    def __init__(
        self, log: Log, refresh_interval_s: float = REFRESH_INTERVAL_S
    ) -> None:
        self.log = log
        self.refresh_interval_s = refresh_interval_s
        self.log_time_ms = 0
        self.read_at_s = float("-inf")
        self.lock = anyio.Lock()

    async def issue(self, count: int) -> list[str]:
        """Issue count keys; raises CLAIMS_UNAVAILABLE when the log is down."""
        async with self.lock:
            if anyio.current_time() - self.read_at_s > self.refresh_interval_s:
                await self.refresh()
        elapsed_s = anyio.current_time() - self.read_at_s
        now_ms = self.log_time_ms + int(elapsed_s * MS_PER_S)
        return [issue_key(now_ms) for _ in range(count)]

    async def refresh(self) -> None:
        """Read the log's clock."""
        # Taken before the call, so that no key has a timestamp in the future.
        read_at_s = anyio.current_time()
        try:
            log_time_ms = await read_log_time_ms(self.log)
        except BerylcartError as error:
            raise BerylcartError(
                Code.CLAIMS_UNAVAILABLE,
                f"the log's time is not known: {error.detail}",
                retry_after_ms=RETRY_AFTER_MS,
            ) from error
        self.log_time_ms = log_time_ms
        self.read_at_s = read_at_s
