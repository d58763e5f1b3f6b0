"""Test the protobuf encoding of piece orders and results."""

import pytest
from berylcart.coordination.gateway.batch_selection import (
    MAX_PIECES,
    PieceOrder,
)
from berylcart.coordination.gateway.order_router import OrderResult
from berylcart.protocol import peer_pb2 as pb
from berylcart.protocol.piece_codec import (
    decode_order,
    decode_results,
    encode_error,
    encode_order,
    encode_results,
)
from berylcart.state.errors import BerylcartError, Code
from google.protobuf.message import DecodeError
from hypothesis import given, settings
from hypothesis import strategies as st

from ..coordination.serving_fakes import run

DERANDOMIZED = settings(deadline=None, derandomize=True)
NAMES = st.text(min_size=1, max_size=20)
SMALL_INTEGERS = st.integers(0, 1000)
ORDERS = st.builds(
    PieceOrder,
    request_id=NAMES,
    service=NAMES,
    stage=SMALL_INTEGERS,
    pieces=st.integers(1, MAX_PIECES),
    key=NAMES,
    inputs=st.lists(NAMES, max_size=5).map(tuple),
    rank=SMALL_INTEGERS,
    due_s=st.floats(-10, 100),
    deadline_s=st.floats(0, 100),
    place=NAMES,
    result_bytes=st.integers(0, 2**32 - 1),
    moved_bytes=st.integers(0, 2**32 - 1),
    is_only_reader=st.booleans(),
    places=st.none() | st.frozensets(NAMES, max_size=5),
)


@DERANDOMIZED
@given(ORDERS)
def test_order_round_trips(order):
    async def check():
        data = encode_order(order).SerializeToString()
        decoded = decode_order(pb.PieceOrderMessage.FromString(data))
        times = {"due_s": decoded.due_s, "deadline_s": decoded.deadline_s}
        assert order._replace(**times) == decoded
        # Times are encoded in whole milliseconds.
        assert decoded.due_s == pytest.approx(order.due_s, abs=0.002)
        assert decoded.deadline_s == pytest.approx(order.deadline_s, abs=0.002)

    run(check)


@DERANDOMIZED
@given(st.binary(max_size=200))
def test_any_bytes_are_a_valid_order_or_raise(data):
    async def check():
        try:
            order = decode_order(pb.PieceOrderMessage.FromString(data))
        except (DecodeError, ValueError):
            return
        assert order.request_id
        assert 0 < order.pieces <= MAX_PIECES

    run(check)


def test_order_for_too_many_pieces_raises():
    message = pb.PieceOrderMessage(request_id="r1", count=MAX_PIECES + 1)
    with pytest.raises(ValueError, match="1 up to 10000 pieces"):
        decode_order(message)


@DERANDOMIZED
@given(st.binary(max_size=200))
def test_any_bytes_are_results_or_raise(data):
    try:
        results = decode_results(pb.PiecesMessage.FromString(data))
    except (DecodeError, ValueError, BerylcartError):
        return
    assert results.backlog_s >= 0


@DERANDOMIZED
@given(st.lists(NAMES, max_size=5), st.floats(0, 1000))
def test_results_round_trip(handles, backlog_s):
    results = decode_results(
        encode_results(OrderResult(tuple(handles), backlog_s))
    )
    assert results.handles == tuple(handles)
    assert results.backlog_s == pytest.approx(backlog_s, abs=0.001)


@DERANDOMIZED
@given(st.sampled_from(Code), NAMES, st.integers(1, 10_000))
def test_error_round_trips(code, detail, retry_after_ms):
    error = BerylcartError(code, detail, retry_after_ms=retry_after_ms)
    with pytest.raises(BerylcartError) as raised:
        decode_results(encode_error(error))
    assert raised.value.code is code
    assert raised.value.detail == detail
    assert raised.value.retry_after_ms == retry_after_ms


def test_order_of_an_older_daemon_permits_every_place():
    async def check():
        order = PieceOrder("r1", "s", 0, 1, "k", (), 0, 1.0, 2.0, "", 10)
        message = encode_order(order._replace(places=frozenset()))
        assert decode_order(message).places == frozenset()
        message.ClearField("is_restricted")
        assert decode_order(message).places is None

    run(check)
