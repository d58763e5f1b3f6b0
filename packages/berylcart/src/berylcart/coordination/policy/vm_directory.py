"""Directory of upstream VMs, refreshed from the platform's VM list."""

from collections import Counter
from collections.abc import Callable, Mapping
from math import inf

import anyio

from berylcart import events
from berylcart.clock import now_s
from berylcart.coordination.ports import VmList
from berylcart.state.errors import BerylcartError
from berylcart.state.leaving_marks import LeavingMark, LeavingMarks
from berylcart.state.vm import Vm, VmListSnapshot, VmRole, VmState

POLL_INTERVAL_S = 1.0
MAX_LEAVING_MARKS = 4096


def do_nothing(*arguments: object) -> None:
    """Do nothing; the default of unset callbacks."""


class VmDirectory:
    """Poll the VM list and track which incarnations of VMs are leaving.

    A leaving mark takes precedence over a list that shows the VM as live. A
    list older than the newest one applied is ignored. Upstreams in excluded
    places receive no new work.
    """

    def __init__(
        self, vm_list: VmList, poll_interval_s: float = POLL_INTERVAL_S
    ) -> None:
        self.vm_list = vm_list
        self.poll_interval_s = poll_interval_s
        # Set during a poll if the list will change by itself before the next.
        self.next_change_s = inf
        self.page = VmListSnapshot(-1, ())
        self.pools: dict[str, tuple[Vm, ...]] = {}
        self.excluded: frozenset[str] = frozenset()
        # Services whose upstreams are all in excluded places.
        self.evacuated: frozenset[str] = frozenset()
        self.leaving = LeavingMarks(MAX_LEAVING_MARKS)
        self.on_change: Callable[[tuple[Vm, ...]], None] = do_nothing
        self.on_leaving: Callable[[str, int], None] = do_nothing

    async def run(self) -> None:
        """Poll the list until cancelled."""
        is_available = True
        while True:
            started_s = now_s()
            self.next_change_s = inf
            try:
                self.apply(await self.vm_list.fetch())
                is_available = True
            except BerylcartError as error:
                if is_available:
                    events.warning("vm_list.unavailable", detail=error.detail)
                is_available = False
                # A call that timed out has kept the distance between two.
                passed_s = now_s() - started_s
                await anyio.sleep(max(0.0, self.poll_interval_s - passed_s))
                continue
            change_in_s = max(0.0, self.next_change_s - now_s())
            await anyio.sleep(min(self.poll_interval_s, change_in_s))

    def apply(self, page: VmListSnapshot) -> None:
        """Apply a list unless it is older than the current one."""
        if page.as_of_ms < self.page.as_of_ms:
            return
        is_same = page.vms is self.page.vms
        self.page = page
        if is_same:
            return
        for vm in page.vms:
            if vm.state is VmState.LEAVING:
                self.mark_leaving(vm.vm_id, vm.incarnation)
        self.rebuild()
        self.on_change(page.vms)

    def rebuild(self) -> None:
        """Rebuild the pools of usable upstreams per service."""
        pools: dict[str, list[Vm]] = {}
        excluded_services: set[str] = set()
        for vm in filter(self.is_usable, self.page.vms):
            if vm.place in self.excluded:
                excluded_services.add(vm.service)
            else:
                pools.setdefault(vm.service, []).append(vm)
        self.pools = {name: tuple(pool) for name, pool in pools.items()}
        self.evacuated = frozenset(excluded_services - self.pools.keys())

    def exclude(self, places: frozenset[str]) -> None:
        """Replace the set of places whose upstreams get no new work."""
        self.excluded = places
        self.rebuild()

    def is_usable(self, vm: Vm) -> bool:
        """Tell whether a VM is an upstream that is not leaving."""
        if vm.role is not VmRole.UPSTREAM:
            return False
        return not self.leaving.is_leaving(vm.vm_id, vm.incarnation)

    def mark_leaving(self, vm_id: str, incarnation: int) -> None:
        """Mark an incarnation of a VM as leaving: it gets no new work."""
        if not self.leaving.add(LeavingMark(vm_id, incarnation)):
            return
        events.info("vm.leaving", vm_id=vm_id, incarnation=incarnation)
        self.rebuild()
        self.on_leaving(vm_id, incarnation)

    @property
    def is_known(self) -> bool:
        """Tell whether a list has been applied."""
        return self.page.as_of_ms >= 0

    def pool(self, service: str) -> tuple[Vm, ...]:
        """Return the upstreams of a service that accept new work."""
        return self.pools.get(service, ())

    def is_evacuated(self, service: str) -> bool:
        """Tell whether all upstreams of a service are in excluded places."""
        return service in self.evacuated

    def count_by_place(self) -> Mapping[str, int]:
        """Count the usable upstreams per place, including excluded places."""
        return Counter(vm.place for vm in self.page.vms if self.is_usable(vm))

    def entries(self) -> tuple[Vm, ...]:
        """Return the live entry VMs in the platform's list."""
        return tuple(
            vm
            for vm in self.page.vms
            if vm.role is VmRole.ENTRY and vm.state is VmState.LIVE
        )
