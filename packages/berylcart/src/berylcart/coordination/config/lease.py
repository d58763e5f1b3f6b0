"""Track whether a daemon's configuration is recent enough to use."""

from typing import NamedTuple


class Freshness(NamedTuple):
    """Hold when a peer was asked and the offset that it had folded."""

    asked_at_s: float
    as_of_offset: int


class ConfigLease:
    """Decide whether the configuration may still be used.

    Times are in seconds of the runtime's clock. The lease is valid if, within
    the last lease_s, either the log, or a peer that read the log, confirmed
    the configuration as the newest, or a majority of the live daemons, this
    one included, answered without knowing a newer record.
    live_daemon_count is 0 while the number of live daemons is unknown.
    """

    def __init__(self, lease_s: float) -> None:
        self.lease_s = lease_s
        self.verified_at_s = float("-inf")
        self.live_daemon_count = 0
        self.peers: dict[str, Freshness] = {}

    def record_verified(self, at_s: float) -> None:
        """Record that the configuration was the newest at at_s."""
        self.verified_at_s = max(self.verified_at_s, at_s)

    def record_peer(
        self, peer_id: str, as_of_offset: int, asked_at_s: float
    ) -> None:
        """Record a peer's answer to a request sent at asked_at_s.

        A peer that has folded nothing is ignored.
        """
        if as_of_offset < 0:
            return
        known = self.peers.get(peer_id)
        if known is None or known.asked_at_s <= asked_at_s:
            self.peers[peer_id] = Freshness(asked_at_s, as_of_offset)

    def count_agreeing_peers(self, as_of_offset: int, now_s: float) -> int:
        """Count the peers heard within lease_s that know no newer record."""
        self.peers = {
            peer_id: heard
            for peer_id, heard in self.peers.items()
            if now_s - heard.asked_at_s <= self.lease_s
        }
        return sum(
            heard.as_of_offset <= as_of_offset for heard in self.peers.values()
        )

    def is_valid(self, as_of_offset: int, now_s: float) -> bool:
        """Return whether the lease is valid at now_s."""
        if now_s - self.verified_at_s <= self.lease_s:
            return True
        if self.live_daemon_count == 0:
            return False
        agreeing = self.count_agreeing_peers(as_of_offset, now_s) + 1
        return 2 * agreeing > self.live_daemon_count
