"""Track the queueing delay of each service and reject requests at arrival.

A burst can exceed what later stages sustain: results of the first stages
would expire in a queue and callers would disconnect. A request that cannot
start within its deadline is therefore rejected before any stage runs.
"""

from collections.abc import Callable, Mapping

import anyio

from berylcart.coordination.gateway.stage_times import (
    ENGINE_FIRST_EVENT_S,
    full_batch_duration_s,
)
from berylcart.state.errors import BerylcartError, Code
from berylcart.state.routes import GatewayService, Route

MS_PER_S = 1000
# An older report is treated as no backlog, so that the next request is
# admitted and brings a new one.
MAX_BACKLOG_AGE_S = 1.0
# Backlog that a rejected caller should find when it retries.
TARGET_BACKLOG_S = 0.5


class BacklogTable:
    """Hold the latest reported backlog of each service."""

    def __init__(
        self, clock_s: Callable[[], float] = anyio.current_time
    ) -> None:
        self.clock_s = clock_s
        self.reported: dict[str, tuple[float, float]] = {}

    def record(self, service: str, backlog_s: float) -> None:
        """Record a reported backlog."""
        self.reported[service] = (backlog_s, self.clock_s())

    def current_s(self, service: str) -> float:
        """Return a service's backlog less the report's age; 0 once too old."""
        backlog_s, reported_at_s = self.reported.get(service, (0.0, 0.0))
        age_s = self.clock_s() - reported_at_s
        return (
            max(0.0, backlog_s - age_s) if age_s < MAX_BACKLOG_AGE_S else 0.0
        )

    def check(
        self,
        route: Route,
        services: Mapping[str, GatewayService],
        remaining_s: float,
    ) -> None:
        """Raise OVERLOADED if a request can't start in the time remaining."""
        wait_s = self.time_to_first_event_s(route, services)
        largest_s = max(
            (self.current_s(s.service) for s in route.stages), default=0.0
        )
        if wait_s < remaining_s:
            return
        raise BerylcartError(
            Code.OVERLOADED,
            f"{route.name} would begin after {wait_s:.1f} s",
            retry_after_ms=int(
                max(0.0, largest_s - TARGET_BACKLOG_S) * MS_PER_S
            ),
        )

    def time_to_first_event_s(
        self, route: Route, services: Mapping[str, GatewayService]
    ) -> float:
        """Estimate the time to the first event of a request on a route.

        >>> from berylcart.state.routes import (
        ...     BatchLimits, RouteKind, RouteStage)
        >>> limits = BatchLimits(1, 2, 8, 150, 10, 1e6, 4)
        >>> services = {"s": GatewayService("s", 0, limits)}
        >>> stages = (RouteStage("s", (), 1), RouteStage("s", (0,), 1))
        >>> route = Route("r", "h", "/", RouteKind.STREAM, (), 1, 1,
        ...               stages=stages)
        >>> backlogs = BacklogTable(lambda: 0.0)
        >>> round(backlogs.time_to_first_event_s(route, services), 2)
        0.86
        >>> backlogs.record("s", 2.0)
        >>> round(backlogs.time_to_first_event_s(route, services), 2)
        4.86
        """
        ends_s: list[float] = []
        for stage in route.stages:
            start_s = max((ends_s[each] for each in stage.after), default=0.0)
            wait_s = self.current_s(stage.service)
            run_s = full_batch_duration_s(stage.service, services)
            ends_s.append(start_s + wait_s + run_s)
        return max(ends_s, default=0.0) + ENGINE_FIRST_EVENT_S
