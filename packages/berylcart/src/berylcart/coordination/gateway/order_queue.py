"""Queue the orders of one service and their waiting pieces."""

from collections.abc import Sequence, Set

import anyio

from berylcart import clock
from berylcart.coordination.gateway.batch_selection import (
    BatchPiece,
    OrderKey,
    PieceOrder,
    QueuedOrder,
    count_pieces,
)
from berylcart.coordination.gateway.pending_order import PendingOrder


class OrderQueue:
    """Hold orders until they are completed or rejected."""

    def __init__(self) -> None:
        self.waiting: list[QueuedOrder] = []
        self.pending: dict[OrderKey, PendingOrder] = {}
        self.changed = anyio.Event()

    def add(self, order: PieceOrder, until_s: float) -> PendingOrder:
        """Queue all pieces of an order, for calls that start by until_s."""
        pending = PendingOrder(order)
        self.pending[order.name] = pending
        now_s = clock.now_s()
        numbers = tuple(range(order.pieces))
        self.waiting.append(QueuedOrder(order, numbers, now_s, until_s))
        self.changed.set()
        return pending

    def remove(self, pending: PendingOrder) -> None:
        """Remove an order and its waiting pieces."""
        if self.pending.get(pending.order.name) is pending:
            del self.pending[pending.order.name]
        self.dequeue(pending.order)

    def dequeue(self, order: PieceOrder) -> None:
        """Remove an order's waiting pieces from the queue."""
        self.waiting = [
            each for each in self.waiting if each.order is not order
        ]

    def find_pending(self, order: PieceOrder) -> PendingOrder | None:
        """Return an order's pending results, None if removed."""
        pending = self.pending.get(order.name)
        return (
            pending if pending is not None and pending.order is order else None
        )

    def set_deprioritized(self, names: Set[OrderKey]) -> list[PieceOrder]:
        """Set which orders are deprioritized and return those newly so."""
        newly = [
            each.order
            for each in self.waiting
            if each.order.name in names and not each.is_deprioritized
        ]
        self.waiting = [
            each._replace(is_deprioritized=each.order.name in names)
            for each in self.waiting
        ]
        return newly

    def count_waiting(self) -> int:
        """Count the waiting pieces."""
        return count_pieces(self.waiting)

    def remove_batch(self, batch: Sequence[BatchPiece]) -> None:
        """Remove a call's pieces; the rest of their orders is served first."""
        taken: dict[int, set[int]] = {}
        for piece in batch:
            taken.setdefault(id(piece.order), set()).add(piece.number)
        rest = [
            remove_pieces(each, taken.get(id(each.order), set()))
            for each in self.waiting
        ]
        self.waiting = [each for each in rest if each.numbers]

    def record_start(self, batch: Sequence[BatchPiece]) -> None:
        """Record when the first call of each order started."""
        now_s = clock.now_s()
        for piece in batch:
            pending = self.find_pending(piece.order)
            if pending is not None:
                pending.begun_s = min(pending.begun_s, now_s)

    def fully_dispatched(
        self, batch: Sequence[BatchPiece]
    ) -> list[PieceOrder]:
        """Return a call's orders that have no waiting pieces left."""
        waiting = {each.order.name for each in self.waiting}
        orders = {piece.order.name: piece.order for piece in batch}
        return [order for name, order in orders.items() if name not in waiting]

    def requeue(self, piece: BatchPiece, failures: int) -> None:
        """Queue a piece again after a call returned no result for it."""
        entry = piece.entry._replace(
            numbers=(piece.number,), failures=failures, is_begun=True
        )
        self.waiting.append(entry)
        self.changed.set()


def remove_pieces(entry: QueuedOrder, taken: Set[int]) -> QueuedOrder:
    """Return an entry without the taken pieces, marked as started."""
    if not taken:
        return entry
    left = tuple(each for each in entry.numbers if each not in taken)
    return entry._replace(numbers=left, is_begun=True)
