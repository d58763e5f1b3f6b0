"""Select the pieces that a replica's next batch call processes.

There are many small orders at once, and the fixed cost of a call is far
higher than that of a piece, so that pieces of different requests are batched.
"""

from collections.abc import Iterable, Sequence
from typing import NamedTuple

from berylcart.coordination.gateway.permitted_places import Places, permits
from berylcart.state.relay_messages import Piece
from berylcart.state.routes import BatchLimits

MS_PER_S = 1000
# Moving more than this between places is worth waiting for a replica in the
# same place. Orders with larger inputs also hold memory that others need.
LARGE_TRANSFER_BYTES = 100_000
# Network latency of a request to a replica with a free slot, without loss.
READ_LATENCY_S = 0.05
# Allows for replicas that read over one link at a time.
READ_TIME_FACTOR = 4.0
# Used where the bandwidth is unknown; well above the time for the largest
# results.
DEFAULT_READ_S = 0.2
BITS_PER_BYTE = 8
# Added to the rank of a late order: it is served after the orders of the next
# rank that can be on time, and before those of the rank after that, which are
# worth less than the late order still is.
LATE_RANK_PENALTY = 1.5
# Far above what any route needs; bounds the queue entry of one request.
MAX_PIECES = 10_000
# A longer wait uses up more of the target than reading from another place.
LOCALITY_WAIT_S = 0.1
# The remainder of a split order must start within this time, which is well
# under the duration of a call.
MAX_SPLIT_DELAY_S = 0.05


# A request's id and the index of one of its stages.
OrderKey = tuple[str, int]


class PieceOrder(NamedTuple):
    """Describe the pieces of one stage that a request needs.

    A lower rank is served first. The calls must start by due_s for an on-time
    answer, and the caller leaves at deadline_s; both are times of the event
    loop. A replica in another place than place transfers moved_bytes for each
    piece. If is_only_reader, the inputs are freed once they are read. places
    are the places whose replicas may process the pieces; None permits all.
    """

    request_id: str
    service: str
    stage: int
    pieces: int
    key: str
    inputs: tuple[str, ...]
    rank: int
    due_s: float
    deadline_s: float
    place: str
    result_bytes: int
    moved_bytes: int = 0
    is_only_reader: bool = False
    places: Places = None

    def is_late(self, now_s: float) -> bool:
        """Return whether the order can no longer start by its due time.

        Late orders are served after the others: under overload no order would
        be on time if the late ones were served first.
        """
        return self.due_s < now_s

    @property
    def name(self) -> OrderKey:
        """Return the key that identifies the order."""
        return self.request_id, self.stage

    def permits(self, place: str) -> bool:
        """Return whether replicas in a place may process the pieces."""
        return permits(self.places, place)

    @property
    def holds_memory(self) -> bool:
        """Return whether large results of earlier stages are held for it."""
        return bool(self.inputs) and self.moved_bytes >= LARGE_TRANSFER_BYTES


# Whether the order has not started, its effective rank, due time, request id.
SortKey = tuple[bool, float, float, str]
# The same with, after the rank, whether nearer orders are selected first.
SelectionKey = tuple[bool, float, bool, float, str]


class QueuedOrder(NamedTuple):
    """Hold the pieces of one order that are waiting for a call.

    There is one entry for each order, so that the cost of a decision does not
    grow with the number of pieces. A call that starts after until_s would be
    useless. is_deprioritized is set on an order that would make others late
    which can be on time.
    """

    order: PieceOrder
    numbers: tuple[int, ...]
    since_s: float
    until_s: float
    failures: int = 0
    is_begun: bool = False
    is_deprioritized: bool = False

    def is_low_priority(self, now_s: float) -> bool:
        """Return whether orders that can be on time are served first."""
        return self.is_deprioritized or self.order.is_late(now_s)

    def effective_rank(self, now_s: float) -> float:
        """Return the rank plus the penalty of a low-priority order."""
        return self.order.rank + LATE_RANK_PENALTY * self.is_low_priority(
            now_s
        )

    def sort_key(self, now_s: float) -> SortKey:
        """Return the sort key: started orders first, then rank and due time.

        Results of a started order occupy memory until the order is complete.
        """
        order = self.order
        return (
            not self.is_begun,
            self.effective_rank(now_s),
            order.due_s,
            order.request_id,
        )

    def first_pieces(self, count: int) -> "list[BatchPiece]":
        """Return the first count pieces for a call."""
        return [
            BatchPiece(self.order, number, self)
            for number in self.numbers[:count]
        ]


