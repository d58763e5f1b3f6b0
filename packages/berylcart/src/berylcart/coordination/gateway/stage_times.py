"""Estimate how long the stages of a route take without a queue."""

from collections.abc import Mapping

from berylcart.coordination.gateway.piece_queue import call_s
from berylcart.state.routes import GatewayService, Route

# Time to the first event beside the stages: an engine's, lightly loaded.
ENGINE_S = 0.4


def whole_call_s(
    service: str, services: Mapping[str, GatewayService]
) -> float:
    """Estimate how long a call with as many pieces as allowed takes."""
    info = services.get(service)
    if info is None or info.batches is None:
        return 0.0
    return call_s(info.batches, info.batches.pieces)


def rests_s(
    route: Route, services: Mapping[str, GatewayService]
) -> list[float]:
    """Estimate the time from each stage's start to the first event.

    >>> from berylcart.state.routes import (
    ...     BatchLimits, RouteKind, RouteStage)
    >>> services = {"s": GatewayService("s", 0, BatchLimits(
    ...     1, 2, 8, 150, 10, 1e6, 4))}
    >>> stages = (RouteStage("s", (), 1), RouteStage("s", (0,), 1))
    >>> route = Route("r", "h", "/", RouteKind.STREAM, (), 1, 1,
    ...               stages=stages)
    >>> [round(each, 2) for each in rests_s(route, services)]
    [0.86, 0.63]
    """
    rests = [0.0] * len(route.stages)
    for index in reversed(range(len(route.stages))):
        later_s = [
            rests[each]
            for each, stage in enumerate(route.stages)
            if index in stage.after
        ]
        own_s = whole_call_s(route.stages[index].service, services)
        rests[index] = own_s + max(later_s, default=ENGINE_S)
    return rests
