"""Define the callbacks through which membership uses the daemon."""

from collections.abc import Sequence

from berylcart.state.leaving_marks import LeavingMark
from berylcart.state.member_table import Member
from berylcart.state.peer_messages import (
    ConfigFreshness,
    Demand,
    EvacuationReport,
    LimitReport,
    PartReport,
)


class MembershipHooks:
    """Provide the data that a daemon sends and handle what it receives.

    The defaults provide nothing and ignore all that is received.
    """

    def config(self) -> ConfigFreshness:
        """Return the freshness of the local configuration."""
        return ConfigFreshness()

    def on_config(self, address: str, config: ConfigFreshness) -> None:
        """Handle a newer configuration at the peer with an address."""

    def load(self) -> float:
        """Return the fraction of this daemon's capacity in use."""
        return 0.0

    def demand(self) -> Sequence[Demand]:
        """Return the demand of the workspaces with most requests in flight."""
        return ()

    def on_change(self, member: Member) -> None:
        """Handle a member that joined, left or changed its state."""

    def on_limit(self, report: LimitReport) -> None:
        """Handle a replica's limit on the requests of all daemons."""

    def evacuations(self) -> Sequence[EvacuationReport]:
        """Return the known evacuations, to send with every message."""
        return ()

    def on_evacuations(
        self, sender_id: str, reports: Sequence[EvacuationReport]
    ) -> None:
        """Handle the evacuations that a peer knows."""

    def parts(self) -> Sequence[PartReport]:
        """Return the suspected prompt parts, to send with every message."""
        return ()

    def on_parts(self, sender_id: str, reports: Sequence[PartReport]) -> None:
        """Handle the suspected prompt parts that a peer knows."""

    def on_leaving(self, mark: LeavingMark) -> None:
        """Handle the leaving mark of an upstream VM."""
