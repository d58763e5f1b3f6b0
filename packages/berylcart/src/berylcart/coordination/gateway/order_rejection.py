"""Choose the orders of a queue to reject.

When demand exceeds the replicas' throughput, an order that won't get a call in
time, or whose inputs occupy memory that others need, is rejected at once.
"""

from collections import Counter
from collections.abc import Iterable, Mapping, Sequence, Set

from berylcart.coordination.gateway.batch_selection import (
    PieceOrder,
    QueuedOrder,
)
from berylcart.state.routes import BatchLimits

# Minimum share of the throughput assumed to be left for late orders, since a
# burst ends at some time.
MIN_LATE_SHARE = 0.25
# With on-time work for this many calls of each replica queued ahead, little
# throughput is left for late orders.
MIN_QUEUED_BATCHES = 0.5


def orders_without_replica(
    waiting: Iterable[QueuedOrder], places: Set[str]
) -> list[PieceOrder]:
    """Return the orders that no replica is permitted to process.

    >>> order = PieceOrder("r", "s", 0, 1, "k", (), 0, 9, 9, "", 40)
    >>> queue = [QueuedOrder(order, (0,), 0.0, 9.0)]
    >>> places = ({"hall-1"}, set())
    >>> [len(orders_without_replica(queue, each)) for each in places]
    [0, 1]
    >>> order = order._replace(places=frozenset({"hall-2"}))
    >>> queue = [QueuedOrder(order, (0,), 0.0, 9.0)]
    >>> len(orders_without_replica(queue, {"hall-1"}))
    1
    """
    return [
        each.order
        for each in waiting
        if not any(each.order.permits(place) for place in places)
    ]


def orders_missing_deadline(
    waiting: Iterable[QueuedOrder],
    rate: float,
    spare_rate: float,
    now_s: float,
) -> list[PieceOrder]:
    """Return the low-priority orders that won't get their calls in time.

    Low-priority orders get the throughput that on-time orders leave; rate and
    spare_rate are in pieces per second.

    >>> def waiting(request_id, due_s, until_s):
    ...     order = PieceOrder(request_id, "s", 0, 1, "k", (), 0, due_s, 9, "",
    ...                   40)
    ...     return QueuedOrder(order, (0,), 0.0, until_s)
    >>> queue = [waiting("a", 4.0, 5.0), waiting("b", 0.2, 5.0),
    ...          waiting("c", 0.5, 2.0), waiting("d", 4.0, 5.0)]
    >>> late = orders_missing_deadline(queue, 2.0, 1.0, 1.0)
    >>> [each.request_id for each in late]
    ['c']
    >>> orders_missing_deadline(queue, 2.0, 2.0, 0.1)
    []
    """
    spare_rate = max(spare_rate, MIN_LATE_SHARE * rate)
    start_s = now_s
    orders: list[PieceOrder] = []
    for entry in sorted(waiting, key=lambda each: each.sort_key(now_s)):
        uses_spare_rate = entry.is_low_priority(now_s) and not entry.is_begun
        order_rate = spare_rate if uses_spare_rate else rate
        last_start_s = start_s + (len(entry.numbers) - 1) / order_rate
        if uses_spare_rate and last_start_s >= entry.until_s:
            orders.append(entry.order)
        start_s += len(entry.numbers) / order_rate
    return orders


def orders_blocking_memory(
    waiting: Sequence[QueuedOrder],
    replicas: int,
    limits: BatchLimits,
    now_s: float,
) -> list[PieceOrder]:
    """Return the low-priority orders whose inputs hold memory others need.

    They would wait until the on-time queue is shorter than the calls that it
    fills.

    >>> limits = BatchLimits(1, 2, 2, 150, 16, 1e6, 4)
    >>> def waiting(request_id, due_s):
    ...     order = PieceOrder(request_id, "s", 1, 1, "", ("r",), 0, due_s, 9,
    ...                   "", 40, 200_000)
    ...     return QueuedOrder(order, (0,), 0.0, 5.0)
    >>> queue = [waiting("late", 0.5), waiting("in-time", 4.0)]
    >>> rejected = orders_blocking_memory(queue, 1, limits, 1.0)
    >>> [each.request_id for each in rejected]
    ['late']
    >>> orders_blocking_memory(queue, 2, limits, 1.0)
    []
    """
    min_pieces_ahead = MIN_QUEUED_BATCHES * limits.pieces * replicas
    on_time_pieces: Counter[float] = Counter()
    for each in waiting:
        if not each.is_low_priority(now_s):
            on_time_pieces[each.effective_rank(now_s)] += len(each.numbers)
    return [
        each.order
        for each in waiting
        if each.is_low_priority(now_s)
        and each.order.holds_memory
        and not each.is_begun
        and count_up_to_rank(on_time_pieces, each.effective_rank(now_s))
        >= min_pieces_ahead
    ]


def count_up_to_rank(pieces: Mapping[float, int], rank: float) -> int:
    """Count the pieces whose rank number is at most rank.

    >>> count_up_to_rank({0: 5, 1: 3, 2: 4}, 1)
    8
    """
    return sum(count for each, count in pieces.items() if each <= rank)
