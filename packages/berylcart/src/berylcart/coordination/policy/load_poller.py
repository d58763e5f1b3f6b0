"""Poll the load of recently used upstreams at a bounded rate."""

from collections.abc import Awaitable, Callable

import anyio
from cachetools import TTLCache

from berylcart.coordination.policy.load_table import LoadTable
from berylcart.coordination.policy.vm_directory import VmDirectory
from berylcart.state.errors import BerylcartError
from berylcart.state.vm import LoadReport, Vm, VmState

IN_USE_TTL_S = 10.0
MAX_POLLED_VMS = 256

LoadReader = Callable[[Vm], Awaitable[LoadReport]]


class LoadPoller:
    """Poll recently used upstreams round robin.

    The poll rate does not depend on the number of upstreams. An upstream
    that reports the state LEAVING is marked as leaving in the directory.
    """

    def __init__(
        self,
        read_load: LoadReader,
        load_table: LoadTable,
        directory: VmDirectory,
        polls_per_s: float,
    ) -> None:
        self.read_load = read_load
        self.load_table = load_table
        self.directory = directory
        self.period_s = 1 / polls_per_s
        self.in_use: TTLCache[str, Vm] = TTLCache(
            MAX_POLLED_VMS, IN_USE_TTL_S, timer=anyio.current_time
        )
        self.next_index = 0

    def mark_used(self, vm: Vm) -> None:
        """Poll an upstream for the next IN_USE_TTL_S seconds."""
        self.in_use[vm.vm_id] = vm

    async def run(self) -> None:
        """Poll until cancelled."""
        async with anyio.create_task_group() as tasks:
            while True:
                await anyio.sleep(self.period_s)
                vm = self.next_vm()
                if vm is not None:
                    tasks.start_soon(self.poll, vm)

    def next_vm(self) -> Vm | None:
        """Choose the next upstream to poll, None if none is in use."""
        names = sorted(self.in_use)
        if not names:
            return None
        self.next_index += 1
        return self.in_use.get(names[self.next_index % len(names)])

    async def poll(self, vm: Vm) -> None:
        """Poll one upstream; a failed poll changes nothing."""
        try:
            report = await self.read_load(vm)
        except BerylcartError:
            return
        if report.state is VmState.LEAVING:
            self.directory.mark_leaving(vm.vm_id, vm.incarnation)
        self.load_table.reported(
            vm, report.in_flight, report.queued, report.capacity, 0.0
        )
