"""Estimate the durations of a route's stages without a backlog."""

from collections.abc import Callable, Mapping, Sequence
from math import ceil
from typing import NamedTuple

from berylcart.coordination.gateway.batch_selection import batch_duration_s
from berylcart.state.routes import BatchLimits, GatewayService, Route

# Time to the first event apart from the stages, for a lightly loaded engine;
# used until times of the route are known.
ENGINE_FIRST_EVENT_S = 0.4


def full_batch_duration_s(
    service: str, services: Mapping[str, GatewayService]
) -> float:
    """Estimate the duration of a full call, 0 for an unbatched service."""
    info = services.get(service)
    if info is None or info.batches is None:
        return 0.0
    return batch_duration_s(info.batches, info.batches.pieces)


def run_time_s(pieces: int, limits: BatchLimits, replicas: int) -> float:
    """Estimate how long idle replicas take to process a stage's pieces.

    >>> limits = BatchLimits(1, 2, 8, 150, 10, 1e6, 4)
    >>> [round(run_time_s(pieces, limits, 2), 2) for pieces in (0, 4, 16, 17)]
    [0.0, 0.19, 0.23, 0.46]
    """
    if not pieces:
        return 0.0
    rounds = ceil(pieces / (limits.pieces * replicas))
    return rounds * batch_duration_s(limits, min(pieces, limits.pieces))


def slot_wait_s(limits: BatchLimits, replicas: int) -> float:
    """Estimate the mean wait until one of several busy replicas is free.

    >>> round(slot_wait_s(BatchLimits(1, 2, 8, 150, 10, 1e6, 4), 1), 3)
    0.115
    """
    return batch_duration_s(limits, limits.pieces) / (1 + replicas)


class StageEstimate(NamedTuple):
    """Hold a stage's wait for a free replica and its processing time."""

    slot_wait_s: float
    processing_s: float


def estimate_stage(
    pieces: int, limits: BatchLimits | None, replicas: int
) -> StageEstimate:
    """Estimate the times of a stage that has no backlog."""
    if limits is None or not pieces:
        return StageEstimate(0.0, 0.0)
    return StageEstimate(
        slot_wait_s(limits, replicas), run_time_s(pieces, limits, replicas)
    )


def remaining_times_s(
    route: Route,
    piece_counts: Sequence[int],
    services: Mapping[str, GatewayService],
    count_replicas: Callable[[str], int],
    first_event_s: float = ENGINE_FIRST_EVENT_S,
) -> list[float]:
    """Estimate the time from each stage's first call to the first event.

    A queued order may start as late as its due time, so a time that this
    estimate omits makes the answer late. first_event_s is the time to the
    first event after the last stage.

    >>> from berylcart.state.routes import RouteKind, RouteStage
    >>> services = {"s": GatewayService("s", 0, BatchLimits(
    ...     1, 2, 8, 150, 10, 1e6, 4))}
    >>> stages = (RouteStage("s", (), 1), RouteStage("s", (0,), 1))
    >>> route = Route("r", "h", "/", RouteKind.STREAM, (), 1, 1,
    ...               stages=stages)
    >>> times_s = remaining_times_s(route, (8, 16), services, lambda name: 1)
    >>> [round(each, 2) for each in times_s]
    [1.21, 0.86]
    """
    times = []
    for stage, pieces in zip(route.stages, piece_counts, strict=True):
        info = services.get(stage.service)
        limits = None if info is None else info.batches
        replicas = max(1, count_replicas(stage.service))
        times.append(estimate_stage(pieces, limits, replicas))
    remaining_s = [0.0] * len(route.stages)
    for index in reversed(range(len(route.stages))):
        later_s = [
            times[each].slot_wait_s + remaining_s[each]
            for each, stage in enumerate(route.stages)
            if index in stage.after
        ]
        remaining_s[index] = times[index].processing_s + max(
            later_s, default=first_event_s
        )
    return remaining_s
