"""Account for buffered bytes and close slow connections above a limit."""

from collections.abc import Callable, Iterable, Iterator
from contextlib import contextmanager

from berylcart import events
from berylcart.clock import now_s

# The daemon takes about 50 MB when idle. On the smallest VM (160 MB) this
# share leaves 46 MB beside the idle daemon and the buffered bytes: for copies
# made while they are written, for connections, and for memory that the
# allocator does not return.
HELD_SHARE = 0.4
BYTES_PER_MB = 10**6
# Large heads of requests are taken up to this share of the limit, so that they
# leave room for the bodies of requests within usual sizes.
HEAD_SHARE = 0.5
# Bodies of requests are taken up to this share of the limit, so that there is
# room for the responses to those that were taken.
REQUEST_SHARE = 0.75
# Responses are buffered up to this share, and passed on as they arrive above
# it. The rest is for the pieces on their way to slow callers, 64 KB each.
RESPONSE_SHARE = 0.875
# A peer that has been waited for less than this is not slow.
MIN_SLOW_WAIT_S = 1.0


def buffer_limit_bytes(memory_mb: int) -> int | None:
    """Return the limit of buffered bytes, None for no limit.

    >>> buffer_limit_bytes(160), buffer_limit_bytes(0)
    (64000000, None)
    """
    return int(memory_mb * BYTES_PER_MB * HELD_SHARE) if memory_mb else None


class BufferAccount:
    """The buffered bytes of one connection; close aborts it on eviction."""

    def __init__(
        self, budget: "BufferBudget", close: Callable[[], None]
    ) -> None:
        self.budget = budget
        self.close = close
        self.count_bytes = 0
        # Start of the current wait for the peer, to read or to write; None if
        # there is none.
        self.waiting_since_s: float | None = None
        self.is_evicted = False

    def add(self, count_bytes: int) -> None:
        """Change the byte count; connections are closed above the limit."""
        if self.is_evicted:
            return
        self.count_bytes += count_bytes
        self.budget.apply_change(self, count_bytes)

    def release(self) -> None:
        """Release all bytes."""
        self.add(-self.count_bytes)
        self.waiting_since_s = None

    def waited_s(self, at_s: float) -> float:
        """Return the duration of the current wait for the peer."""
        since_s = self.waiting_since_s
        return 0.0 if since_s is None else at_s - since_s

    def rank(self, at_s: float) -> tuple[float, int]:
        """Return the sort key for eviction: bytes times waiting time."""
        return self.waited_s(at_s) * self.count_bytes, self.count_bytes

    @contextmanager
    def waiting(self, count_bytes: int) -> Iterator[None]:
        """Account for bytes while waiting for the peer to receive them."""
        known_since_s = self.waiting_since_s
        if known_since_s is None:
            self.waiting_since_s = now_s()
        self.add(count_bytes)
        try:
            yield
        finally:
            self.add(-count_bytes)
            self.waiting_since_s = known_since_s


def sorted_for_eviction(
    accounts: Iterable[BufferAccount], at_s: float
) -> list[BufferAccount]:
    """Sort connections by buffered bytes times waiting time, largest first.

    >>> budget = BufferBudget()
    >>> names = {budget.open_account(lambda: None): name for name in "abc"}
    >>> for account, count in zip(names, (500, 90, 100)):
    ...     account.add(count)
    >>> list(names)[1].waiting_since_s = 2.0
    >>> list(names)[2].waiting_since_s = 8.0
    >>> [names[each] for each in sorted_for_eviction(names, 10.0)]
    ['b', 'c', 'a']
    """
    return sorted(accounts, key=lambda each: each.rank(at_s), reverse=True)


class BufferBudget:
    """Sum the buffered bytes of all connections and enforce a limit."""

    def __init__(self, limit_bytes: int | None = None) -> None:
        self.limit_bytes = limit_bytes
        self.total_bytes = 0
        self.accounts: set[BufferAccount] = set()

    def open_account(self, close: Callable[[], None]) -> BufferAccount:
        """Return a new account without bytes."""
        return BufferAccount(self, close)

    def apply_change(self, account: BufferAccount, count_bytes: int) -> None:
        """Apply a change of an account; close connections above the limit."""
        self.total_bytes += count_bytes
        if account.count_bytes:
            self.accounts.add(account)
        else:
            self.accounts.discard(account)
        if count_bytes <= 0 or not self.excess_bytes(0):
            return
        for each in sorted_for_eviction(self.accounts, now_s()):
            self.evict(each)
            if not self.excess_bytes(0):
                return

    def excess_bytes(self, count_bytes: int, share: float = 1.0) -> int:
        """Return by how much additional bytes would exceed a share.

        >>> BufferBudget(1000).excess_bytes(900, REQUEST_SHARE)
        150
        """
        if self.limit_bytes is None:
            return 0
        limit_bytes = int(share * self.limit_bytes)
        return max(0, self.total_bytes + count_bytes - limit_bytes)

    def has_room(self, count_bytes: int) -> bool:
        """Return whether more bytes of a response may be buffered."""
        return not self.excess_bytes(count_bytes, RESPONSE_SHARE)

    def make_room(
        self,
        count_bytes: int,
        own: BufferAccount,
        share: float = REQUEST_SHARE,
    ) -> bool:
        """Return whether bytes of a request fit into a share of the limit.

        Slow connections are closed if that helps.
        """
        excess_bytes = self.excess_bytes(count_bytes, share)
        if not count_bytes or not excess_bytes:
            return True
        at_s = now_s()
        slow = [
            each
            for each in self.accounts
            if each is not own and each.waited_s(at_s) >= MIN_SLOW_WAIT_S
        ]
        if sum(each.count_bytes for each in slow) < excess_bytes:
            return False
        for each in sorted_for_eviction(slow, at_s):
            self.evict(each)
            if not self.excess_bytes(count_bytes, share):
                break
        return True

    def evict(self, account: BufferAccount) -> None:
        """Close a connection; its bytes, soon freed, no longer count."""
        events.warning(
            "connection.evicted",
            held_bytes=account.count_bytes,
            waited_s=round(account.waited_s(now_s()), 1),
            total_bytes=self.total_bytes,
            limit_bytes=self.limit_bytes,
        )
        account.add(-account.count_bytes)
        account.is_evicted = True
        account.close()
