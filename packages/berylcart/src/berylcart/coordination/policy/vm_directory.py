"""Keep the newest VM list and which VMs are leaving."""

from collections import Counter
from collections.abc import Callable, Mapping

import anyio

from berylcart import events
from berylcart.coordination.ports import VmList
from berylcart.state.errors import BerylcartError
from berylcart.state.leaving_marks import LeavingMark, LeavingMarks
from berylcart.state.vm import Vm, VmPage, VmRole, VmState

POLL_INTERVAL_S = 1.0
MAX_MARKS = 4096


def ignore(*news: object) -> None:
    """Take news that nobody waits for."""


class VmDirectory:
    """Poll the VM list and remember leaving marks for an incarnation.

    A leaving mark outlives any list that still shows the VM as live, and a
    list older than the newest one seen is ignored. Upstreams in excluded
    places take no new work.
    """

    def __init__(
        self, vm_list: VmList, poll_interval_s: float = POLL_INTERVAL_S
    ) -> None:
        self.vm_list = vm_list
        self.poll_interval_s = poll_interval_s
        self.page = VmPage(-1, ())
        self.pools: dict[str, tuple[Vm, ...]] = {}
        self.excluded: frozenset[str] = frozenset()
        # Services whose upstreams are all in excluded places.
        self.evacuated: frozenset[str] = frozenset()
        self.leaving = LeavingMarks(MAX_MARKS)
        self.on_change: Callable[[tuple[Vm, ...]], None] = ignore
        self.on_leaving: Callable[[str, int], None] = ignore

    async def run(self) -> None:
        """Poll the list for ever."""
        is_available = True
        while True:
            try:
                self.apply(await self.vm_list.fetch())
                is_available = True
            except BerylcartError as error:
                if is_available:
                    events.warning("vm_list.unavailable", detail=error.detail)
                is_available = False
            await anyio.sleep(self.poll_interval_s)

    def apply(self, page: VmPage) -> None:
        """Take a list unless it is older than the newest one seen."""
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
        """Group the usable upstreams by service."""
        pools: dict[str, list[Vm]] = {}
        left_out: set[str] = set()
        for vm in filter(self.is_usable, self.page.vms):
            if vm.place in self.excluded:
                left_out.add(vm.service)
            else:
                pools.setdefault(vm.service, []).append(vm)
        self.pools = {name: tuple(pool) for name, pool in pools.items()}
        self.evacuated = frozenset(left_out - self.pools.keys())

    def exclude(self, places: frozenset[str]) -> None:
        """Give upstreams in these places, and in no others, no new work."""
        self.excluded = places
        self.rebuild()

    def is_usable(self, vm: Vm) -> bool:
        """Tell whether a VM is an upstream that would take new work."""
        if vm.role is not VmRole.UPSTREAM:
            return False
        return not self.leaving.is_leaving(vm.vm_id, vm.incarnation)

    def mark_leaving(self, vm_id: str, incarnation: int) -> None:
        """Give an incarnation of a VM no new work from now on."""
        if not self.leaving.add(LeavingMark(vm_id, incarnation)):
            return
        events.info("vm.leaving", vm_id=vm_id, incarnation=incarnation)
        self.rebuild()
        self.on_leaving(vm_id, incarnation)

    @property
    def is_known(self) -> bool:
        """Tell whether a list has been fetched at all."""
        return self.page.as_of_ms >= 0

    def pool(self, service: str) -> tuple[Vm, ...]:
        """List the upstreams of a service that take new work."""
        return self.pools.get(service, ())

    def is_evacuated(self, service: str) -> bool:
        """Tell whether only excluded places have upstreams of a service."""
        return service in self.evacuated

    def count_by_place(self) -> Mapping[str, int]:
        """Count the upstreams of each place, also of excluded ones."""
        return Counter(vm.place for vm in self.page.vms if self.is_usable(vm))

    def entries(self) -> tuple[Vm, ...]:
        """List the live daemons that the platform shows."""
        return tuple(
            vm
            for vm in self.page.vms
            if vm.role is VmRole.ENTRY and vm.state is VmState.LIVE
        )
