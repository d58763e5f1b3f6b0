"""Account for the bytes that are held for callers, and choose whom to cut."""

from collections.abc import Callable, Iterable, Iterator
from contextlib import contextmanager

from berylcart import events
from berylcart.clock import now_s

# The daemon takes about 50 MB at rest. On the smallest VM (160 MB) this leaves
# 46 MB beside it and the held bytes: for copies while they are written, for
# connections, and for what the allocator doesn't give back.
HELD_SHARE = 0.4
BYTES_PER_MB = 10**6
# Who was waited for for less has not read slowly.
SLOW_S = 1.0


def held_limit_bytes(memory_mb: int) -> int | None:
    """Say how many bytes may be held, None without end.

    >>> held_limit_bytes(160), held_limit_bytes(0)
    (64000000, None)
    """
    return int(memory_mb * BYTES_PER_MB * HELD_SHARE) if memory_mb else None


class Holder:
    """Hold bytes for one connection; cut ends it at once."""

    def __init__(self, held: "HeldBytes", cut: Callable[[], None]) -> None:
        self.held = held
        self.cut = cut
        self.count_bytes = 0
        # Since when the other side is waited for, None while it is not.
        self.waiting_since_s: float | None = None
        self.is_cut = False

    def add(self, count_bytes: int) -> None:
        """Hold more bytes, or fewer; others are cut where they don't fit."""
        if self.is_cut:
            return
        self.count_bytes += count_bytes
        self.held.note(self, count_bytes)

    def release(self) -> None:
        """Hold nothing any more."""
        self.add(-self.count_bytes)
        self.waiting_since_s = None

    def waited_s(self, at_s: float) -> float:
        """Say for how long the other side has been waited for."""
        since_s = self.waiting_since_s
        return 0.0 if since_s is None else at_s - since_s

    def rank(self, at_s: float) -> tuple[float, int]:
        """Rank by how much is held for how slow a reader."""
        return self.waited_s(at_s) * self.count_bytes, self.count_bytes

    @contextmanager
    def waiting(self, count_bytes: int) -> Iterator[None]:
        """Hold bytes while the other side is waited for to take them."""
        known_since_s = self.waiting_since_s
        if known_since_s is None:
            self.waiting_since_s = now_s()
        self.add(count_bytes)
        try:
            yield
        finally:
            self.add(-count_bytes)
            self.waiting_since_s = known_since_s


def worst_first(holders: Iterable[Holder], at_s: float) -> list[Holder]:
    """Order holders: who holds most and reads slowest is the first.

    >>> held = HeldBytes()
    >>> names = {held.holder(lambda: None): name for name in "abc"}
    >>> for holder, count in zip(names, (500, 90, 100)):
    ...     holder.add(count)
    >>> list(names)[1].waiting_since_s = 2.0
    >>> list(names)[2].waiting_since_s = 8.0
    >>> [names[each] for each in worst_first(names, 10.0)]
    ['b', 'c', 'a']
    """
    return sorted(holders, key=lambda each: each.rank(at_s), reverse=True)


class HeldBytes:
    """Sum what is held; without a limit nobody is cut or refused."""

    def __init__(self, limit_bytes: int | None = None) -> None:
        self.limit_bytes = limit_bytes
        self.total_bytes = 0
        self.holders: set[Holder] = set()

    def holder(self, cut: Callable[[], None]) -> Holder:
        """Give a new holder of nothing."""
        return Holder(self, cut)

    def note(self, holder: Holder, count_bytes: int) -> None:
        """Take a change of what one holds, and cut others for it."""
        self.total_bytes += count_bytes
        if holder.count_bytes:
            self.holders.add(holder)
        else:
            self.holders.discard(holder)
        if count_bytes <= 0 or not self.excess_bytes(0):
            return
        for each in worst_first(self.holders, now_s()):
            self.shed(each)
            if not self.excess_bytes(0):
                return

    def excess_bytes(self, count_bytes: int) -> int:
        """Say how far so many more bytes would exceed the limit."""
        if self.limit_bytes is None:
            return 0
        return max(0, self.total_bytes + count_bytes - self.limit_bytes)

    def make_room(self, count_bytes: int, own: Holder) -> bool:
        """Tell whether more fits, and cut slow ones where that is enough."""
        excess_bytes = self.excess_bytes(count_bytes)
        if not excess_bytes:
            return True
        at_s = now_s()
        slow = [
            each
            for each in self.holders
            if each is not own and each.waited_s(at_s) >= SLOW_S
        ]
        if sum(each.count_bytes for each in slow) < excess_bytes:
            return False
        for each in worst_first(slow, at_s):
            self.shed(each)
            if not self.excess_bytes(count_bytes):
                break
        return True

    def shed(self, holder: Holder) -> None:
        """Cut one; what it holds is freed soon and counts no more."""
        events.warning(
            "memory.shed",
            held_bytes=holder.count_bytes,
            waited_s=round(holder.waited_s(now_s()), 1),
            total_bytes=self.total_bytes,
            limit_bytes=self.limit_bytes,
        )
        holder.add(-holder.count_bytes)
        holder.is_cut = True
        holder.cut()
