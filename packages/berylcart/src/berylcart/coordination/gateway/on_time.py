"""Choose the orders of a queue that are made in time, where not all can be.

The load is a stage that can't keep up: by due time alone each order begins at
the last moment, and one large order makes several small ones late.
"""

from collections.abc import Iterable
from heapq import heappop, heappush
from typing import NamedTuple

from berylcart.coordination.gateway.piece_queue import (
    OrderName,
    Waiting,
    count_pieces,
)


class Candidate(NamedTuple):
    """Describe an order that is chosen so far; the largest comes first."""

    negative_size: int
    name: OrderName


def yielding_orders(
    waiting: Iterable[Waiting], rate: float, free_s: float, now_s: float
) -> set[OrderName]:
    """Name the orders that yield so that as many as possible are in time.

    This is Hodgson's rule: orders are planned by due time, and whenever one
    would begin too late, the largest of those planned so far is left out.
    Ranks are planned one after the other. free_s is when the next call may
    start, and rate is in pieces a second.

    >>> def waiting(request_id, pieces, due_s):
    ...     order = Order(request_id, "s", 0, pieces, "k", (), 0, due_s, 9,
    ...                   "", 40)
    ...     return Waiting(order, tuple(range(pieces)), 0.0, 9.0)
    >>> from berylcart.coordination.gateway.piece_queue import Order
    >>> queue = [waiting("large", 20, 0.5), waiting("a", 5, 1.0),
    ...          waiting("b", 5, 1.5)]
    >>> yielding_orders(queue, 10.0, 0.0, 0.0)
    {('large', 0)}
    >>> yielding_orders(queue, 40.0, 0.0, 0.0)
    set()
    """
    entries = list(waiting)
    at_s = free_s + count_pieces(e for e in entries if e.is_begun) / rate
    able = [e for e in entries if not e.is_begun]
    able = [e for e in able if not e.order.is_late(now_s)]
    able.sort(key=lambda entry: (entry.order.rank, entry.order.due_s))
    yielding: set[OrderName] = set()
    planned: list[Candidate] = []
    rank: int | None = None
    for entry in able:
        order = entry.order
        if order.rank != rank:
            rank, planned = order.rank, []
        size = len(entry.numbers)
        is_late = at_s > order.due_s
        heappush(planned, Candidate(-size, order.name))
        at_s += size / rate
        if is_late:
            left_out = heappop(planned)
            yielding.add(left_out.name)
            at_s += left_out.negative_size / rate
    return yielding
