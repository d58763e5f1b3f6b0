"""Keep all daemons together within the requests that a replica asks for.

The load is requests, and pieces of stages, for a replica that names how many
a second it takes from all daemons together.
"""

from collections.abc import Callable, Iterable, Sequence
from heapq import nlargest
from math import inf
from random import Random
from typing import NamedTuple

from berylcart import clock, events
from berylcart.coordination.claims.homes import weight
from berylcart.state.peer_messages import LimitNews
from berylcart.state.vm import Vm

MS_PER_S = 1000
# What is left for daemons that see other members for a moment.
RATE_SHARE = 0.75
# What may go at once, as the requests of this time.
BURST_S = 1.0
MAX_SENDERS = 64
# Without news for this long, or up to twice that, a limit is forgotten; the
# daemons forget it at different times, so that one that tries tells the rest.
KEEP_S = 30.0
# News is told again once it is older than this share of what keeps it.
TELL_SHARE = 0.1
MAX_LIMITS = 4096

Key = tuple[str, int]


def count_senders(per_s: float) -> int:
    """Say how many daemons share a limit, each of a request a second or more.

    >>> [count_senders(each) for each in (0.5, 3.7, 100.0)]
    [1, 3, 64]
    """
    return max(1, min(MAX_SENDERS, int(per_s)))


def choose_senders(
    vm_id: str, per_s: float, daemon_ids: Iterable[str]
) -> list[str]:
    """Choose by rendezvous hashing which daemons send to a limited replica.

    >>> choose_senders("v1", 1.0, ["d1"])
    ['d1']
    >>> names = [f"d{number}" for number in range(300)]
    >>> len(choose_senders("v1", 3.7, names))
    3
    """
    return nlargest(
        count_senders(per_s), daemon_ids, key=lambda each: weight(vm_id, each)
    )


class Bucket:
    """Allow a rate of requests and a few at once, none at the start.

    >>> bucket = Bucket(per_s=2.0, most=3.0, now_s=10.0)
    >>> bucket.tokens(10.0), bucket.tokens(11.0), bucket.tokens(99.0)
    (0.0, 2.0, 3.0)
    """

    def __init__(self, per_s: float, most: float, now_s: float) -> None:
        self.per_s = per_s
        self.most = most
        self.left = 0.0
        self.at_s = now_s

    def tokens(self, now_s: float) -> float:
        """Say how many requests may go now."""
        gained = (now_s - self.at_s) * self.per_s
        return min(self.most, self.left + max(0.0, gained))

    def take(self, count: float, now_s: float) -> None:
        """Count requests that go now."""
        self.left = self.tokens(now_s) - count
        self.at_s = now_s

    def set_rate(self, per_s: float, most: float, now_s: float) -> None:
        """Change the rate; what was gained is kept up to the new most."""
        self.left = min(most, self.tokens(now_s))
        self.at_s = now_s
        self.per_s, self.most = per_s, most


class Limit(NamedTuple):
    """Hold what a replica takes a second, 0 where it named no limit last."""

    per_s: float
    heard_s: float


