"""Collect the results of an order's pieces."""

from math import inf

import anyio

from berylcart.coordination.gateway.batch_selection import PieceOrder
from berylcart.state.errors import BerylcartError


class PendingOrder:
    """Collect the results of an order's pieces."""

    def __init__(self, order: PieceOrder) -> None:
        self.order = order
        self.results: list[str] = [""] * order.pieces
        self.missing = order.pieces
        self.error: BerylcartError | None = None
        # Start of the first call for one of its pieces.
        self.begun_s = inf
        self.is_done = anyio.Event()

    def record_result(self, number: int, handle: str) -> None:
        """Record the result of a piece; later duplicates are ignored."""
        if self.results[number]:
            return
        self.results[number] = handle
        self.missing -= 1
        if not self.missing:
            self.is_done.set()

    def fail(self, error: BerylcartError) -> None:
        """Complete the order with an error."""
        self.error = error
        self.is_done.set()
