"""Pause replicas that answered with a Retry-After delay.

An overloaded replica answers 503 with the time for which it accepts no
requests. The pause is not shared with other daemons, as the replica refused
only this one.
"""

from collections.abc import Iterable, Sequence

from berylcart import clock, events
from berylcart.state.vm import Vm

MS_PER_S = 1000
# Upper bound on a pause, so that a wrong value does not take a replica out of
# use for long.
MAX_PAUSE_S = 60.0

Key = tuple[str, int]


class ReplicaPauses:
    """Hold the end of the pause of each incarnation of a replica."""

    def __init__(self) -> None:
        self.ends_s: dict[Key, float] = {}

    def record(self, vm: Vm, retry_after_s: float) -> None:
        """Pause a replica; an earlier pause is never shortened."""
        pause_s = min(retry_after_s, MAX_PAUSE_S)
        if pause_s <= self.remaining_s(vm):
            return
        self.ends_s[vm.vm_id, vm.incarnation] = clock.now_s() + pause_s
        events.info(
            "replica.paused",
            vm_id=vm.vm_id,
            incarnation=vm.incarnation,
            service=vm.service,
            pause_ms=int(pause_s * MS_PER_S),
        )

    def remaining_s(self, vm: Vm) -> float:
        """Return the remaining pause of a replica, 0 if it is not paused."""
        if not self.ends_s:
            return 0.0
        key = (vm.vm_id, vm.incarnation)
        left_s = self.ends_s.get(key, 0.0) - clock.now_s()
        if left_s > 0:
            return left_s
        self.ends_s.pop(key, None)
        return 0.0

    def usable(self, pool: Sequence[Vm]) -> Sequence[Vm]:
        """List the replicas that are not paused."""
        if not self.ends_s:
            return pool
        return [vm for vm in pool if not self.remaining_s(vm)]

    def min_remaining_s(self, pool: Iterable[Vm]) -> float:
        """Return the shortest remaining pause in a pool."""
        return min((self.remaining_s(vm) for vm in pool), default=0.0)

    def count(self) -> int:
        """Return the number of replicas that are paused now."""
        now_s = clock.now_s()
        return sum(end_s > now_s for end_s in self.ends_s.values())

    def retain(self, vms: Iterable[Vm]) -> None:
        """Drop the pauses of all replicas except the given ones."""
        kept = {(vm.vm_id, vm.incarnation) for vm in vms}
        for key in self.ends_s.keys() - kept:
            del self.ends_s[key]
