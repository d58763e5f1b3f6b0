"""Decide which pieces the next call of a replica works on.

The load is many small orders at once: a call costs far more than a piece, so
pieces of different requests share calls.
"""

from collections.abc import Iterable, Sequence
from typing import NamedTuple

from berylcart.coordination.gateway.permitted import Places, permits
from berylcart.state.relayed import Piece
from berylcart.state.routes import BatchLimits

MS_PER_S = 1000
# To move more than this between places is worth a wait for a near replica,
# and to hold more of it takes room from others.
LARGE_MOVE_BYTES = 100_000
# A request's way to a replica with a free slot, on a link that loses nothing.
READ_START_S = 0.05
# Some replicas read over one link at a time.
READ_MARGIN = 4.0
# Well over the time for the largest results, where the link is unknown.
UNKNOWN_READ_S = 0.2
BITS_PER_BYTE = 8
# A late request goes after those of the next rank that are in time, and
# before those of the rank after it, which earn less than it still does.
LATE_RANKS = 1.5
# Far over what any route asks for; the queue of one request stays small.
MAX_PIECES = 10_000
# Longer waits cost more of the target than a result that crosses places.
PLACE_WAIT_S = 0.1
# The rest of an order that is parted begins within this time, well under
# what a call takes.
PART_WAIT_S = 0.05


# A request and the number of one of its stages.
OrderName = tuple[str, int]


