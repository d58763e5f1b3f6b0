"""Enforce a replica's request rate limit across all daemons.

A replica may announce how many requests (or pieces of stages) a second it
accepts from all daemons together. A cold replica accepts few requests until it
has run for a while, and fails under more.
"""

from collections.abc import Callable, Iterable, Sequence
from heapq import nlargest
from math import ceil, inf
from random import Random
from typing import NamedTuple

from berylcart import clock, events
from berylcart.coordination.claims.homes import rendezvous_weight
from berylcart.coordination.gateway.cold_sender_shares import (
    MAX_SENDERS,
    ColdBounds,
    Share,
    cold_sender_share,
    sole_sender_share,
)
from berylcart.coordination.gateway.seen_members import SeenMembers
from berylcart.state.peer_messages import LimitReport
from berylcart.state.vm import Vm

MS_PER_S = 1000
# Share of the limit that is used. The rest allows for daemons whose member
# lists differ for a moment.
RATE_SHARE = 0.75
# Burst size of the token bucket, as the requests of this time.
BURST_S = 1.0
# A limit expires after one to two times this time without an update. The
# daemons' expiry times differ, so that the first daemon that tries again
# informs the others.
LIMIT_TTL_S = 30.0
# An unchanged limit is sent to peers again after this share of LIMIT_TTL_S.
RESEND_SHARE = 0.1
MAX_LIMITS = 4096
# Age of a limit sent for a replica that never announced one; longer than any
# daemon keeps a limit.
NEVER_ANNOUNCED_AGE_MS = 3_600_000
# Peers are informed if a cold period becomes longer by more than this.
MIN_COLD_EXTENSION_S = 0.5
# Upper bound on a cold period, so that a wrong value does not limit a replica
# for long. The longest start known to operators takes some minutes.
MAX_COLD_S = 600.0

Key = tuple[str, int]


def count_senders(per_s: float) -> int:
    """Return how many daemons share a limit, for at least 1 request/s each.

    >>> [count_senders(each) for each in (0.5, 3.7, 100.0)]
    [1, 3, 64]
    """
    return max(1, min(MAX_SENDERS, int(per_s)))


def choose_senders(
    vm_id: str, per_s: float, daemon_ids: Iterable[str]
) -> list[str]:
    """Choose by rendezvous hashing which daemons send to a replica.

    >>> choose_senders("v1", 1.0, ["d1"])
    ['d1']
    >>> names = [f"d{number}" for number in range(300)]
    >>> len(choose_senders("v1", 3.7, names))
    3
    """
    return nlargest(
        count_senders(per_s),
        daemon_ids,
        key=lambda each: rendezvous_weight(vm_id, each),
    )


def announced_share(per_s: float, senders: int) -> Share:
    """Divide a limit that a replica announced among the senders.

    >>> announced_share(4.0, 2)
    Share(senders=2, rate_per_s=1.5, most=2.0)
    """
    rate_per_s = RATE_SHARE * per_s / senders
    return Share(senders, rate_per_s, max(1.0, BURST_S * per_s / senders))


NO_SHARE = Share(0, 0.0, 0.0)


class TokenBucket:
    """A token bucket that is empty at the start.

    >>> bucket = TokenBucket(per_s=2.0, most=3.0, now_s=10.0)
    >>> bucket.tokens(10.0), bucket.tokens(11.0), bucket.tokens(99.0)
    (0.0, 2.0, 3.0)
    """

    def __init__(self, per_s: float, most: float, now_s: float) -> None:
        self.per_s = per_s
        self.most = most
        self.level = 0.0
        self.at_s = now_s

    def tokens(self, now_s: float) -> float:
        """Return the available tokens."""
        gained = (now_s - self.at_s) * self.per_s
        return min(self.most, self.level + max(0.0, gained))

    def consume(self, count: float, now_s: float) -> None:
        """Remove tokens for requests that are sent now."""
        self.level = self.tokens(now_s) - count
        self.at_s = now_s

    def set_rate(self, per_s: float, most: float, now_s: float) -> None:
        """Change the rate; tokens are kept up to the new bucket size."""
        self.level = min(most, self.tokens(now_s))
        self.at_s = now_s
        self.per_s, self.most = per_s, most


class Limit(NamedTuple):
    """Requests per second that a replica accepts, 0 for no limit."""

    per_s: float
    received_s: float


