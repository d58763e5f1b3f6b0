"""Explain why a call took fewer pieces than the replica accepts."""

from collections.abc import Sequence
from enum import StrEnum

from berylcart.coordination.gateway.batch_selection import (
    BatchPiece,
    QueuedOrder,
    ReplicaSnapshot,
    count_pieces,
)
from berylcart.state.routes import BatchLimits


class Shortfall(StrEnum):
    """What kept a call from taking more pieces."""

    NONE = "none"
    EMPTY_QUEUE = "empty_queue"
    LIMIT = "limit"
    PLACE = "place"
    MEMORY = "memory"
    WHOLE_ORDERS = "whole_orders"


def explain_shortfall(
    waiting: Sequence[QueuedOrder],
    batch: Sequence[BatchPiece],
    replica: ReplicaSnapshot,
    accepted: BatchLimits,
    limits: BatchLimits,
) -> Shortfall:
    """Return the main cause of a call's shortfall.

    waiting are the orders from which the call was selected, accepted are the
    limits that applied to it and limits those of an unrestricted replica.

    >>> from berylcart.coordination.gateway.batch_selection import PieceOrder
    >>> limits = BatchLimits(1, 2, 2, 150, 16, 1e6, 4)
    >>> order = PieceOrder("r", "s", 0, 3, "k", (), 0, 9, 9, "", 40)
    >>> entry = QueuedOrder(order, (0, 1, 2), 0.0, 9.0)
    >>> replica = ReplicaSnapshot("v1", "hall-1", 0.0, 79, 1.0)
    >>> [str(explain_shortfall([entry], entry.first_pieces(count), replica,
    ...                        limits, limits)) for count in (2, 1)]
    ['none', 'memory']
    """
    if len(batch) >= limits.pieces:
        return Shortfall.NONE
    if len(batch) >= accepted.pieces:
        return Shortfall.LIMIT
    if len(batch) >= count_pieces(waiting):
        return Shortfall.EMPTY_QUEUE
    eligible = [each for each in waiting if each.order.permits(replica.place)]
    if len(batch) >= count_pieces(eligible):
        return Shortfall.PLACE
    used_bytes = sum(each.order.result_bytes for each in batch)
    free_bytes = replica.free_bytes - used_bytes
    taken = {id(each.order) for each in batch}
    rest = [each for each in eligible if id(each.order) not in taken]
    largest = max((each.order.result_bytes for each in rest), default=0)
    room = accepted.pieces - len(batch)
    if not rest or free_bytes < room * largest:
        return Shortfall.MEMORY
    return Shortfall.WHOLE_ORDERS
