"""Test which orders a replica of another place takes, and what callers get."""

from berylcart.coordination.gateway.batch_selection import (
    LARGE_TRANSFER_BYTES,
    LOCALITY_WAIT_S,
    PieceOrder,
    QueuedOrder,
    ReplicaSnapshot,
    select_batch,
)
from berylcart.state.routes import BatchLimits, RouteKind, RouteStage

from ..gateway_fakes import make_route
from ..serving_fakes import run
from ..stage_fleet import Fleet, Load, StageService, deterministic_scheduling

PLACES = ("hall-1", "hall-2", "hall-3")
LIMITS = BatchLimits(1, 2, 4, 200.0, 5.0, 1e9, 4.0, 10_000.0)
REPLICA = ReplicaSnapshot("v1", "hall-1", 0.0, 1e9, 1.0)
LETTER = make_route(
    RouteKind.STREAM,
    gap_ms=150,
    stages=(
        RouteStage("portal", (), 8_000),
        RouteStage("mailer", (0,), 60_000),
        RouteStage("sync", (1,), 13_000),
    ),
)._replace(name="letter", path_prefix="/l/", target_ms=1600, priority=0)
SERVICES = {
    "portal": StageService(
        BatchLimits(1, 2, 8, 200.0, 21.25, 17_600_000, 4.0, 10_000.0), 3
    ),
    "mailer": StageService(
        BatchLimits(1, 2, 25, 200.0, 6.84, 3_166_670, 4.0, 10_000.0), 3
    ),
    "sync": StageService(
        BatchLimits(1, 2, 40, 200.0, 4.32, 533_333, 4.0, 10_000.0), 3
    ),
}
# The last stage of 25 requests a second has 250 of at most 322 pieces.
LOADS = (Load(LETTER, 25.0, (1, 6, 10)),)


def waiting(request_id, place, *, pieces=2, due_s=5.0, since_s=0.0):
    """Queue an order whose inputs are in a place."""
    order = PieceOrder(
        request_id,
        "s",
        1,
        pieces,
        "",
        ("h",),
        0,
        due_s,
        9.0,
        place,
        40,
        LARGE_TRANSFER_BYTES,
    )
    return QueuedOrder(order, tuple(range(pieces)), since_s, 9.0)


def select_ids(queue, now_s=0.0):
    """Return the request ids of a call's pieces."""
    batch = select_batch(queue, REPLICA, LIMITS, now_s)
    return [piece.order.request_id for piece in batch]


def test_no_call_starts_for_an_order_that_just_arrived_elsewhere():
    queue = [waiting("far", "hall-2")]
    assert select_ids(queue) == []
    assert select_ids(queue, LOCALITY_WAIT_S) == ["far"] * 2


def test_call_that_starts_anyway_is_filled_from_other_places():
    queue = [waiting("far", "hall-2"), waiting("near", "hall-1")]
    assert select_ids(queue) == ["near"] * 2 + ["far"] * 2


def test_near_orders_come_first_unless_another_one_would_be_late():
    near = [waiting(name, "hall-1") for name in ("near-1", "near-2")]
    far = waiting("far", "hall-2", due_s=4.0)
    assert select_ids([far, *near]) == ["near-1"] * 2 + ["near-2"] * 2
    urgent = waiting("far", "hall-2", due_s=0.1)
    assert select_ids([urgent, *near]) == ["far"] * 2 + ["near-1"] * 2


def simulate(seed, places):
    """Simulate the load with replicas in some places; return the fleet."""
    fleets = []

    async def check():
        fleets.append(Fleet(SERVICES, LOADS, seed, places))
        await fleets[0].simulate(20.0, warm_up_s=3.0)

    with deterministic_scheduling(seed):
        run(check)
    return fleets[0]


def test_callers_lose_nothing_when_replicas_are_in_several_places():
    seeds = (1, 2, 3)
    together = [simulate(seed, PLACES[:1]) for seed in seeds]
    apart = [simulate(seed, PLACES) for seed in seeds]
    shares = [
        sum(fleet.on_time_share("letter") for fleet in fleets)
        for fleets in (together, apart)
    ]
    assert shares[1] >= shares[0]
