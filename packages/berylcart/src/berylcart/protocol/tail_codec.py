"""Convert log tails between daemons to and from protobuf."""

from berylcart.protocol import peer_pb2 as pb
from berylcart.state.tail import LogPart, StoredRecord, TailAnswer

MAX_DURATION_MS = 2**32 - 1


def encode_tail(tail: TailAnswer | None) -> pb.TailMessage:
    """Encode the tail of a log, or that the daemon does not have it."""
    if tail is None:
        return pb.TailMessage(is_known=False)
    return pb.TailMessage(
        is_known=True,
        records=[
            pb.RecordMessage(
                key=record.key, value=record.value, offset=record.offset
            )
            for record in tail.part.records
        ],
        next_offset=tail.part.next_offset,
        age_ms=min(MAX_DURATION_MS, tail.age_ms),
        returned_ms=min(MAX_DURATION_MS, tail.returned_ms),
        era=tail.part.era,
    )


def decode_tail(message: pb.TailMessage) -> TailAnswer | None:
    """Decode the tail of a log, None if the daemon does not have it."""
    if not message.is_known:
        return None
    records = tuple(
        StoredRecord(record.key, record.value, record.offset)
        for record in message.records
    )
    part = LogPart(records, message.next_offset, era=message.era)
    return TailAnswer(part, message.age_ms, message.returned_ms)
