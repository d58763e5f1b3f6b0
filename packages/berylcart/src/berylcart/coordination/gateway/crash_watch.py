"""Tell crashes of replicas from single broken connections."""

from collections.abc import Awaitable, Callable
from typing import NamedTuple

from cachetools import LRUCache

from berylcart.coordination.gateway.crash_traits import Traits
from berylcart.coordination.gateway.part_faults import PartFaults
from berylcart.coordination.gateway.stage_executor import Spawn
from berylcart.state.vm import Vm

MAX_REPLICAS = 256


class BrokenRequest(NamedTuple):
    """Hold a request whose connection broke, and when it was sent."""

    request_id: str
    traits: Traits
    sent_s: float


class CrashWatch:
    """Record the requests whose answer had not begun when a replica crashed.

    A replica has crashed if it accepts no connection after one has broken;
    is_refusing tells whether an address refuses connections.
    """

    def __init__(
        self,
        faults: PartFaults,
        is_refusing: Callable[[str], Awaitable[bool]],
        spawn: Spawn,
    ) -> None:
        self.faults = faults
        self.is_refusing = is_refusing
        self.spawn = spawn
        self.crashed: LRUCache[str, bool] = LRUCache(MAX_REPLICAS)
        self.pending: dict[str, list[BrokenRequest]] = {}

    def record_break(self, vm: Vm, request: BrokenRequest) -> None:
        """Record a connection that broke before its answer began."""
        replica = replica_key(vm)
        if replica in self.crashed:
            self.record_crash(replica, request)
        elif replica in self.pending:
            self.pending[replica].append(request)
        else:
            self.pending[replica] = [request]
            self.spawn(self.check_replica, vm)

    async def check_replica(self, vm: Vm) -> None:
        """Record the pending requests if the replica has crashed."""
        replica = replica_key(vm)
        try:
            has_crashed = await self.is_refusing(vm.address)
        finally:
            requests = self.pending.pop(replica)
        if has_crashed:
            self.crashed[replica] = True
            for request in requests:
                self.record_crash(replica, request)

    def record_crash(self, replica: str, request: BrokenRequest) -> None:
        """Record one request that was in a crash."""
        self.faults.record_crash(
            replica, request.traits, request.request_id, request.sent_s
        )


def replica_key(vm: Vm) -> str:
    """Return a name for one incarnation of a replica."""
    return f"{vm.vm_id}/{vm.incarnation}"
