"""Ask the upstreams in use for their load, a few at a time."""

from collections.abc import Awaitable, Callable

import anyio
from cachetools import TTLCache

from berylcart.coordination.policy.load_table import LoadTable
from berylcart.coordination.policy.vm_directory import VmDirectory
from berylcart.state.errors import BerylcartError
from berylcart.state.vm import LoadReport, Vm, VmState

IN_USE_S = 10.0
MAX_IN_USE = 256

ReadLoad = Callable[[Vm], Awaitable[LoadReport]]


class LoadPoller:
    """Poll in turn the upstreams to which attempts were sent lately.

    The rate is bounded whatever the number of upstreams. A report that says
    leaving marks the upstream as leaving.
    """

    def __init__(
        self,
        read_load: ReadLoad,
        load_table: LoadTable,
        directory: VmDirectory,
        polls_per_s: float,
    ) -> None:
        self.read_load = read_load
        self.load_table = load_table
        self.directory = directory
        self.period_s = 1 / polls_per_s
        self.in_use: TTLCache[str, Vm] = TTLCache(
            MAX_IN_USE, IN_USE_S, timer=anyio.current_time
        )
        self.turn = 0

    def note_used(self, vm: Vm) -> None:
        """Note that an attempt is being sent to an upstream."""
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
        """Choose whose turn it is."""
        names = sorted(self.in_use)
        if not names:
            return None
        self.turn += 1
        return self.in_use.get(names[self.turn % len(names)])

    async def poll(self, vm: Vm) -> None:
        """Take one report; without an answer nothing is learnt."""
        try:
            report = await self.read_load(vm)
        except BerylcartError:
            return
        if report.state is VmState.LEAVING:
            self.directory.mark_leaving(vm.vm_id, vm.incarnation)
        self.load_table.reported(
            vm, report.in_flight, report.queued, report.capacity, 0.0
        )
