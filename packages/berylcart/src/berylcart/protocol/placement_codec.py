"""Convert request placement messages to and from protobuf."""

from berylcart.protocol import peer_pb2 as pb
from berylcart.state.peer_messages import (
    AttemptReport,
    Placement,
    PlacementQuery,
)
from berylcart.state.relay_messages import PromptPart

MAX_UINT32 = 2**32 - 1
# Prompts have only a few shared parts.
MAX_PARTS = 64


def clamp_count(value: int) -> int:
    """Clamp a count to an unsigned 32-bit field.

    >>> clamp_count(-1), clamp_count(7), clamp_count(2**40) == MAX_UINT32
    (0, 7, True)
    """
    return max(0, min(MAX_UINT32, value))


def encode_query(query: PlacementQuery) -> pb.PlaceRequestMessage:
    """Encode a query for the replica that should run a request."""
    return pb.PlaceRequestMessage(
        service=query.service,
        parts=[
            pb.PromptPartMessage(
                part_id=part.part_id, tokens=clamp_count(part.tokens)
            )
            for part in query.parts[:MAX_PARTS]
        ],
        own_tokens=clamp_count(query.own_tokens),
        output_tokens=clamp_count(query.output_tokens),
        left_ms=clamp_count(query.left_ms),
        place=query.place,
        moved_bytes=clamp_count(query.moved_bytes),
        is_question=query.is_question,
    )


def decode_query(message: pb.PlaceRequestMessage) -> PlacementQuery:
    """Decode a placement query; raises ValueError on too many parts."""
    if len(message.parts) > MAX_PARTS:
        raise ValueError(f"the prompt has more than {MAX_PARTS} shared parts")
    return PlacementQuery(
        service=message.service,
        parts=tuple(
            PromptPart(part.part_id, part.tokens) for part in message.parts
        ),
        own_tokens=message.own_tokens,
        output_tokens=message.output_tokens,
        left_ms=message.left_ms,
        place=message.place,
        moved_bytes=message.moved_bytes,
        is_question=message.is_question,
    )


def encode_placement(placement: Placement) -> pb.PlacementMessage:
    """Encode the replica chosen for a request."""
    return pb.PlacementMessage(
        vm_id=placement.vm_id,
        incarnation=placement.incarnation,
        number=placement.number,
        expected_ms=clamp_count(placement.expected_ms),
    )


def decode_placement(message: pb.PlacementMessage) -> Placement | None:
    """Decode the chosen replica, None if no replica accepts the request."""
    if not message.vm_id:
        return None
    return Placement(
        message.vm_id,
        message.incarnation,
        message.number,
        message.expected_ms,
    )


def encode_attempt(update: AttemptReport) -> pb.AttemptMessage:
    """Encode the progress or outcome of a placed request."""
    return pb.AttemptMessage(
        service=update.service,
        number=update.number,
        is_begun=update.is_begun,
        latency_ms=clamp_count(update.latency_ms),
        is_failed=update.is_failed,
    )


def decode_attempt(message: pb.AttemptMessage) -> AttemptReport:
    """Decode the progress or outcome of a placed request."""
    return AttemptReport(
        message.service,
        message.number,
        message.is_begun,
        message.latency_ms,
        message.is_failed,
    )
