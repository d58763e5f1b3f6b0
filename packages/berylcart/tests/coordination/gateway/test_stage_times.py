"""Test the estimate of the time that a request's later stages need."""

import pytest
from berylcart.coordination.gateway.stage_times import (
    ENGINE_FIRST_EVENT_S,
    remaining_times_s,
)
from berylcart.state.routes import (
    BatchLimits,
    GatewayService,
    RouteKind,
    RouteStage,
)

from ..gateway_fakes import make_route

LIMITS = BatchLimits(1, 2, 15, 150.0, 8.0, 1e6, 4.0)
SERVICES = {name: GatewayService(name, 0, LIMITS) for name in ("sms", "desk")}
CHAIN = make_route(
    RouteKind.STREAM,
    stages=(RouteStage("sms", (), 10), RouteStage("desk", (0,), 10)),
)


def remaining_s(piece_counts, replicas=1):
    return remaining_times_s(
        CHAIN, piece_counts, SERVICES, lambda name: replicas
    )


def test_order_that_needs_two_calls_is_due_one_call_earlier():
    one_call, two_calls = remaining_s((4, 15)), remaining_s((4, 16))
    assert two_calls[1] - one_call[1] == pytest.approx(0.27)
    assert two_calls[0] - one_call[0] == pytest.approx(0.27)


def test_two_replicas_process_two_calls_in_parallel():
    assert remaining_s((4, 16), 2)[1] == pytest.approx(remaining_s((4, 15))[1])


def test_estimate_includes_the_wait_for_a_free_replica():
    # The mean wait for one busy replica is half of a call of 0.27 s.
    first, last = remaining_s((4, 15))
    assert first == pytest.approx(0.182 + 0.135 + last)
    assert last == pytest.approx(0.27 + ENGINE_FIRST_EVENT_S)


def test_stage_without_pieces_takes_no_time():
    assert remaining_s((4, 0)) == pytest.approx(
        [0.182 + ENGINE_FIRST_EVENT_S, ENGINE_FIRST_EVENT_S]
    )
