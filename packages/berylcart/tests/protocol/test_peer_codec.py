"""Test the protobuf encoding of peer messages."""

import contextlib

import pytest
from berylcart.protocol import peer_codec as codec
from berylcart.protocol import peer_pb2 as pb
from berylcart.protocol.json_codec import MessageError
from berylcart.protocol.tail_codec import decode_tail, encode_tail
from berylcart.state.errors import BerylcartError
from berylcart.state.member_table import Member
from berylcart.state.peer_messages import (
    AgeTable,
    ConfigReply,
    EvacuationReport,
    Gossip,
    LimitReport,
    PartCrash,
    PartReport,
)
from berylcart.state.records import Checkpoint, Verdict
from berylcart.state.tail import FIRST_ERA, LogPart, TailAnswer
from google.protobuf.message import DecodeError
from hypothesis import given, seed, settings
from hypothesis import strategies as st

CHECKPOINT = Checkpoint(
    7, 3, 1, "[place.p]\n" * 1000, (Verdict("p1", 0, 3, ""),)
)


@pytest.mark.parametrize("checkpoint", [CHECKPOINT, None])
def test_config_offer_round_trips(checkpoint):
    offer = ConfigReply(checkpoint, 9000)
    message = codec.encode_config_offer(offer)
    assert codec.decode_config_offer(message) == offer


def test_config_offer_is_compressed():
    message = codec.encode_config_offer(ConfigReply(CHECKPOINT, 0))
    assert message.ByteSize() < len(CHECKPOINT.text) / 10


def test_corrupt_text_raises_message_error():
    message = pb.ConfigMessage(is_newer=True, text_zlib=b"damaged")
    with pytest.raises(MessageError):
        codec.decode_config_offer(message)


def test_evacuations_round_trip_and_older_daemons_send_none():
    sender = Member("d1", 1, "a", "b", "hall-1")
    updates = (
        EvacuationReport("hall-1", True, 2**64 - 1),
        EvacuationReport("h" * 200, False, 0, 599_999),
    )
    message = codec.encode_gossip(Gossip(sender, evacuations=updates))
    data = message.SerializeToString()
    decoded = codec.decode_gossip(pb.GossipMessage.FromString(data))
    assert decoded.evacuations == updates
    message.ClearField("evacuations")
    assert codec.decode_gossip(message).evacuations == ()


def test_limit_with_cold_time_round_trips():
    updates = LimitReport("v1", 7, 2.5, 400, 3000)
    assert codec.decode_limit(codec.encode_limit(updates)) == updates


def test_limit_of_an_older_daemon_has_no_cold_time():
    message = pb.LimitMessage(vm_id="v1", incarnation=7, per_s=2.5)
    assert codec.decode_limit(message).cold_ms == 0


DECODERS = [
    (pb.PingMessage, codec.decode_ping),
    (pb.PingRequestMessage, codec.decode_ping_request),
    (pb.GossipMessage, codec.decode_gossip),
    (pb.PullConfigMessage, codec.decode_config_query),
    (pb.ConfigMessage, codec.decode_config_offer),
    (pb.CollectAnswerMessage, codec.decode_answer_query),
    (pb.AnswerMessage, codec.decode_answer),
]
DECODE_ERRORS = (DecodeError, ValueError, BerylcartError)


@pytest.mark.parametrize(("message_type", "decode"), DECODERS)
@seed(1)
@settings(deadline=None)
@given(data=st.binary(max_size=200))
def test_any_bytes_are_decoded_or_raise(message_type, decode, data):
    with contextlib.suppress(*DECODE_ERRORS):
        assert decode(message_type.FromString(data)) is not None


def test_positions_keep_their_era():
    report = EvacuationReport("hall-1", True, 7, era=3)
    message = codec.encode_evacuation(report)
    assert codec.decode_evacuation(message) == report
    offer = ConfigReply(CHECKPOINT, 0, era=3)
    message = codec.encode_config_offer(offer)
    assert codec.decode_config_offer(message) == offer
    tail = TailAnswer(LogPart((), 7, era=3), 0, 0)
    assert decode_tail(encode_tail(tail)) == tail


def test_positions_of_an_older_daemon_are_of_the_first_era():
    message = pb.EvacuationMessage(place="hall-1", is_active=True, offset=7)
    assert codec.decode_evacuation(message).era == FIRST_ERA
    tail = decode_tail(pb.TailMessage(is_known=True, next_offset=7))
    assert tail.part.era == FIRST_ERA


def test_ages_and_parts_survive_the_wire():
    sender = Member("d1", 1, "a", "b", "p")
    parts = (
        PartReport("5c1e", (PartCrash("v1/7", 900),), 0, 400, True, 2),
        PartReport("91bd", (PartCrash("v1/7", 900), PartCrash("v2/1", 0))),
        PartReport("request:07", (PartCrash("v1/7", 900, 950),)),
    )
    ages = AgeTable(2**64 - 1, bytes([0, 7, 255]))
    data = codec.encode_gossip(
        Gossip(sender, ages=ages, parts=parts)
    ).SerializeToString()
    decoded = codec.decode_gossip(pb.GossipMessage.FromString(data))
    assert (decoded.ages, decoded.parts) == (ages, parts)


def test_message_of_an_older_daemon_has_no_ages_and_parts():
    message = codec.encode_gossip(Gossip(Member("d1", 1, "a", "b", "p")))
    for field in ("ages_digest", "age_steps", "parts"):
        message.ClearField(field)
    decoded = codec.decode_gossip(message)
    assert (decoded.ages, decoded.parts) == (AgeTable(), ())
