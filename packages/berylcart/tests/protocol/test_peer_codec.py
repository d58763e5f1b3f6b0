"""Check what configuration offers keep on their way."""

import pytest
from berylcart.protocol import peer_codec as codec
from berylcart.protocol import peer_pb2 as pb
from berylcart.protocol.json_values import MessageError
from berylcart.state.peer_messages import ConfigOffer
from berylcart.state.records import Checkpoint, Verdict

CHECKPOINT = Checkpoint(
    7, 3, 1, "[place.p]\n" * 1000, (Verdict("p1", 0, 3, ""),)
)


@pytest.mark.parametrize("checkpoint", [CHECKPOINT, None])
def test_offer_keeps_its_age_and_text(checkpoint):
    offer = ConfigOffer(checkpoint, 9000)
    message = codec.encode_config_offer(offer)
    assert codec.decode_config_offer(message) == offer


def test_offer_is_compressed():
    message = codec.encode_config_offer(ConfigOffer(CHECKPOINT, 0))
    assert message.ByteSize() < len(CHECKPOINT.text) / 10


def test_damaged_text_is_a_message_error():
    message = pb.ConfigMessage(is_newer=True, text_zlib=b"damaged")
    with pytest.raises(MessageError):
        codec.decode_config_offer(message)
