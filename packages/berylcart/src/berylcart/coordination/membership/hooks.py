"""Define what the rest of the daemon supplies to membership."""

from collections.abc import Sequence

from berylcart.state.leaving_marks import LeavingMark
from berylcart.state.member_table import Member
from berylcart.state.peer_messages import (
    ConfigFreshness,
    Demand,
    EvacuationNews,
    LimitNews,
)


class MembershipHooks:
    """Supply what this daemon reports and react to what it hears.

    Override any of these; the defaults report nothing and ignore all.
    """

    def config(self) -> ConfigFreshness:
        """Give the configuration in force here."""
        return ConfigFreshness()

    def on_config(self, address: str, config: ConfigFreshness) -> None:
        """Hear which configuration the peer at an address has."""

    def load(self) -> float:
        """Give the share of this daemon's capacity in use."""
        return 0.0

    def demand(self) -> Sequence[Demand]:
        """Give this daemon's few heaviest workspaces."""
        return ()

    def on_change(self, member: Member) -> None:
        """Hear that a member joined, changed its state or went."""

    def on_limit(self, news: LimitNews) -> None:
        """Hear what a replica takes from all daemons together."""

    def evacuations(self) -> Sequence[EvacuationNews]:
        """Give what is known of evacuated places, which every message has."""
        return ()

    def on_evacuations(
        self, sender_id: str, news: Sequence[EvacuationNews]
    ) -> None:
        """Hear what a peer knows of evacuated places."""

    def on_leaving(self, mark: LeavingMark) -> None:
        """Hear that an upstream VM is leaving."""
