"""Send nothing to replicas that asked this daemon to wait.

The load is a replica with too much work that answers 503 and says for how
long it wants nothing. Other daemons aren't told: the replica refused this one.
"""

from collections.abc import Iterable, Sequence

from berylcart import clock, events
from berylcart.state.vm import Vm

MS_PER_S = 1000
# A replica that asks for more is asked again after this; a wrong figure must
# not take it out of use for long.
MAX_PAUSE_S = 60.0

Key = tuple[str, int]


class ReplicaPauses:
    """Hold until when each incarnation of a replica wants nothing."""

    def __init__(self) -> None:
        self.ends_s: dict[Key, float] = {}

    def note(self, vm: Vm, retry_after_s: float) -> None:
        """Take what a replica asked for; an earlier pause is not shortened."""
        pause_s = min(retry_after_s, MAX_PAUSE_S)
        if pause_s <= self.left_s(vm):
            return
        self.ends_s[vm.vm_id, vm.incarnation] = clock.now_s() + pause_s
        events.info(
            "replica.paused",
            vm_id=vm.vm_id,
            incarnation=vm.incarnation,
            service=vm.service,
            pause_ms=int(pause_s * MS_PER_S),
        )

    def left_s(self, vm: Vm) -> float:
        """Say for how long a replica still wants nothing."""
        if not self.ends_s:
            return 0.0
        key = (vm.vm_id, vm.incarnation)
        left_s = self.ends_s.get(key, 0.0) - clock.now_s()
        if left_s > 0:
            return left_s
        self.ends_s.pop(key, None)
        return 0.0

    def usable(self, pool: Sequence[Vm]) -> Sequence[Vm]:
        """List the replicas that may be sent something."""
        if not self.ends_s:
            return pool
        return [vm for vm in pool if not self.left_s(vm)]

    def shortest_s(self, pool: Iterable[Vm]) -> float:
        """Say when the first replica of a pool may be sent something."""
        return min((self.left_s(vm) for vm in pool), default=0.0)

    def count(self) -> int:
        """Count the replicas that are paused now."""
        now_s = clock.now_s()
        return sum(end_s > now_s for end_s in self.ends_s.values())

    def retain(self, vms: Iterable[Vm]) -> None:
        """Forget replicas that are gone."""
        kept = {(vm.vm_id, vm.incarnation) for vm in vms}
        for key in self.ends_s.keys() - kept:
            del self.ends_s[key]
