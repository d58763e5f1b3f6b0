"""Test what callers get while results of others fill the replicas' memory."""

import anyio
from berylcart.coordination.gateway.replica_state import (
    FULL_ESTIMATE_LIFETIME_S,
    ReplicaState,
)
from berylcart.state.routes import RouteStage

from ..serving_fakes import run
from ..stage_fleet import Fleet, Load, StageService, deterministic_scheduling
from .test_first_event_times import LIMITS, SUMMARY

ROOM_BYTES = LIMITS.room_bytes
LETTER = SUMMARY._replace(
    name="letter",
    path_prefix="/l/",
    target_ms=1600,
    stages=(
        RouteStage("intake", (), 8_000),
        RouteStage("portal", (0,), 8_000),
    ),
)
# Three replicas process up to 64 pieces a second; the load asks for 42.
LOADS = (Load(SUMMARY, 8.0, (2,)), Load(LETTER, 26.0, (1, 1)))
OUTAGE_S = 8.0


def test_replica_without_room_for_a_large_result_takes_small_ones():
    state = ReplicaState()
    state.rejected_bytes = 1_500_000
    state.record_full(10.0)
    assert 8_000 < state.free_bytes(ROOM_BYTES, 10.5) < 1_500_000
    later_s = 10.0 + FULL_ESTIMATE_LIFETIME_S
    assert state.free_bytes(ROOM_BYTES, later_s) == ROOM_BYTES


def on_time_letters(unknown_bytes):
    """Return the share of on-time letters beside results of other daemons."""
    shares = []

    async def check():
        services = {
            "intake": StageService(LIMITS, 3),
            "portal": StageService(LIMITS, 3),
        }
        fleet = Fleet(services, LOADS, seed=1)
        end_s = anyio.current_time() + OUTAGE_S
        for vm in fleet.vms["portal"]:
            replica = fleet.replicas[vm.address]
            replica.results["unknown"] = (unknown_bytes, end_s)
        await fleet.simulate(OUTAGE_S)
        shares.append(fleet.on_time_share("letter"))

    with deterministic_scheduling(1):
        run(check)
    return shares[0]


def test_small_orders_are_as_timely_while_large_results_have_no_room():
    assert on_time_letters(ROOM_BYTES - 1_000_000) >= on_time_letters(0)
