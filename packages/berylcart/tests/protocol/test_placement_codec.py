"""Test the protobuf encoding of placement messages."""

import pytest
from berylcart.protocol import peer_pb2 as pb
from berylcart.protocol.placement_codec import (
    MAX_PARTS,
    decode_attempt,
    decode_placement,
    decode_query,
    encode_attempt,
    encode_placement,
    encode_query,
)
from berylcart.state.peer_messages import (
    AttemptReport,
    Placement,
    PlacementQuery,
)
from berylcart.state.relay_messages import PromptPart

PARTS = (PromptPart("a1", 2520), PromptPart("b2", 3780))


def test_query_round_trips():
    query = PlacementQuery("model", PARTS, 2890, 54, 8000, "p1", 3_000_000)
    assert decode_query(encode_query(query)) == query


def test_placement_round_trips_and_may_be_none():
    placement = Placement("v1", 1_772_938_892_253, 2**40, 120)
    assert decode_placement(encode_placement(placement)) == placement
    assert decode_placement(pb.PlacementMessage()) is None


def test_attempt_round_trips():
    update = AttemptReport("model", 7, True, 250)
    assert decode_attempt(encode_attempt(update)) == update
    failed = AttemptReport("model", 7, False, 250, is_failed=True)
    assert decode_attempt(encode_attempt(failed)) == failed


def test_query_with_too_many_parts_raises():
    parts = [pb.PromptPartMessage(part_id="a")] * (MAX_PARTS + 1)
    with pytest.raises(ValueError, match="more than 64 shared parts"):
        decode_query(pb.PlaceRequestMessage(service="m", parts=parts))
