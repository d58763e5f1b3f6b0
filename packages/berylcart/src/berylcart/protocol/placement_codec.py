"""Translate the placing of requests between daemons to and from protobuf."""

from berylcart.protocol import peer_pb2 as pb
from berylcart.state.peer_messages import (
    AttemptNews,
    Placement,
    PlacementQuery,
)
from berylcart.state.relayed import PromptPart

MAX_COUNT = 2**32 - 1
# A prompt has a few shared parts.
MAX_PARTS = 64


def clamp(value: int) -> int:
    """Fit a count into the 32 bits of the wire.

    >>> clamp(-1), clamp(7), clamp(2**40) == MAX_COUNT
    (0, 7, True)
    """
    return max(0, min(MAX_COUNT, value))


def encode_query(query: PlacementQuery) -> pb.PlaceRequestMessage:
    """Encode a question where a request should run."""
    return pb.PlaceRequestMessage(
        service=query.service,
        parts=[
            pb.PromptPartMessage(
                part_id=part.part_id, tokens=clamp(part.tokens)
            )
            for part in query.parts[:MAX_PARTS]
        ],
        own_tokens=clamp(query.own_tokens),
        output_tokens=clamp(query.output_tokens),
        left_ms=clamp(query.left_ms),
        place=query.place,
        moved_bytes=clamp(query.moved_bytes),
        is_question=query.is_question,
    )


def decode_query(message: pb.PlaceRequestMessage) -> PlacementQuery:
    """Decode a question; raises ValueError on too many parts."""
    if len(message.parts) > MAX_PARTS:
        raise ValueError(f"a prompt has up to {MAX_PARTS} shared parts")
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
    """Encode where a request should run."""
    return pb.PlacementMessage(
        vm_id=placement.vm_id,
        incarnation=placement.incarnation,
        number=placement.number,
        expected_ms=clamp(placement.expected_ms),
    )


def decode_placement(message: pb.PlacementMessage) -> Placement | None:
    """Decode where a request should run, None where nothing takes it."""
    if not message.vm_id:
        return None
    return Placement(
        message.vm_id,
        message.incarnation,
        message.number,
        message.expected_ms,
    )


def encode_attempt(news: AttemptNews) -> pb.AttemptMessage:
    """Encode how a placed request went on."""
    return pb.AttemptMessage(
        service=news.service,
        number=news.number,
        is_begun=news.is_begun,
        latency_ms=clamp(news.latency_ms),
        is_failed=news.is_failed,
    )


def decode_attempt(message: pb.AttemptMessage) -> AttemptNews:
    """Decode how a placed request went on."""
    return AttemptNews(
        message.service,
        message.number,
        message.is_begun,
        message.latency_ms,
        message.is_failed,
    )
