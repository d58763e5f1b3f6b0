"""Know how far stages are behind, and refuse at arrival what can't be done.

The load is a burst of requests whose later stages can't keep up: results of
the first stages would expire in a queue, and callers would leave.
"""

from collections.abc import Callable, Mapping

import anyio

from berylcart.coordination.gateway.stage_times import (
    ENGINE_S,
    whole_call_s,
)
from berylcart.state.errors import BerylcartError, Code
from berylcart.state.routes import GatewayService, Route

MS_PER_S = 1000
# Older news may no longer hold; the next request asks anew.
FRESH_S = 1.0
# What a refused caller should find when it comes back.
ACCEPTABLE_S = 0.5


class Backlogs:
    """Hold the newest backlog of each service."""

    def __init__(
        self, clock_s: Callable[[], float] = anyio.current_time
    ) -> None:
        self.clock_s = clock_s
        self.known: dict[str, tuple[float, float]] = {}

    def note(self, service: str, backlog_s: float) -> None:
        """Take news of a service."""
        self.known[service] = (backlog_s, self.clock_s())

    def of(self, service: str) -> float:
        """Give a service's backlog as far as news are fresh."""
        backlog_s, noted_s = self.known.get(service, (0.0, 0.0))
        age_s = self.clock_s() - noted_s
        return max(0.0, backlog_s - age_s) if age_s < FRESH_S else 0.0

    def check(
        self,
        route: Route,
        services: Mapping[str, GatewayService],
        left_s: float,
    ) -> None:
        """Raise OVERLOADED for a request that can't begin in the time left."""
        wait_s = self.longest_s(route, services)
        worst = max((self.of(s.service) for s in route.stages), default=0.0)
        if wait_s < left_s:
            return
        raise BerylcartError(
            Code.OVERLOADED,
            f"{route.name} would begin after {wait_s:.1f} s",
            retry_after_ms=int(max(0.0, worst - ACCEPTABLE_S) * MS_PER_S),
        )

    def longest_s(
        self, route: Route, services: Mapping[str, GatewayService]
    ) -> float:
        """Estimate the time until a request of a route begins.

        >>> from berylcart.state.routes import (
        ...     BatchLimits, RouteKind, RouteStage)
        >>> limits = BatchLimits(1, 2, 8, 150, 10, 1e6, 4)
        >>> services = {"s": GatewayService("s", 0, limits)}
        >>> stages = (RouteStage("s", (), 1), RouteStage("s", (0,), 1))
        >>> route = Route("r", "h", "/", RouteKind.STREAM, (), 1, 1,
        ...               stages=stages)
        >>> backlogs = Backlogs(lambda: 0.0)
        >>> round(backlogs.longest_s(route, services), 2)
        0.86
        >>> backlogs.note("s", 2.0)
        >>> round(backlogs.longest_s(route, services), 2)
        4.86
        """
        ends_s: list[float] = []
        for stage in route.stages:
            start_s = max((ends_s[each] for each in stage.after), default=0.0)
            wait_s = self.of(stage.service)
            own_s = whole_call_s(stage.service, services)
            ends_s.append(start_s + wait_s + own_s)
        return max(ends_s, default=0.0) + ENGINE_S
