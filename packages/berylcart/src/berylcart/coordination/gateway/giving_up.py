"""Choose the orders of a queue that are given up.

The load is more than the replicas make: an order that won't get its call, or
whose inputs take room that others need, is refused at once.
"""

from collections import Counter
from collections.abc import Iterable, Mapping, Sequence, Set

from berylcart.coordination.gateway.piece_queue import Order, Waiting
from berylcart.state.routes import BatchLimits

# A burst ends at some time: late work is left this much at least.
MIN_SPARE_SHARE = 0.25
# Work in time that half fills the next calls leaves late orders little.
CROWDED_CALLS = 0.5


def without_maker(waiting: Iterable[Waiting], places: Set[str]) -> list[Order]:
    """List the orders that no replica may make, given the replicas' places.

    >>> order = Order("r", "s", 0, 1, "k", (), 0, 9, 9, "", 40)
    >>> queue = [Waiting(order, (0,), 0.0, 9.0)]
    >>> [len(without_maker(queue, places)) for places in ({"hall-1"}, set())]
    [0, 1]
    >>> queue = [Waiting(order._replace(places=frozenset({"hall-2"})), (0,),
    ...                  0.0, 9.0)]
    >>> len(without_maker(queue, {"hall-1"}))
    1
    """
    return [
        each.order
        for each in waiting
        if not any(each.order.permits(place) for place in places)
    ]


def hopeless(
    waiting: Iterable[Waiting], rate: float, spare: float, now_s: float
) -> list[Order]:
    """List the orders that yield and won't get their calls in time.

    Late work is left what the work in time spares; rate and spare are pieces
    a second.

    >>> def waiting(request_id, due_s, until_s):
    ...     order = Order(request_id, "s", 0, 1, "k", (), 0, due_s, 9, "", 40)
    ...     return Waiting(order, (0,), 0.0, until_s)
    >>> queue = [waiting("a", 4.0, 5.0), waiting("b", 0.2, 5.0),
    ...          waiting("c", 0.5, 2.0), waiting("d", 4.0, 5.0)]
    >>> [each.request_id for each in hopeless(queue, 2.0, 1.0, 1.0)]
    ['c']
    >>> hopeless(queue, 2.0, 2.0, 0.1)
    []
    """
    spare = max(spare, MIN_SPARE_SHARE * rate)
    start_s = now_s
    orders: list[Order] = []
    for entry in sorted(waiting, key=lambda each: each.urgency(now_s)):
        is_yielding = entry.yields(now_s) and not entry.is_begun
        own_rate = spare if is_yielding else rate
        last_s = start_s + (len(entry.numbers) - 1) / own_rate
        if is_yielding and last_s >= entry.until_s:
            orders.append(entry.order)
        start_s += len(entry.numbers) / own_rate
    return orders


def crowded_out(
    waiting: Sequence[Waiting],
    replicas: int,
    limits: BatchLimits,
    now_s: float,
) -> list[Order]:
    """List the orders that yield and whose inputs take room from work in time.

    They would wait until the queue of work in time is shorter than the calls
    that it fills.

    >>> limits = BatchLimits(1, 2, 2, 150, 16, 1e6, 4)
    >>> def waiting(request_id, due_s):
    ...     order = Order(request_id, "s", 1, 1, "", ("r",), 0, due_s, 9, "",
    ...                   40, 200_000)
    ...     return Waiting(order, (0,), 0.0, 5.0)
    >>> queue = [waiting("late", 0.5), waiting("in-time", 4.0)]
    >>> [each.request_id for each in crowded_out(queue, 1, limits, 1.0)]
    ['late']
    >>> crowded_out(queue, 2, limits, 1.0)
    []
    """
    crowded = CROWDED_CALLS * limits.pieces * replicas
    in_time: Counter[float] = Counter()
    for each in waiting:
        if not each.yields(now_s):
            in_time[each.rank_at(now_s)] += len(each.numbers)
    return [
        each.order
        for each in waiting
        if each.yields(now_s)
        and each.order.holds_room
        and not each.is_begun
        and count_before(in_time, each.rank_at(now_s)) >= crowded
    ]


def count_before(pieces: Mapping[float, int], rank: float) -> int:
    """Count the pieces whose rank is no lower.

    >>> count_before({0: 5, 1: 3, 2: 4}, 1)
    8
    """
    return sum(count for each, count in pieces.items() if each <= rank)
