"""Measure the lag of the event loop."""

from collections.abc import Callable

import anyio
from berylcart import events
from berylcart.clock import now_s

MS_PER_S = 1000
PERIOD_S = 0.5
# All requests are delayed by the lag; the shortest latency target is 0.1 s.
LAG_WARNING_S = 0.05


class LoopLagMonitor:
    """Measure by how much periodic timers overrun.

    observe gets every lag in seconds. A lag of LAG_WARNING_S or more is
    logged with the fields that count_work returns.
    """

    def __init__(
        self,
        observe: Callable[[float], None],
        count_work: Callable[[], dict[str, int]],
    ) -> None:
        self.observe = observe
        self.count_work = count_work

    async def run(self) -> None:
        """Measure periodically until cancelled."""
        while True:
            due_s = now_s() + PERIOD_S
            await anyio.sleep_until(due_s)
            self.record(now_s() - due_s)

    def record(self, lag_s: float) -> None:
        """Observe a lag, and log it if it is long."""
        self.observe(lag_s)
        if lag_s >= LAG_WARNING_S:
            lag_ms = int(lag_s * MS_PER_S)
            events.warning(
                "event_loop.lagged", lag_ms=lag_ms, **self.count_work()
            )
