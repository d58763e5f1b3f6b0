"""Connect gossip membership to the other parts of an entry daemon."""

from collections.abc import Callable, Sequence

from berylcart.coordination.membership.hooks import MembershipHooks
from berylcart.coordination.policy.vm_directory import VmDirectory
from berylcart.state.leaving_marks import LeavingMark
from berylcart.state.peer_messages import ConfigFreshness, Demand

from berylcart_daemon.config_sync import ConfigSync


class DaemonHooks(MembershipHooks):
    """Report this daemon's state in gossip and handle the state of peers."""

    def __init__(
        self,
        sync: ConfigSync,
        directory: VmDirectory,
        read_load: Callable[[], float],
        read_demand: Callable[[], Sequence[Demand]],
    ) -> None:
        self.sync = sync
        self.directory = directory
        self.read_load = read_load
        self.read_demand = read_demand

    def config(self) -> ConfigFreshness:
        """Give the version in force and how recently it was confirmed."""
        return self.sync.freshness()

    def on_config(self, address: str, config: ConfigFreshness) -> None:
        """Schedule a pull from a peer whose configuration is fresher."""
        self.sync.on_config(address, config)

    def load(self) -> float:
        """Give the share of this daemon's capacity in use."""
        return self.read_load()

    def demand(self) -> Sequence[Demand]:
        """Give the workspaces with the most requests in flight here."""
        return self.read_demand()

    def on_leaving(self, mark: LeavingMark) -> None:
        """Mark an upstream VM as leaving, so that it gets no new work."""
        self.directory.mark_leaving(mark.vm_id, mark.incarnation)
