"""Check the messages by which daemons have pieces made."""

import pytest
from berylcart.coordination.gateway.piece_queue import MAX_PIECES, Order
from berylcart.coordination.gateway.stage_home import MadePieces
from berylcart.protocol import peer_pb2 as pb
from berylcart.protocol.piece_codec import (
    decode_made,
    decode_order,
    encode_error,
    encode_made,
    encode_order,
)
from berylcart.state.errors import BerylcartError, Code
from google.protobuf.message import DecodeError
from hypothesis import given, settings
from hypothesis import strategies as st

from ..coordination.serving_fakes import run

FIXED = settings(deadline=None, derandomize=True)
NAMES = st.text(min_size=1, max_size=20)
SMALL = st.integers(0, 1000)
ORDERS = st.builds(
    Order,
    request_id=NAMES,
    service=NAMES,
    stage=SMALL,
    pieces=st.integers(1, MAX_PIECES),
    key=NAMES,
    inputs=st.lists(NAMES, max_size=5).map(tuple),
    rank=SMALL,
    due_s=st.floats(-10, 100),
    deadline_s=st.floats(0, 100),
    place=NAMES,
    result_bytes=st.integers(0, 2**32 - 1),
    moved_bytes=st.integers(0, 2**32 - 1),
    is_only_reader=st.booleans(),
    places=st.none() | st.frozensets(NAMES, max_size=5),
)


@FIXED
@given(ORDERS)
def test_an_order_comes_back_as_it_was(order):
    async def check():
        data = encode_order(order).SerializeToString()
        read = decode_order(pb.PieceOrderMessage.FromString(data))
        times = {"due_s": read.due_s, "deadline_s": read.deadline_s}
        assert order._replace(**times) == read
        # Times travel in whole milliseconds.
        assert read.due_s == pytest.approx(order.due_s, abs=0.002)
        assert read.deadline_s == pytest.approx(order.deadline_s, abs=0.002)

    run(check)


@FIXED
@given(st.binary(max_size=200))
def test_any_bytes_are_an_order_or_refused(data):
    async def check():
        try:
            order = decode_order(pb.PieceOrderMessage.FromString(data))
        except (DecodeError, ValueError):
            return
        assert order.request_id
        assert 0 < order.pieces <= MAX_PIECES

    run(check)


def test_an_order_for_too_many_pieces_is_refused():
    message = pb.PieceOrderMessage(request_id="r1", count=MAX_PIECES + 1)
    with pytest.raises(ValueError, match="up to 10000"):
        decode_order(message)


@FIXED
@given(st.binary(max_size=200))
def test_any_bytes_are_results_or_an_error(data):
    try:
        made = decode_made(pb.PiecesMessage.FromString(data))
    except (DecodeError, ValueError, BerylcartError):
        return
    assert made.backlog_s >= 0


@FIXED
@given(st.lists(NAMES, max_size=5), st.floats(0, 1000))
def test_results_come_back_as_they_were(handles, backlog_s):
    made = decode_made(encode_made(MadePieces(tuple(handles), backlog_s)))
    assert made.handles == tuple(handles)
    assert made.backlog_s == pytest.approx(backlog_s, abs=0.001)


@FIXED
@given(st.sampled_from(Code), NAMES, st.integers(1, 10_000))
def test_an_error_comes_back_as_it_was(code, detail, retry_after_ms):
    error = BerylcartError(code, detail, retry_after_ms=retry_after_ms)
    with pytest.raises(BerylcartError) as raised:
        decode_made(encode_error(error))
    assert raised.value.code is code
    assert raised.value.detail == detail
    assert raised.value.retry_after_ms == retry_after_ms


def test_an_older_daemon_restricts_no_order():
    async def check():
        order = Order("r1", "s", 0, 1, "k", (), 0, 1.0, 2.0, "", 10)
        message = encode_order(order._replace(places=frozenset()))
        assert decode_order(message).places == frozenset()
        message.ClearField("is_restricted")
        assert decode_order(message).places is None

    run(check)
