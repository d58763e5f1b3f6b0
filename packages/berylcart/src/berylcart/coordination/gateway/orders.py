"""Hold the orders of one service and their pieces that wait for a call."""

from collections.abc import Sequence, Set

import anyio

from berylcart import clock
from berylcart.coordination.gateway.job import Job
from berylcart.coordination.gateway.piece_queue import (
    Order,
    OrderName,
    TakenPiece,
    Waiting,
    count_pieces,
)


class Orders:
    """Hold orders until they are made or given up."""

    def __init__(self) -> None:
        self.waiting: list[Waiting] = []
        self.jobs: dict[OrderName, Job] = {}
        self.changed = anyio.Event()

    def add(self, order: Order, until_s: float) -> Job:
        """Queue all pieces of an order, for calls that begin until then."""
        job = Job(order)
        self.jobs[order.name] = job
        now_s = clock.now_s()
        numbers = tuple(range(order.pieces))
        self.waiting.append(Waiting(order, numbers, now_s, until_s))
        self.changed.set()
        return job

    def remove(self, job: Job) -> None:
        """Forget an order and its pieces."""
        if self.jobs.get(job.order.name) is job:
            del self.jobs[job.order.name]
        self.drop_pieces(job.order)

    def drop_pieces(self, order: Order) -> None:
        """Take an order's pieces out of the queue."""
        self.waiting = [
            each for each in self.waiting if each.order is not order
        ]

    def job_of(self, order: Order) -> Job | None:
        """Find the job that waits for an order's results."""
        job = self.jobs.get(order.name)
        return job if job is not None and job.order is order else None

    def note_yielding(self, names: Set[OrderName]) -> list[Order]:
        """Note which orders yield to others, and list those that are new."""
        new = [
            each.order
            for each in self.waiting
            if each.order.name in names and not each.is_yielding
        ]
        self.waiting = [
            each._replace(is_yielding=each.order.name in names)
            for each in self.waiting
        ]
        return new

    def count_waiting(self) -> int:
        """Count the pieces that wait for a call."""
        return count_pieces(self.waiting)

    def take(self, batch: Sequence[TakenPiece]) -> None:
        """Take pieces out for a call; the rest of their orders goes first."""
        taken: dict[int, set[int]] = {}
        for piece in batch:
            taken.setdefault(id(piece.order), set()).add(piece.number)
        rest = [
            without(each, taken.get(id(each.order), set()))
            for each in self.waiting
        ]
        self.waiting = [each for each in rest if each.numbers]

    def note_begun(self, batch: Sequence[TakenPiece]) -> None:
        """Note when the first call of each order began."""
        now_s = clock.now_s()
        for piece in batch:
            job = self.job_of(piece.order)
            if job is not None:
                job.begun_s = min(job.begun_s, now_s)

    def all_taken(self, batch: Sequence[TakenPiece]) -> list[Order]:
        """List a call's orders of which no piece waits any more."""
        waiting = {each.order.name for each in self.waiting}
        orders = {piece.order.name: piece.order for piece in batch}
        return [order for name, order in orders.items() if name not in waiting]

    def put_back(self, piece: TakenPiece, failures: int) -> None:
        """Queue a piece again whose call gave no result."""
        entry = piece.entry._replace(
            numbers=(piece.number,), failures=failures, is_begun=True
        )
        self.waiting.append(entry)
        self.changed.set()


def without(entry: Waiting, taken: Set[int]) -> Waiting:
    """Leave pieces out of an entry, which is then begun."""
    if not taken:
        return entry
    left = tuple(each for each in entry.numbers if each not in taken)
    return entry._replace(numbers=left, is_begun=True)