class RequestLimits:
    """Limit the requests of this daemon to replicas with a rate limit.

    An announced limit ends when the replica announces none; that of a cold
    replica ends by itself. The smaller of the two applies.
    """

    def __init__(
        self,
        daemon_id: str,
        member_ids: Callable[[], Sequence[str]],
        random: Random,
        cold_bounds: ColdBounds | None = None,
    ) -> None:
        self.daemon_id = daemon_id
        self.cold_bounds = cold_bounds or ColdBounds()
        self.seen = SeenMembers(daemon_id)
        # Requests per second that a cold replica of a service accepts, 0 for
        # no limit.
        self.cold_per_s: Callable[[str], float] = lambda service: 0.0
        # Whether this daemon is configured with other daemons.
        self.expects_others: Callable[[], bool] = lambda: False
        self.cold_ends_s: dict[Key, float] = {}
        self.member_ids = member_ids
        self.limit_ttl_s = LIMIT_TTL_S * (1 + random.random())
        self.limits: dict[Key, Limit] = {}
        self.buckets: dict[Key, TokenBucket] = {}
        # Called with updates for the other daemons.
        self.on_update: Callable[[LimitReport], None] = lambda update: None

    def apply_response_limit(self, vm: Vm, per_s: float | None) -> None:
        """Apply a response's limit: 0 for no limit, None if not stated."""
        key = (vm.vm_id, vm.incarnation)
        if per_s is None or (not per_s and key not in self.limits):
            return
        self.record_limit(key, Limit(per_s, clock.now_s()), is_own=True)

    def apply_peer_update(self, update: LimitReport) -> None:
        """Apply an update from another daemon."""
        now_s = clock.now_s()
        received_s = now_s - update.age_ms / MS_PER_S
        key = (update.vm_id, update.incarnation)
        if update.cold_ms:
            self.record_cold_end(
                key, now_s + update.cold_ms / MS_PER_S, "peer"
            )
        self.record_limit(key, Limit(update.per_s, received_s), is_own=False)

    def record_limit(self, key: Key, limit: Limit, *, is_own: bool) -> None:
        """Keep the newest limit of a replica and send changes to the peers."""
        known = self.limits.get(key)
        is_old = known is not None and limit.received_s <= known.received_s
        if is_old and not is_own:
            return
        now_s = clock.now_s()
        if now_s - limit.received_s >= self.limit_ttl_s:
            return
        if known is None and len(self.limits) >= MAX_LIMITS:
            events.warning("limit.dropped", vm_id=key[0], limits=MAX_LIMITS)
            return
        self.limits[key] = limit
        is_changed = known is None or known.per_s != limit.per_s
        if is_changed:
            events.info(
                "limit.changed",
                vm_id=key[0],
                per_s=limit.per_s,
                source="answer" if is_own else "peer",
                age_ms=int((now_s - limit.received_s) * MS_PER_S),
            )
            self.set_rate(key, limit, now_s)
        age_s = inf if known is None else limit.received_s - known.received_s
        if is_changed or age_s > RESEND_SHARE * LIMIT_TTL_S:
            self.on_update(self.peer_update(key, now_s))

    def peer_update(self, key: Key, now_s: float) -> LimitReport:
        """Return the update for peers on a replica."""
        limit = self.limits.get(key)
        per_s, age_ms = 0.0, NEVER_ANNOUNCED_AGE_MS
        if limit is not None:
            per_s = limit.per_s
            age_ms = int((now_s - limit.received_s) * MS_PER_S)
        left_s = self.cold_ends_s.get(key, now_s) - now_s
        cold_ms = ceil(max(0.0, left_s) * MS_PER_S)
        return LimitReport(*key, per_s, age_ms, cold_ms)

    def record_cold(
        self, vm: Vm, cold_ms: int, source: str, *, is_fresh: bool = True
    ) -> None:
        """Record how long a replica stays cold, from an entry or a response.

        An entry that is read late overstates the remaining time. An entry that
        may be old is not sent to peers; otherwise a daemon that starts would
        mark replicas as cold for all others.
        """
        end_s = clock.now_s() + cold_ms / MS_PER_S
        key = (vm.vm_id, vm.incarnation)
        self.record_cold_end(key, end_s, source, is_fresh=is_fresh)

    def record_cold_end(
        self, key: Key, end_s: float, source: str, *, is_fresh: bool = True
    ) -> None:
        """Keep the latest end of a cold period; send changes to the peers."""
        now_s = clock.now_s()
        end_s = min(end_s, now_s + MAX_COLD_S)
        known_s = self.cold_ends_s.get(key, -inf)
        if end_s <= max(now_s, known_s):
            return
        if key not in self.cold_ends_s and len(self.cold_ends_s) >= MAX_LIMITS:
            events.warning("limit.dropped", vm_id=key[0], limits=MAX_LIMITS)
            return
        self.cold_ends_s[key] = end_s
        if known_s <= now_s:
            # The tokens gained before are more than a cold replica accepts.
            self.buckets.pop(key, None)
        if end_s - known_s <= MIN_COLD_EXTENSION_S:
            return
        events.info(
            "replica.cold",
            vm_id=key[0],
            incarnation=key[1],
            cold_ms=int((end_s - now_s) * MS_PER_S),
            source=source,
        )
        if is_fresh:
            self.on_update(self.peer_update(key, now_s))

    def is_cold(self, vm: Vm) -> bool:
        """Return whether a replica is cold and limited for that reason."""
        key = (vm.vm_id, vm.incarnation)
        end_s = self.cold_ends_s.get(key)
        if end_s is None:
            return False
        if end_s <= clock.now_s():
            del self.cold_ends_s[key]
            self.buckets.pop(key, None)
            return False
        return self.cold_per_s(vm.service) > 0

    def count_cold(self) -> int:
        """Return the number of replicas that are cold now."""
        now_s = clock.now_s()
        return sum(end_s > now_s for end_s in self.cold_ends_s.values())

    def update_members(self) -> None:
        """Record the current members."""
        self.seen.add(self.member_ids())

    def set_rate(self, key: Key, limit: Limit, now_s: float) -> None:
        """Apply a changed limit to the replica's bucket."""
        if not limit.per_s:
            self.buckets.pop(key, None)
            return
        bucket = self.buckets.get(key)
        if bucket is not None:
            _, rate_per_s, most = announced_share(limit.per_s, 1)
            bucket.set_rate(rate_per_s, most, now_s)

    def limit_of(self, vm: Vm) -> Limit | None:
        """Return the current limit of a replica."""
        key = (vm.vm_id, vm.incarnation)
        limit = self.limits.get(key)
        if limit is None or not limit.per_s:
            return None
        if clock.now_s() - limit.received_s >= self.limit_ttl_s:
            del self.limits[key]
            self.buckets.pop(key, None)
            events.info("limit.expired", vm_id=vm.vm_id, per_s=limit.per_s)
            return None
        return limit

    def tokens(self, vm: Vm, *, is_only_sender: bool = False) -> float:
        """Return how many requests may be sent now, inf without a limit.

        The home daemon of a service is the only sender of its pieces.
        """
        share = self.share_of(vm, is_only_sender=is_only_sender)
        if share is None:
            return inf
        if not share.senders:
            self.buckets.pop((vm.vm_id, vm.incarnation), None)
            return 0.0
        _, rate, most = share
        now_s = clock.now_s()
        bucket = self.buckets.get((vm.vm_id, vm.incarnation))
        if bucket is None:
            # A bucket starts empty, as the previous sender may have used the
            # tokens.
            bucket = TokenBucket(rate, most, now_s)
            self.buckets[vm.vm_id, vm.incarnation] = bucket
        elif (bucket.per_s, bucket.most) != (rate, most):
            bucket.set_rate(rate, most, now_s)
        return bucket.tokens(now_s)

    def share_of(self, vm: Vm, *, is_only_sender: bool) -> Share | None:
        """Return this daemon's share of a replica's rate, if limited."""
        limit = self.limit_of(vm)
        if self.is_cold(vm):
            per_s = self.cold_per_s(vm.service)
            if limit is not None:
                per_s = min(per_s, limit.per_s)
            return self.cold_share_of(vm, per_s, is_only_sender=is_only_sender)
        if limit is None:
            return None
        if is_only_sender:
            return announced_share(limit.per_s, 1)
        names = choose_senders(vm.vm_id, limit.per_s, self.member_ids())
        if self.daemon_id not in names:
            return NO_SHARE
        return announced_share(limit.per_s, len(names))

    def cold_share_of(
        self, vm: Vm, per_s: float, *, is_only_sender: bool
    ) -> Share:
        """Return this daemon's share of a cold replica's rate.

        The senders are chosen among all daemons ever seen, so that the sides
        of a network partition do not each choose their own. The home daemon of
        a service sends only while it sees more than half of all daemons, as
        each side of a partition has its own home daemon.
        """
        member_ids = self.member_ids()
        self.seen.add(member_ids)
        if not self.seen.is_settled(expects_others=self.expects_others()):
            return NO_SHARE
        if is_only_sender:
            is_home = self.seen.is_majority(len(member_ids))
            return (
                sole_sender_share(per_s, self.cold_bounds)
                if is_home
                else NO_SHARE
            )
        share = cold_sender_share(per_s, self.cold_bounds)
        is_sender = self.seen.rank(vm.vm_id) < share.senders
        return share if is_sender else NO_SHARE

    def allows(self, vm: Vm) -> bool:
        """Return whether a request may be sent to a replica now."""
        return self.tokens(vm) >= 1

    def consume(self, vm: Vm, count: int = 1) -> None:
        """Remove tokens for requests that are sent to a replica."""
        bucket = self.buckets.get((vm.vm_id, vm.incarnation))
        if bucket is not None:
            bucket.consume(count, clock.now_s())

    def usable(self, pool: Sequence[Vm]) -> Sequence[Vm]:
        """List the replicas that a request may be sent to now."""
        if not self.limits and not self.cold_ends_s:
            return pool
        return [vm for vm in pool if self.allows(vm)]

    def retain(self, vms: Iterable[Vm]) -> None:
        """Drop the state of all replicas except the given ones."""
        kept = {(vm.vm_id, vm.incarnation) for vm in vms}
        for key in (self.limits.keys() | self.cold_ends_s.keys()) - kept:
            self.limits.pop(key, None)
            self.cold_ends_s.pop(key, None)
            self.buckets.pop(key, None)
