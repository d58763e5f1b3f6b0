"""Judge whether a daemon may still trust its configuration."""

from typing import NamedTuple


class Freshness(NamedTuple):
    """Say when a peer was asked and what it had folded then."""

    asked_at_s: float
    as_of_offset: int


class ConfigLease:
    """Track when the configuration was last known to be the newest.

    Times are the runtime's seconds. The lease holds while the log, or a peer
    that read the log, confirmed the configuration within lease_s, or while
    more than half of the live daemons were heard within lease_s and none of
    these knows a newer record. A live_count of 0 is unknown.
    """

    def __init__(self, lease_s: float) -> None:
        self.lease_s = lease_s
        self.verified_at_s = float("-inf")
        self.live_count = 0
        self.peers: dict[str, Freshness] = {}

    def verify(self, at_s: float) -> None:
        """Record that the configuration was the newest at a time."""
        self.verified_at_s = max(self.verified_at_s, at_s)

    def hear(self, peer_id: str, as_of_offset: int, asked_at_s: float) -> None:
        """Record the answer of a peer to a question asked at a time.

        A peer that has folded nothing confirms nothing.
        """
        if as_of_offset < 0:
            return
        known = self.peers.get(peer_id)
        if known is None or known.asked_at_s <= asked_at_s:
            self.peers[peer_id] = Freshness(asked_at_s, as_of_offset)

    def count_heard(self, as_of_offset: int, now_s: float) -> int:
        """Count the peers heard in time that know no newer record."""
        self.peers = {
            peer_id: heard
            for peer_id, heard in self.peers.items()
            if now_s - heard.asked_at_s <= self.lease_s
        }
        return sum(
            heard.as_of_offset <= as_of_offset for heard in self.peers.values()
        )

    def holds(self, as_of_offset: int, now_s: float) -> bool:
        """Say whether the configuration may be trusted now."""
        if now_s - self.verified_at_s <= self.lease_s:
            return True
        if self.live_count == 0:
            return False
        heard = self.count_heard(as_of_offset, now_s) + 1
        return 2 * heard > self.live_count
