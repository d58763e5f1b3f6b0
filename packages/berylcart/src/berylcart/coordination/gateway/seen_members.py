"""Remember every daemon that was ever seen, in touch or not.

A daemon that is out of sight may send on: shares that all daemons keep
together must count it.
"""

from collections.abc import Iterable

from cachetools import LRUCache

from berylcart import clock, events
from berylcart.coordination.claims.homes import weight

# A new daemon hears of all others within this time: it asks its seeds at
# once, and the store for others every 2 s.
SETTLE_S = 5.0
# Well over the daemons of any deployment with those that they replaced.
MAX_MEMBERS = 4096
# Replicas that may be cold at once; the rank for another is computed anew.
MAX_RANKS = 256


class SeenMembers:
    """Hold the daemons seen since this one started."""

    def __init__(self, daemon_id: str) -> None:
        self.daemon_id = daemon_id
        self.names = {daemon_id}
        self.started_s: float | None = None
        self.ranks: LRUCache[str, int] = LRUCache(MAX_RANKS)

    def note(self, names: Iterable[str]) -> None:
        """Add the daemons that are in sight."""
        if self.started_s is None:
            self.started_s = clock.now_s()
        new = set(names) - self.names
        if not new:
            return
        if len(self.names) + len(new) > MAX_MEMBERS:
            events.warning("members.not_kept", members=MAX_MEMBERS)
            return
        self.names |= new
        self.ranks.clear()

    def rank(self, name: str) -> int:
        """Count the daemons that go before this one for a name.

        Rendezvous hashing orders them alike on every daemon.

        >>> seen = SeenMembers("d1")
        >>> seen.names = {"d1", "d2", "d3"}
        >>> [seen.rank(name) for name in ("v1", "v2", "v3", "v4")]
        [0, 2, 0, 2]
        """
        rank = self.ranks.get(name)
        if rank is None:
            own = weight(name, self.daemon_id)
            rank = sum(weight(name, each) > own for each in self.names)
            self.ranks[name] = rank
        return rank

    def is_settled(self, *, expects_others: bool) -> bool:
        """Tell whether all others are known that can be.

        expects_others is set where the daemon was told of others. One that
        has seen none of them knows nothing of what they send.
        """
        if self.started_s is None:
            return False
        if expects_others and len(self.names) == 1:
            return False
        return clock.now_s() - self.started_s >= SETTLE_S

    def is_majority(self, count: int) -> bool:
        """Tell whether more than half of all daemons are in sight."""
        return 2 * count > len(self.names)
