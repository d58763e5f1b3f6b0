"""Check how much time is left to the later stages of a request."""

import pytest
from berylcart.coordination.gateway.stage_times import (
    ENGINE_FIRST_EVENT_S,
    rests_s,
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


def rests(piece_counts, replicas=1):
    return rests_s(CHAIN, piece_counts, SERVICES, lambda name: replicas)


def test_an_order_that_needs_two_calls_is_not_begun_too_late():
    one_call, two_calls = rests((4, 15)), rests((4, 16))
    assert two_calls[1] - one_call[1] == pytest.approx(0.27)
    assert two_calls[0] - one_call[0] == pytest.approx(0.27)


def test_two_replicas_share_the_calls_of_an_order():
    assert rests((4, 16), 2)[1] == pytest.approx(rests((4, 15))[1])


def test_a_later_stage_waits_for_its_turn():
    # Half of a call of 0.27 s, on the mean, where one replica is busy.
    first, last = rests((4, 15))
    assert first == pytest.approx(0.182 + 0.135 + last)
    assert last == pytest.approx(0.27 + ENGINE_FIRST_EVENT_S)


def test_a_stage_without_pieces_takes_no_time():
    assert rests((4, 0)) == pytest.approx(
        [0.182 + ENGINE_FIRST_EVENT_S, ENGINE_FIRST_EVENT_S]
    )
