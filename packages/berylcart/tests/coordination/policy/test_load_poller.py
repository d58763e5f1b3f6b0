"""Check that polling is bounded and that leaving is noticed."""

from collections import Counter

import anyio
from berylcart.coordination.policy.load_poller import LoadPoller
from berylcart.coordination.policy.load_table import LoadTable
from berylcart.coordination.policy.vm_directory import VmDirectory
from berylcart.state.errors import BerylcartError, Code
from berylcart.state.vm import LoadReport, VmPage, VmState

from ..serving_fakes import POOL, FakeVmList, run

LIVE = LoadReport(4, 2, 8, VmState.LIVE)
POLLS_PER_S = 4


class Rig:
    """Hold a poller over the fake pool and what was asked."""

    def __init__(self):
        self.asked = Counter()
        self.reports = {}
        self.table = LoadTable()
        self.directory = VmDirectory(FakeVmList())
        self.directory.apply(VmPage(1, POOL))
        self.poller = LoadPoller(
            self.read, self.table, self.directory, POLLS_PER_S
        )

    async def read(self, vm):
        """Answer one poll."""
        self.asked[vm.vm_id] += 1
        report = self.reports.get(vm.vm_id, LIVE)
        if report is None:
            raise BerylcartError(Code.UPSTREAM_FAILED, "no report")
        return report

    async def run_for(self, seconds):
        """Poll for a time."""
        with anyio.move_on_after(seconds):
            await self.poller.run()


def test_only_upstreams_in_use_are_polled_at_a_bounded_rate():
    async def scenario():
        rig = Rig()
        await rig.run_for(2)
        assert not rig.asked
        rig.poller.note_used(POOL[0])
        rig.poller.note_used(POOL[2])
        await rig.run_for(5)
        assert set(rig.asked) == {POOL[0].vm_id, POOL[2].vm_id}
        assert sum(rig.asked.values()) <= 5 * POLLS_PER_S

    run(scenario)


def test_report_reaches_the_load_table():
    async def scenario():
        rig = Rig()
        rig.poller.note_used(POOL[0])
        await rig.run_for(1)
        assert rig.table.capacity(POOL[0]) == LIVE.capacity

    run(scenario)


def test_leaving_report_marks_the_upstream():
    async def scenario():
        rig = Rig()
        rig.reports[POOL[0].vm_id] = LIVE._replace(state=VmState.LEAVING)
        rig.poller.note_used(POOL[0])
        await rig.run_for(1)
        assert POOL[0] not in rig.directory.pool("enc")

    run(scenario)


def test_missing_report_teaches_nothing():
    async def scenario():
        rig = Rig()
        rig.reports[POOL[0].vm_id] = None
        rig.poller.note_used(POOL[0])
        await rig.run_for(1)
        assert rig.asked[POOL[0].vm_id] > 0
        assert POOL[0] in rig.directory.pool("enc")

    run(scenario)
