"""Estimate how long the stages of a route take without a queue."""

from collections.abc import Callable, Mapping, Sequence
from math import ceil
from typing import NamedTuple

from berylcart.coordination.gateway.piece_queue import call_s
from berylcart.state.routes import BatchLimits, GatewayService, Route

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


def stage_s(pieces: int, limits: BatchLimits, replicas: int) -> float:
    """Estimate how long replicas that are free take for a stage's pieces.

    >>> limits = BatchLimits(1, 2, 8, 150, 10, 1e6, 4)
    >>> [round(stage_s(pieces, limits, 2), 2) for pieces in (0, 4, 16, 17)]
    [0.0, 0.19, 0.23, 0.46]
    """
    if not pieces:
        return 0.0
    rounds = ceil(pieces / (limits.pieces * replicas))
    return rounds * call_s(limits, min(pieces, limits.pieces))


def turn_s(limits: BatchLimits, replicas: int) -> float:
    """Estimate the wait until one of some busy replicas is free.

    >>> round(turn_s(BatchLimits(1, 2, 8, 150, 10, 1e6, 4), 1), 3)
    0.115
    """
    return call_s(limits, limits.pieces) / (1 + replicas)


class StageTime(NamedTuple):
    """Hold how long a stage waits for its turn and then takes."""

    turn_s: float
    own_s: float


def stage_time(
    pieces: int, limits: BatchLimits | None, replicas: int
) -> StageTime:
    """Estimate the time of a stage that is not behind."""
    if limits is None or not pieces:
        return StageTime(0.0, 0.0)
    return StageTime(
        turn_s(limits, replicas), stage_s(pieces, limits, replicas)
    )


def rests_s(
    route: Route,
    piece_counts: Sequence[int],
    services: Mapping[str, GatewayService],
    count_replicas: Callable[[str], int],
) -> list[float]:
    """Estimate the time from each stage's first call to the first event.

    Orders behind a queue begin when they are due, so what is left out here
    makes them late.

    >>> from berylcart.state.routes import RouteKind, RouteStage
    >>> services = {"s": GatewayService("s", 0, BatchLimits(
    ...     1, 2, 8, 150, 10, 1e6, 4))}
    >>> stages = (RouteStage("s", (), 1), RouteStage("s", (0,), 1))
    >>> route = Route("r", "h", "/", RouteKind.STREAM, (), 1, 1,
    ...               stages=stages)
    >>> rests = rests_s(route, (8, 16), services, lambda name: 1)
    >>> [round(each, 2) for each in rests]
    [1.21, 0.86]
    """
    times = []
    for stage, pieces in zip(route.stages, piece_counts, strict=True):
        info = services.get(stage.service)
        limits = None if info is None else info.batches
        replicas = max(1, count_replicas(stage.service))
        times.append(stage_time(pieces, limits, replicas))
    rests = [0.0] * len(route.stages)
    for index in reversed(range(len(route.stages))):
        later_s = [
            times[each].turn_s + rests[each]
            for each, stage in enumerate(route.stages)
            if index in stage.after
        ]
        rests[index] = times[index].own_s + max(later_s, default=ENGINE_S)
    return rests
