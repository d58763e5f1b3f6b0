"""Convert piece orders between daemons to and from protobuf."""

from berylcart import clock
from berylcart.coordination.gateway.batch_selection import (
    MAX_PIECES,
    PieceOrder,
)
from berylcart.coordination.gateway.order_router import OrderResult
from berylcart.coordination.gateway.permitted_places import Places
from berylcart.protocol import peer_pb2 as pb
from berylcart.state.errors import BerylcartError, Code

MS_PER_S = 1000
MAX_DURATION_MS = 2**31 - 1
MAX_UINT32 = 2**32 - 1


def ms_until(instant_s: float) -> int:
    """Return the time left until an instant of the event loop's clock."""
    remaining_ms = int((instant_s - clock.now_s()) * MS_PER_S)
    return max(-MAX_DURATION_MS, min(MAX_DURATION_MS, remaining_ms))


def encode_order(order: PieceOrder) -> pb.PieceOrderMessage:
    """Encode an order."""
    return pb.PieceOrderMessage(
        request_id=order.request_id,
        service=order.service,
        stage=order.stage,
        count=order.pieces,
        key=order.key,
        inputs=order.inputs,
        rank=max(0, order.rank),
        due_ms=ms_until(order.due_s),
        deadline_ms=ms_until(order.deadline_s),
        place=order.place,
        result_bytes=min(order.result_bytes, MAX_UINT32),
        moved_bytes=min(order.moved_bytes, MAX_UINT32),
        is_only_reader=order.is_only_reader,
        places=sorted(order.places or ()),
        is_restricted=order.places is not None,
    )


def decode_order(message: pb.PieceOrderMessage) -> PieceOrder:
    """Decode an order; raises ValueError when it is invalid."""
    if not 0 < message.count <= MAX_PIECES or not message.request_id:
        raise ValueError(
            f"an order needs a request id and 1 up to {MAX_PIECES} pieces"
        )
    now_s = clock.now_s()
    return PieceOrder(
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
    """Decode the places permitted for an order.

    None permits every place, an empty set permits none. Daemons of an older
    version do not set is_restricted.
    """
    if not message.is_restricted and not message.places:
        return None
    return frozenset(message.places)


def encode_error(error: BerylcartError) -> pb.PiecesMessage:
    """Encode the error of an order that failed."""
    return pb.PiecesMessage(
        error_code=int(error.code),
        error_detail=error.detail,
        retry_after_ms=max(0, error.retry_after_ms or 0),
    )


def encode_results(results: OrderResult) -> pb.PiecesMessage:
    """Encode the results of an order."""
    return pb.PiecesMessage(
        handles=results.handles,
        backlog_ms=min(MAX_DURATION_MS, int(results.backlog_s * MS_PER_S)),
    )


def decode_results(message: pb.PiecesMessage) -> OrderResult:
    """Decode the results of an order.

    Raises the BerylcartError that the peer sent instead of results, and
    ValueError on an unknown error code.
    """
    if not message.error_code:
        backlog_s = message.backlog_ms / MS_PER_S
        return OrderResult(tuple(message.handles), backlog_s)
    raise BerylcartError(
        Code(message.error_code),
        message.error_detail,
        retry_after_ms=message.retry_after_ms or None,
    )