class Order(NamedTuple):
    """Describe the pieces of one stage that a request needs.

    A lower rank goes first. due_s is when the pieces' calls must begin for an
    answer on time, and deadline_s when the caller leaves, on the runtime's
    clock. A replica elsewhere than in place moves moved_bytes a piece. The
    inputs are dropped once read where nothing else reads them. Only replicas
    in the permitted places may make the pieces.
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
        """Tell whether the order yields to those that can be in time.

        Under overload nobody would be in time if those that are late already
        went first.
        """
        return self.due_s < now_s

    @property
    def name(self) -> OrderName:
        """Tell the order from all others."""
        return self.request_id, self.stage

    def permits(self, place: str) -> bool:
        """Tell whether replicas in a place may make the pieces."""
        return permits(self.places, place)

    @property
    def holds_room(self) -> bool:
        """Tell whether large results of earlier stages wait for the order."""
        return bool(self.inputs) and self.moved_bytes >= LARGE_MOVE_BYTES


# Whether an order waits for its first call, its rank, when due, its name.
Urgency = tuple[bool, float, float, str]


class Waiting(NamedTuple):
    """Hold pieces of one order that no call has taken yet.

    One entry for each order keeps a decision's cost apart from the number of
    pieces. After until_s a call would be in vain. is_yielding is set where
    the order makes others late that can be in time.
    """

    order: Order
    numbers: tuple[int, ...]
    since_s: float
    until_s: float
    failures: int = 0
    is_begun: bool = False
    is_yielding: bool = False

    def yields(self, now_s: float) -> bool:
        """Tell whether the order goes after those that can be in time."""
        return self.is_yielding or self.order.is_late(now_s)

    def rank_at(self, now_s: float) -> float:
        """Give the rank, which is lower for an order that yields."""
        return self.order.rank + LATE_RANKS * self.yields(now_s)

    def urgency(self, now_s: float) -> Urgency:
        """Order pieces: begun orders first, then by rank and when due.

        What is made of a begun order takes room until all of it is made.
        """
        order = self.order
        return (
            not self.is_begun,
            self.rank_at(now_s),
            order.due_s,
            order.request_id,
        )

    def first(self, count: int) -> "list[TakenPiece]":
        """List the first pieces for a call."""
        return [
            TakenPiece(self.order, number, self)
            for number in self.numbers[:count]
        ]


class TakenPiece(NamedTuple):
    """Hold one piece of a call and the entry of the queue it comes from."""

    order: Order
    number: int
    entry: Waiting

    @property
    def piece(self) -> Piece:
        """Describe the piece for a replica."""
        order = self.order
        return Piece(
            order.request_id,
            order.stage,
            self.number,
            order.key,
            order.inputs,
        )


class Maker(NamedTuple):
    """Describe a replica that may make pieces.

    free_in_s is when its next call may start; slowness is its usual time
    divided by the expected one.
    """

    vm_id: str
    place: str
    free_in_s: float
    room_bytes: float
    slowness: float


def call_s(limits: BatchLimits, pieces: int) -> float:
    """Estimate how long a call takes.

    >>> round(call_s(BatchLimits(1, 2, 8, 150, 16, 1e6, 4), 8), 3)
    0.278
    """
    return (limits.call_ms + pieces * limits.piece_ms) / MS_PER_S


def read_s(size_bytes: float, link_mbps: float) -> float:
    """Bound the time in which a replica with a free slot reads its inputs.

    >>> round(read_s(4_700_000, 10_000), 3)
    0.065
    """
    if not link_mbps:
        return UNKNOWN_READ_S
    bytes_per_s = link_mbps * 1e6 / BITS_PER_BYTE
    return READ_START_S + READ_MARGIN * size_bytes / bytes_per_s


def may_take(entry: Waiting, maker: Maker, now_s: float) -> bool:
    """Tell whether a replica is permitted, and near enough to the data."""
    order = entry.order
    if not order.permits(maker.place):
        return False
    is_near = order.place in ("", maker.place)
    if is_near or order.moved_bytes < LARGE_MOVE_BYTES:
        return True
    return now_s - entry.since_s >= PLACE_WAIT_S


def take_batch(
    waiting: Iterable[Waiting],
    maker: Maker,
    limits: BatchLimits,
    now_s: float,
    *,
    is_parting: bool = False,
) -> list[TakenPiece]:
    """Choose the pieces of a replica's next call, most urgent first.

    Orders of large results are parted between calls only where is_parting.

    >>> limits = BatchLimits(1, 2, 2, 150, 16, 1e6, 4)
    >>> maker = Maker("v1", "lahore-1", 0.0, 100, 1.0)
    >>> def waiting(request_id, rank):
    ...     order = Order(request_id, "s", 0, 1, "k", (), rank, 9, 9, "", 40)
    ...     return Waiting(order, (0,), 0.0, 9.0)
    >>> queue = [waiting("a", 2), waiting("b", 0), waiting("c", 1)]
    >>> [each.order.request_id for each in take_batch(queue, maker, limits, 0)]
    ['b', 'c']
    """
    able = [each for each in waiting if may_take(each, maker, now_s)]
    able.sort(key=lambda each: each.urgency(now_s))
    batch: list[TakenPiece] = []
    room_bytes = maker.room_bytes
    # The rest of an order that is begun now would go first in the next call.
    has_passed = False
    for entry in able:
        result_bytes = entry.order.result_bytes
        count = limits.pieces - len(batch)
        if result_bytes:
            count = min(count, int(room_bytes // result_bytes))
        if has_passed and entry.yields(now_s) and not entry.is_begun:
            continue
        if batch and not is_parting and is_parted(entry, count, limits):
            has_passed = True
            continue
        taken = entry.first(max(0, count))
        room_bytes -= len(taken) * result_bytes
        batch += taken
        if len(batch) == limits.pieces:
            break
    return batch


def call_bytes(waiting: Iterable[Waiting], limits: BatchLimits) -> int:
    """Bound what the results of the next call take.

    >>> limits = BatchLimits(1, 2, 8, 150, 16, 1e6, 4)
    >>> order = Order("r", "s", 0, 3, "k", (), 0, 9, 9, "", 40)
    >>> call_bytes([Waiting(order, (0, 1, 2), 0.0, 9.0)], limits)
    120
    """
    entries = list(waiting)
    pieces = min(limits.pieces, count_pieces(entries))
    return pieces * max((e.order.result_bytes for e in entries), default=0)


def may_part(waiting: int, makers: int, limits: BatchLimits) -> bool:
    """Tell whether full calls are worth more than orders kept whole.

    They are where all replicas together can't take what waits in their next
    calls, and are so many that the rest of an order begins soon.

    >>> limits = BatchLimits(1, 2, 39, 150, 3.3, 1e6, 4)
    >>> may_part(400, 8, limits), may_part(100, 8, limits)
    (True, False)
    >>> may_part(400, 3, limits)
    False
    """
    if waiting < makers * limits.pieces:
        return False
    return call_s(limits, limits.pieces) <= makers * PART_WAIT_S


def is_parted(entry: Waiting, count: int, limits: BatchLimits) -> bool:
    """Tell whether a call would part an order that another may take whole.

    What reads large results of one replica only is made near it.
    """
    order = entry.order
    is_small = order.pieces * order.result_bytes < LARGE_MOVE_BYTES
    if entry.is_begun or is_small:
        return False
    return count < len(entry.numbers) <= limits.pieces


def is_worthwhile(
    maker: Maker, busy: Sequence[Maker], count: int, limits: BatchLimits
) -> bool:
    """Tell whether a queue ends no later with a free replica than without.

    A slow replica is worth using only behind a long enough queue, and beside
    busy replicas that will be free for it.

    >>> limits = BatchLimits(1, 2, 8, 150, 16, 1e6, 4)
    >>> slow = Maker("v1", "p", 0.0, 1e6, 5.0)
    >>> busy = Maker("v2", "p", 0.2, 1e6, 1.0)
    >>> is_worthwhile(slow, [busy], 8, limits)
    False
    >>> is_worthwhile(slow, [busy], 80, limits)
    True
    """
    faster = [each for each in busy if each.slowness < maker.slowness]
    if not faster:
        return True
    next_s = call_s(limits, min(count, limits.pieces))
    start_s = min(each.free_in_s for each in faster)
    calls_before = max(0.0, count / limits.pieces - 1)
    # The last call of the queue takes its whole time, however many replicas
    # share the calls before it.
    last_s = next_s * min(each.slowness for each in faster)
    end_s = start_s + calls_before / calls_per_s(faster, limits) + last_s
    return next_s * maker.slowness <= end_s


def worth_taking(
    waiting: Sequence[Waiting],
    maker: Maker,
    busy: Sequence[Maker],
    limits: BatchLimits,
) -> Sequence[Waiting]:
    """List the entries that end no later for using a free replica.

    An entry gains nothing from a faster replica that may not make it.

    >>> limits = BatchLimits(1, 2, 8, 150, 16, 1e6, 4)
    >>> order = Order("r", "s", 0, 1, "k", (), 0, 9, 9, "", 40)
    >>> here = order._replace(places=frozenset({"hall-1"}))
    >>> queue = [Waiting(each, (0,), 0.0, 9.0) for each in (order, here)]
    >>> slow = Maker("v1", "hall-1", 0.0, 1e6, 5.0)
    >>> fast = Maker("v2", "hall-2", 0.2, 1e6, 1.0)
    >>> worth_taking(queue, slow, [fast], limits) == queue[1:]
    True
    """
    if is_worthwhile(maker, busy, count_pieces(waiting), limits):
        return waiting
    restricted = [each for each in waiting if each.order.places is not None]
    count = count_pieces(restricted)

    def is_bound(entry: Waiting) -> bool:
        able = [each for each in busy if entry.order.permits(each.place)]
        return is_worthwhile(maker, able, count, limits)

    return list(filter(is_bound, restricted))


def count_ahead(
    waiting: Iterable[Waiting], order: Order | None, now_s: float
) -> int:
    """Count the pieces that go before an order, else before any in time.

    >>> def waiting(due_s, rank):
    ...     order = Order("r", "s", 0, 1, "k", (), rank, due_s, 9, "", 40)
    ...     return Waiting(order, (0,), 0.0, 9.0)
    >>> queue = [waiting(1.0, 0), waiting(5.0, 0), waiting(5.0, 1)]
    >>> count_ahead(queue, None, 2.0)
    2
    >>> [count_ahead(queue, each.order, 2.0) for each in queue]
    [3, 1, 2]
    """
    if order is None:
        ahead = [e for e in waiting if not e.yields(now_s)]
    else:
        own = Waiting(order, (), now_s, order.deadline_s)
        place = own.urgency(now_s)[:2]
        ahead = [e for e in waiting if e.urgency(now_s)[:2] <= place]
    return count_pieces(ahead)


def count_pieces(waiting: Iterable[Waiting]) -> int:
    """Count the pieces of some entries of the queue."""
    return sum(len(each.numbers) for each in waiting)


def calls_per_s(makers: Sequence[Maker], limits: BatchLimits) -> float:
    """Estimate how many full calls replicas make."""
    whole_s = call_s(limits, limits.pieces)
    return sum(1 / (whole_s * each.slowness) for each in makers)


def pieces_per_s(makers: Sequence[Maker], limits: BatchLimits) -> float:
    """Estimate what replicas make with full calls.

    >>> limits = BatchLimits(1, 2, 8, 150, 16, 1e6, 4)
    >>> round(pieces_per_s([Maker("v1", "p", 0.1, 1e6, 1.0)], limits), 1)
    28.8
    """
    return limits.pieces * calls_per_s(makers, limits)


def backlog_s(
    waiting: int, makers: Sequence[Maker], limits: BatchLimits
) -> float:
    """Estimate how long work that arrives now waits for its call.

    >>> limits = BatchLimits(1, 2, 8, 150, 16, 1e6, 4)
    >>> maker = Maker("v1", "p", 0.1, 1e6, 1.0)
    >>> round(backlog_s(16, [maker], limits), 2)
    0.66
    """
    if not makers:
        return 0.0
    free_in_s = min(maker.free_in_s for maker in makers)
    return free_in_s + waiting / pieces_per_s(makers, limits)