class RequestLimits:
    """Decide what this daemon may send to replicas that named a limit."""

    def __init__(
        self,
        daemon_id: str,
        member_ids: Callable[[], Sequence[str]],
        random: Random,
    ) -> None:
        self.daemon_id = daemon_id
        self.member_ids = member_ids
        self.keep_s = KEEP_S * (1 + random.random())
        self.limits: dict[Key, Limit] = {}
        self.buckets: dict[Key, Bucket] = {}
        # Called with what other daemons should hear.
        self.on_news: Callable[[LimitNews], None] = lambda news: None

    def note_answer(self, vm: Vm, per_s: float | None) -> None:
        """Take what an answer said: 0 of no limit, None of nothing."""
        key = (vm.vm_id, vm.incarnation)
        if per_s is None or (not per_s and key not in self.limits):
            return
        self.learn(key, Limit(per_s, clock.now_s()), is_own=True)

    def hear(self, news: LimitNews) -> None:
        """Take what another daemon heard."""
        heard_s = clock.now_s() - news.age_ms / MS_PER_S
        key = (news.vm_id, news.incarnation)
        self.learn(key, Limit(news.per_s, heard_s), is_own=False)

    def learn(self, key: Key, limit: Limit, *, is_own: bool) -> None:
        """Keep the newest of what was heard, and tell it if it is news."""
        known = self.limits.get(key)
        is_old = known is not None and limit.heard_s <= known.heard_s
        if is_old and not is_own:
            return
        if known is None and len(self.limits) >= MAX_LIMITS:
            events.warning("limit.not_kept", vm_id=key[0], limits=MAX_LIMITS)
            return
        now_s = clock.now_s()
        if now_s - limit.heard_s >= self.keep_s:
            return
        self.limits[key] = limit
        is_changed = known is None or known.per_s != limit.per_s
        if is_changed:
            events.info(
                "limit.changed",
                vm_id=key[0],
                per_s=limit.per_s,
                source="answer" if is_own else "peer",
                age_ms=int((now_s - limit.heard_s) * MS_PER_S),
            )
            self.set_rate(key, limit, now_s)
        age_s = inf if known is None else limit.heard_s - known.heard_s
        if is_changed or age_s > TELL_SHARE * KEEP_S:
            age_ms = int((now_s - limit.heard_s) * MS_PER_S)
            self.on_news(LimitNews(*key, limit.per_s, age_ms))

    def set_rate(self, key: Key, limit: Limit, now_s: float) -> None:
        """Follow a limit that changed."""
        if not limit.per_s:
            self.buckets.pop(key, None)
            return
        bucket = self.buckets.get(key)
        if bucket is not None:
            bucket.set_rate(*self.shares(limit, 1), now_s)

    def shares(self, limit: Limit, senders: int) -> tuple[float, float]:
        """Give one sender's rate and what it may send at once."""
        rate = RATE_SHARE * limit.per_s / senders
        return rate, max(1.0, BURST_S * limit.per_s / senders)

    def limit_of(self, vm: Vm) -> Limit | None:
        """Give the limit in force at a replica."""
        key = (vm.vm_id, vm.incarnation)
        limit = self.limits.get(key)
        if limit is None or not limit.per_s:
            return None
        if clock.now_s() - limit.heard_s >= self.keep_s:
            del self.limits[key]
            self.buckets.pop(key, None)
            events.info("limit.forgotten", vm_id=vm.vm_id, per_s=limit.per_s)
            return None
        return limit

    def tokens(self, vm: Vm, *, is_only_sender: bool = False) -> float:
        """Say how many requests may go to a replica now, inf without a limit.

        The home of a service is the only sender of its pieces.
        """
        limit = self.limit_of(vm)
        if limit is None:
            return inf
        senders = 1
        if not is_only_sender:
            names = choose_senders(vm.vm_id, limit.per_s, self.member_ids())
            if self.daemon_id not in names:
                self.buckets.pop((vm.vm_id, vm.incarnation), None)
                return 0.0
            senders = len(names)
        rate, most = self.shares(limit, senders)
        now_s = clock.now_s()
        bucket = self.buckets.get((vm.vm_id, vm.incarnation))
        if bucket is None:
            # A sender of before may have used what a new one could gain.
            bucket = Bucket(rate, most, now_s)
            self.buckets[vm.vm_id, vm.incarnation] = bucket
        elif (bucket.per_s, bucket.most) != (rate, most):
            bucket.set_rate(rate, most, now_s)
        return bucket.tokens(now_s)

    def allows(self, vm: Vm) -> bool:
        """Tell whether a request may go to a replica now."""
        return self.tokens(vm) >= 1

    def take(self, vm: Vm, count: int = 1) -> None:
        """Count requests that go to a replica."""
        bucket = self.buckets.get((vm.vm_id, vm.incarnation))
        if bucket is not None:
            bucket.take(count, clock.now_s())

    def usable(self, pool: Sequence[Vm]) -> Sequence[Vm]:
        """List the replicas that a request may go to now."""
        if not self.limits:
            return pool
        return [vm for vm in pool if self.allows(vm)]

    def retain(self, vms: Iterable[Vm]) -> None:
        """Forget replicas that are gone."""
        kept = {(vm.vm_id, vm.incarnation) for vm in vms}
        for key in self.limits.keys() - kept:
            del self.limits[key]
            self.buckets.pop(key, None)
