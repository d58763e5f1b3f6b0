"""Translate orders of pieces between daemons to and from protobuf."""

from berylcart import clock
from berylcart.coordination.gateway.permitted import Places
from berylcart.coordination.gateway.piece_queue import MAX_PIECES, Order
from berylcart.coordination.gateway.stage_home import MadePieces
from berylcart.protocol import peer_pb2 as pb
from berylcart.state.errors import BerylcartError, Code

MS_PER_S = 1000
MAX_TIME_MS = 2**31 - 1
MAX_BYTES = 2**32 - 1


def left_ms(time_s: float) -> int:
    """Turn a time of the runtime's clock into what is left until then."""
    left = int((time_s - clock.now_s()) * MS_PER_S)
    return max(-MAX_TIME_MS, min(MAX_TIME_MS, left))


def encode_order(order: Order) -> pb.PieceOrderMessage:
    """Encode an order."""
    return pb.PieceOrderMessage(
        request_id=order.request_id,
        service=order.service,
        stage=order.stage,
        count=order.pieces,
        key=order.key,
        inputs=order.inputs,
        rank=max(0, order.rank),
        due_ms=left_ms(order.due_s),
        deadline_ms=left_ms(order.deadline_s),
        place=order.place,
        result_bytes=min(order.result_bytes, MAX_BYTES),
        moved_bytes=min(order.moved_bytes, MAX_BYTES),
        is_only_reader=order.is_only_reader,
        places=sorted(order.places or ()),
        is_restricted=order.places is not None,
    )


def decode_order(message: pb.PieceOrderMessage) -> Order:
    """Decode an order; raises ValueError on none or too many pieces."""
    if not 0 < message.count <= MAX_PIECES or not message.request_id:
        raise ValueError(f"an order names a request and up to {MAX_PIECES}")
    now_s = clock.now_s()
    return Order(
        request_id=message.request_id,
        service=message.service,
        stage=message.stage,
        pieces=message.count,
        key=message.key,
        inputs=tuple(message.inputs),
        rank=message.rank,
        due_s=now_s + message.due_ms / MS_PER_S,
        deadline_s=now_s + message.deadline_ms / MS_PER_S,
        place=message.place,
        result_bytes=message.result_bytes,
        moved_bytes=message.moved_bytes,
        is_only_reader=message.is_only_reader,
        places=decode_places(message),
    )


def decode_places(message: pb.PieceOrderMessage) -> Places:
    """Decode where an order may be made; an empty list permits no place."""
    if not message.is_restricted and not message.places:
        return None
    return frozenset(message.places)


def encode_error(error: BerylcartError) -> pb.PiecesMessage:
    """Encode why the pieces of an order were not made."""
    return pb.PiecesMessage(
        error_code=int(error.code),
        error_detail=error.detail,
        retry_after_ms=max(0, error.retry_after_ms or 0),
    )


def encode_made(made: MadePieces) -> pb.PiecesMessage:
    """Encode the results of an order."""
    return pb.PiecesMessage(
        handles=made.handles,
        backlog_ms=min(MAX_TIME_MS, int(made.backlog_s * MS_PER_S)),
    )


def decode_made(message: pb.PiecesMessage) -> MadePieces:
    """Decode the results; raises the BerylcartError that came instead.

    Raises ValueError on an unknown code.
    """
    if not message.error_code:
        backlog_s = message.backlog_ms / MS_PER_S
        return MadePieces(tuple(message.handles), backlog_s)
    raise BerylcartError(
        Code(message.error_code),
        message.error_detail,
        retry_after_ms=message.retry_after_ms or None,
    )