class BatchPiece(NamedTuple):
    """Hold one piece of a call and the queue entry it comes from."""

    order: PieceOrder
    number: int
    entry: QueuedOrder

    @property
    def piece(self) -> Piece:
        """Return the piece as sent to a replica."""
        order = self.order
        return Piece(
            order.request_id,
            order.stage,
            self.number,
            order.key,
            order.inputs,
        )


class ReplicaSnapshot(NamedTuple):
    """Summarize a replica's state for batch selection.

    available_in_s is the time until its next call can start; slowdown is the
    ratio of its measured call duration to the expected one.
    """

    vm_id: str
    place: str
    available_in_s: float
    free_bytes: float
    slowdown: float


def batch_duration_s(limits: BatchLimits, pieces: int) -> float:
    """Estimate the duration of a call on a replica of normal speed.

    >>> round(batch_duration_s(BatchLimits(1, 2, 8, 150, 16, 1e6, 4), 8), 3)
    0.278
    """
    return (limits.call_ms + pieces * limits.piece_ms) / MS_PER_S


def read_time_s(size_bytes: float, link_mbps: float) -> float:
    """Return an upper bound on the time a replica takes to read its inputs.

    >>> round(read_time_s(4_700_000, 10_000), 3)
    0.065
    """
    if not link_mbps:
        return DEFAULT_READ_S
    bytes_per_s = link_mbps * 1e6 / BITS_PER_BYTE
    return READ_LATENCY_S + READ_TIME_FACTOR * size_bytes / bytes_per_s


def is_near(order: PieceOrder, replica: ReplicaSnapshot) -> bool:
    """Return whether a replica needs no large transfer between places."""
    is_local = order.place in ("", replica.place)
    return is_local or order.moved_bytes < LARGE_TRANSFER_BYTES


def is_worth_call(
    entry: QueuedOrder, replica: ReplicaSnapshot, now_s: float
) -> bool:
    """Return whether a call may be started for an order alone.

    An order waits a little for a nearer replica, but not if the call starts
    anyway: a piece more costs far less than a call of its own.
    """
    has_waited = now_s - entry.since_s >= LOCALITY_WAIT_S
    return has_waited or is_near(entry.order, replica)


def selection_key(
    entry: QueuedOrder,
    replica: ReplicaSnapshot,
    batch_s: float,
    now_s: float,
) -> SelectionKey:
    """Return the sort key of a call's candidates.

    Of equally urgent orders, those near the replica come first, unless one
    from elsewhere would be late after another call of batch_s.

    >>> order = PieceOrder("r", "s", 0, 1, "k", (), 0, 9.0, 9.0, "hall-1", 40,
    ...                    LARGE_TRANSFER_BYTES)
    >>> soon = order._replace(due_s=0.2, place="hall-2")
    >>> far = order._replace(due_s=5.0, place="hall-2")
    >>> replica = ReplicaSnapshot("v1", "hall-1", 0.0, 1e6, 1.0)
    >>> queue = [QueuedOrder(each, (0,), 0.0, 9.0)
    ...          for each in (soon, order, far)]
    >>> keys = [selection_key(each, replica, 0.4, 0.0) for each in queue]
    >>> keys == sorted(keys)
    True
    """
    is_started, rank, due_s, name = entry.sort_key(now_s)
    is_urgent = now_s <= entry.order.due_s <= now_s + batch_s
    is_remote = not is_near(entry.order, replica)
    is_postponed = is_remote and (
        entry.is_low_priority(now_s) or not is_urgent
    )
    return is_started, rank, is_postponed, due_s, name


