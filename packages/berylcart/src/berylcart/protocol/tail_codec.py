"""Translate a log's end between daemons to and from protobuf."""

from berylcart.protocol import peer_pb2 as pb
from berylcart.state.tail import LogPart, StoredRecord, TailAnswer

MAX_AGE_MS = 2**32 - 1


def encode_tail(answer: TailAnswer | None) -> pb.TailMessage:
    """Encode a log's end, or that it isn't known."""
    if answer is None:
        return pb.TailMessage(is_known=False)
    return pb.TailMessage(
        is_known=True,
        records=[
            pb.RecordMessage(
                key=each.key, value=each.value, offset=each.offset
            )
            for each in answer.part.records
        ],
        next_offset=answer.part.next_offset,
        age_ms=min(MAX_AGE_MS, answer.age_ms),
        returned_ms=min(MAX_AGE_MS, answer.returned_ms),
    )


def decode_tail(message: pb.TailMessage) -> TailAnswer | None:
    """Decode a log's end, or that it isn't known."""
    if not message.is_known:
        return None
    records = tuple(
        StoredRecord(each.key, each.value, each.offset)
        for each in message.records
    )
    part = LogPart(records, message.next_offset)
    return TailAnswer(part, message.age_ms, message.returned_ms)
