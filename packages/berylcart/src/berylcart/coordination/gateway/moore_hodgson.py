"""Choose which orders of an overloaded queue to deprioritize.

When a stage can't keep up, serving by due time alone starts every order at
the last moment, and one large order makes several small ones late.
"""

from collections.abc import Iterable
from heapq import heappop, heappush
from typing import NamedTuple

from berylcart.coordination.gateway.batch_selection import (
    OrderKey,
    QueuedOrder,
    count_pieces,
)


class Candidate(NamedTuple):
    """Describe a scheduled order; the largest sorts first in a heap."""

    negative_size: int
    name: OrderKey


def orders_to_deprioritize(
    waiting: Iterable[QueuedOrder], rate: float, free_s: float, now_s: float
) -> set[OrderKey]:
    """Return the orders to deprioritize so that most orders are on time.

    This is the Moore-Hodgson algorithm: orders are scheduled by due time, and
    whenever one would start too late, the largest one scheduled so far is
    removed. Ranks are scheduled one after the other. free_s is when the next
    call can start, and rate is in pieces per second.

    >>> def waiting(request_id, pieces, due_s):
    ...     order = PieceOrder(request_id, "s", 0, pieces, "k", (), 0, due_s,
    ...                   9, "", 40)
    ...     return QueuedOrder(order, tuple(range(pieces)), 0.0, 9.0)
    >>> from berylcart.coordination.gateway.batch_selection import PieceOrder
    >>> queue = [waiting("large", 20, 0.5), waiting("a", 5, 1.0),
    ...          waiting("b", 5, 1.5)]
    >>> orders_to_deprioritize(queue, 10.0, 0.0, 0.0)
    {('large', 0)}
    >>> orders_to_deprioritize(queue, 40.0, 0.0, 0.0)
    set()
    """
    entries = list(waiting)
    start_s = free_s + count_pieces(e for e in entries if e.is_begun) / rate
    eligible = [e for e in entries if not e.is_begun]
    eligible = [e for e in eligible if not e.order.is_late(now_s)]
    eligible.sort(key=lambda entry: (entry.order.rank, entry.order.due_s))
    deprioritized: set[OrderKey] = set()
    scheduled: list[Candidate] = []
    rank: int | None = None
    for entry in eligible:
        order = entry.order
        if order.rank != rank:
            rank, scheduled = order.rank, []
        size = len(entry.numbers)
        is_late = start_s > order.due_s
        heappush(scheduled, Candidate(-size, order.name))
        start_s += size / rate
        if is_late:
            removed = heappop(scheduled)
            deprioritized.add(removed.name)
            start_s += removed.negative_size / rate
    return deprioritized