def select_batch(
    waiting: Iterable[QueuedOrder],
    replica: ReplicaSnapshot,
    limits: BatchLimits,
    now_s: float,
    *,
    is_splitting: bool = False,
) -> list[BatchPiece]:
    """Select the pieces of a replica's next call, most urgent first.

    Orders with large results are split between calls only if is_splitting.

    >>> limits = BatchLimits(1, 2, 2, 150, 16, 1e6, 4)
    >>> replica = ReplicaSnapshot("v1", "lahore-1", 0.0, 100, 1.0)
    >>> def waiting(request_id, rank):
    ...     order = PieceOrder(request_id, "s", 0, 1, "k", (), rank, 9, 9, "",
    ...                   40)
    ...     return QueuedOrder(order, (0,), 0.0, 9.0)
    >>> queue = [waiting("a", 2), waiting("b", 0), waiting("c", 1)]
    >>> batch = select_batch(queue, replica, limits, 0)
    >>> [each.order.request_id for each in batch]
    ['b', 'c']
    """
    eligible = [each for each in waiting if each.order.permits(replica.place)]
    if not any(is_worth_call(each, replica, now_s) for each in eligible):
        return []
    batch_s = batch_duration_s(limits, limits.pieces)
    eligible.sort(
        key=lambda each: selection_key(each, replica, batch_s, now_s)
    )
    batch: list[BatchPiece] = []
    free_bytes = replica.free_bytes
    # If a low-priority order were started now, its remainder would be served
    # first in the next call, before the skipped order.
    has_skipped = False
    for entry in eligible:
        result_bytes = entry.order.result_bytes
        count = limits.pieces - len(batch)
        if result_bytes:
            count = min(count, int(free_bytes // result_bytes))
        if has_skipped and entry.is_low_priority(now_s) and not entry.is_begun:
            continue
        if batch and not is_splitting and would_split(entry, count, limits):
            has_skipped = True
            continue
        selected = entry.first_pieces(max(0, count))
        free_bytes -= len(selected) * result_bytes
        batch += selected
        if len(batch) == limits.pieces:
            break
    return batch


def batch_result_bytes(
    waiting: Iterable[QueuedOrder], limits: BatchLimits
) -> int:
    """Return an upper bound on the size of the next call's results.

    >>> limits = BatchLimits(1, 2, 8, 150, 16, 1e6, 4)
    >>> order = PieceOrder("r", "s", 0, 3, "k", (), 0, 9, 9, "", 40)
    >>> batch_result_bytes([QueuedOrder(order, (0, 1, 2), 0.0, 9.0)], limits)
    120
    """
    entries = list(waiting)
    pieces = min(limits.pieces, count_pieces(entries))
    return pieces * max((e.order.result_bytes for e in entries), default=0)


def may_split(waiting: int, replicas: int, limits: BatchLimits) -> bool:
    """Return whether full calls are worth more than unsplit orders.

    They are if the queue exceeds one call of each replica and there are enough
    replicas for the remainder of an order to start soon.

    >>> limits = BatchLimits(1, 2, 39, 150, 3.3, 1e6, 4)
    >>> may_split(400, 8, limits), may_split(100, 8, limits)
    (True, False)
    >>> may_split(400, 3, limits)
    False
    """
    if waiting < replicas * limits.pieces:
        return False
    return (
        batch_duration_s(limits, limits.pieces) <= replicas * MAX_SPLIT_DELAY_S
    )


def would_split(entry: QueuedOrder, count: int, limits: BatchLimits) -> bool:
    """Return whether a call would split an order that fits into one call.

    The next stage runs near large results, so one replica should hold all.
    """
    order = entry.order
    has_small_results = (
        order.pieces * order.result_bytes < LARGE_TRANSFER_BYTES
    )
    if entry.is_begun or has_small_results:
        return False
    return count < len(entry.numbers) <= limits.pieces


def is_replica_useful(
    replica: ReplicaSnapshot,
    busy: Sequence[ReplicaSnapshot],
    count: int,
    limits: BatchLimits,
) -> bool:
    """Return whether using a free replica does not delay the end of the queue.

    A slow replica is useful only if the queue is long enough compared with the
    faster replicas that are busy now but will become available.

    >>> limits = BatchLimits(1, 2, 8, 150, 16, 1e6, 4)
    >>> slow = ReplicaSnapshot("v1", "p", 0.0, 1e6, 5.0)
    >>> busy = ReplicaSnapshot("v2", "p", 0.2, 1e6, 1.0)
    >>> is_replica_useful(slow, [busy], 8, limits)
    False
    >>> is_replica_useful(slow, [busy], 80, limits)
    True
    """
    faster = [each for each in busy if each.slowdown < replica.slowdown]
    if not faster:
        return True
    batch_s = batch_duration_s(limits, min(count, limits.pieces))
    start_s = min(each.available_in_s for each in faster)
    calls_before = max(0.0, count / limits.pieces - 1)
    # The last call takes its full duration, however many replicas share the
    # calls before it.
    last_call_s = batch_s * min(each.slowdown for each in faster)
    end_s = start_s + calls_before / calls_per_s(faster, limits) + last_call_s
    return batch_s * replica.slowdown <= end_s


def useful_entries(
    waiting: Sequence[QueuedOrder],
    replica: ReplicaSnapshot,
    busy: Sequence[ReplicaSnapshot],
    limits: BatchLimits,
) -> Sequence[QueuedOrder]:
    """Return the entries that a free replica does not delay.

    A faster replica that is not permitted for an entry doesn't count for it.

    >>> limits = BatchLimits(1, 2, 8, 150, 16, 1e6, 4)
    >>> order = PieceOrder("r", "s", 0, 1, "k", (), 0, 9, 9, "", 40)
    >>> here = order._replace(places=frozenset({"hall-1"}))
    >>> queue = [QueuedOrder(each, (0,), 0.0, 9.0) for each in (order, here)]
    >>> slow = ReplicaSnapshot("v1", "hall-1", 0.0, 1e6, 5.0)
    >>> fast = ReplicaSnapshot("v2", "hall-2", 0.2, 1e6, 1.0)
    >>> useful_entries(queue, slow, [fast], limits) == queue[1:]
    True
    """
    if is_replica_useful(replica, busy, count_pieces(waiting), limits):
        return waiting
    restricted = [each for each in waiting if each.order.places is not None]
    count = count_pieces(restricted)

    def is_useful_for(entry: QueuedOrder) -> bool:
        eligible = [each for each in busy if entry.order.permits(each.place)]
        return is_replica_useful(replica, eligible, count, limits)

    return list(filter(is_useful_for, restricted))


def count_ahead(
    waiting: Iterable[QueuedOrder], order: PieceOrder | None, now_s: float
) -> int:
    """Count the pieces served before an order, or before any on-time order.

    >>> def waiting(due_s, rank):
    ...     order = PieceOrder("r", "s", 0, 1, "k", (), rank, due_s, 9, "", 40)
    ...     return QueuedOrder(order, (0,), 0.0, 9.0)
    >>> queue = [waiting(1.0, 0), waiting(5.0, 0), waiting(5.0, 1)]
    >>> count_ahead(queue, None, 2.0)
    2
    >>> [count_ahead(queue, each.order, 2.0) for each in queue]
    [3, 1, 2]
    """
    if order is None:
        ahead = [e for e in waiting if not e.is_low_priority(now_s)]
    else:
        own = QueuedOrder(order, (), now_s, order.deadline_s)
        position = own.sort_key(now_s)[:2]
        ahead = [e for e in waiting if e.sort_key(now_s)[:2] <= position]
    return count_pieces(ahead)


def count_pieces(waiting: Iterable[QueuedOrder]) -> int:
    """Count the waiting pieces of some entries."""
    return sum(len(each.numbers) for each in waiting)


def calls_per_s(
    replicas: Sequence[ReplicaSnapshot], limits: BatchLimits
) -> float:
    """Estimate the rate of full calls of some replicas."""
    full_batch_s = batch_duration_s(limits, limits.pieces)
    return sum(1 / (full_batch_s * each.slowdown) for each in replicas)


def pieces_per_s(
    replicas: Sequence[ReplicaSnapshot], limits: BatchLimits
) -> float:
    """Estimate the throughput of some replicas with full calls.

    >>> limits = BatchLimits(1, 2, 8, 150, 16, 1e6, 4)
    >>> replica = ReplicaSnapshot("v1", "p", 0.1, 1e6, 1.0)
    >>> round(pieces_per_s([replica], limits), 1)
    28.8
    """
    return limits.pieces * calls_per_s(replicas, limits)


def backlog_s(
    waiting: int, replicas: Sequence[ReplicaSnapshot], limits: BatchLimits
) -> float:
    """Estimate how long a piece that arrives now waits for its call.

    >>> limits = BatchLimits(1, 2, 8, 150, 16, 1e6, 4)
    >>> replica = ReplicaSnapshot("v1", "p", 0.1, 1e6, 1.0)
    >>> round(backlog_s(16, [replica], limits), 2)
    0.66
    """
    if not replicas:
        return 0.0
    available_in_s = min(replica.available_in_s for replica in replicas)
    return available_in_s + waiting / pieces_per_s(replicas, limits)
