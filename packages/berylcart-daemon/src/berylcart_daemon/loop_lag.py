"""Notice by how much the event loop runs late."""

from collections.abc import Callable

import anyio
from berylcart import events
from berylcart.clock import now_s

MS_PER_S = 1000
PERIOD_S = 0.5
# Every request waits as long; the shortest targets are a tenth of a second.
NOTABLE_LAG_S = 0.05


class LoopLag:
    """Sleep for short periods and take how much longer each one lasts.

    observe takes every lag in seconds; load says what the daemon works on, for
    the line that a long lag is worth.
    """

    def __init__(
        self,
        observe: Callable[[float], None],
        load: Callable[[], dict[str, int]],
    ) -> None:
        self.observe = observe
        self.load = load

    async def run(self) -> None:
        """Watch until cancelled."""
        while True:
            due_s = now_s() + PERIOD_S
            await anyio.sleep_until(due_s)
            self.note(now_s() - due_s)

    def note(self, lag_s: float) -> None:
        """Count a lag, and log a long one."""
        self.observe(lag_s)
        if lag_s >= NOTABLE_LAG_S:
            lag_ms = int(lag_s * MS_PER_S)
            events.warning("daemon.late", lag_ms=lag_ms, **self.load())
