"""Connect membership to the daemon's other parts."""

from collections.abc import Callable, Sequence

from berylcart.coordination.membership.hooks import MembershipHooks
from berylcart.coordination.policy.vm_directory import VmDirectory
from berylcart.state.leaving_marks import LeavingMark
from berylcart.state.peer_messages import ConfigFreshness, Demand

from berylcart_daemon.config_exchange import ConfigExchange


class DaemonHooks(MembershipHooks):
    """Report this daemon's state to peers and act on theirs."""

    def __init__(
        self,
        exchange: ConfigExchange,
        directory: VmDirectory,
        read_load: Callable[[], float],
        read_demand: Callable[[], Sequence[Demand]],
    ) -> None:
        self.exchange = exchange
        self.directory = directory
        self.read_load = read_load
        self.read_demand = read_demand

    def config(self) -> ConfigFreshness:
        """Give the configuration in force here."""
        return self.exchange.freshness()

    def on_config(self, address: str, config: ConfigFreshness) -> None:
        """Pull from a peer that knows better."""
        self.exchange.on_config(address, config)

    def load(self) -> float:
        """Give the share of this daemon's capacity in use."""
        return self.read_load()

    def demand(self) -> Sequence[Demand]:
        """Give this daemon's few heaviest workspaces."""
        return self.read_demand()

    def on_leaving(self, mark: LeavingMark) -> None:
        """Give a leaving upstream no new work."""
        self.directory.mark_leaving(mark.vm_id, mark.incarnation)
