"""Record every daemon ever seen, including unreachable ones.

An unreachable daemon may continue to send requests, so limits that are divided
among all daemons must include it.
"""

from collections.abc import Iterable

from cachetools import LRUCache

from berylcart import clock, events
from berylcart.coordination.claims.homes import rendezvous_weight

# A new daemon learns of all others within this time: it queries its seeds at
# once, and the store every 2 s.
SETTLE_S = 5.0
# Well above the number of daemons of any deployment, including replaced ones.
MAX_MEMBERS = 4096
# Number of replicas that may be cold at once; for further ones the rank is
# recomputed.
MAX_RANKS = 256


class SeenMembers:
    """The daemons seen since this one started."""

    def __init__(self, daemon_id: str) -> None:
        self.daemon_id = daemon_id
        self.names = {daemon_id}
        self.started_s: float | None = None
        self.ranks: LRUCache[str, int] = LRUCache(MAX_RANKS)

    def add(self, names: Iterable[str]) -> None:
        """Add the daemons that are currently visible."""
        if self.started_s is None:
            self.started_s = clock.now_s()
        new = set(names) - self.names
        if not new:
            return
        if len(self.names) + len(new) > MAX_MEMBERS:
            events.warning("members.dropped", members=MAX_MEMBERS)
            return
        self.names |= new
        self.ranks.clear()

    def rank(self, name: str) -> int:
        """Return the number of daemons that precede this one for a name.

        Rendezvous hashing gives the same order on every daemon.

        >>> seen = SeenMembers("d1")
        >>> seen.names = {"d1", "d2", "d3"}
        >>> [seen.rank(name) for name in ("v1", "v2", "v3", "v4")]
        [0, 2, 0, 2]
        """
        rank = self.ranks.get(name)
        if rank is None:
            own = rendezvous_weight(name, self.daemon_id)
            rank = sum(
                rendezvous_weight(name, each) > own for each in self.names
            )
            self.ranks[name] = rank
        return rank

    def is_settled(self, *, expects_others: bool) -> bool:
        """Return whether discovery of the other daemons has completed.

        expects_others is set if the daemon is configured with others. A daemon
        that has seen none of them cannot know what they send.
        """
        if self.started_s is None:
            return False
        if expects_others and len(self.names) == 1:
            return False
        return clock.now_s() - self.started_s >= SETTLE_S

    def is_majority(self, count: int) -> bool:
        """Return whether a count exceeds half of all daemons ever seen."""
        return 2 * count > len(self.names)
