"""Test the rate of load polls and the effects of a report."""

from collections import Counter

import anyio
from berylcart.coordination.policy.load_poller import LoadPoller
from berylcart.coordination.policy.load_table import LoadTable
from berylcart.coordination.policy.vm_directory import VmDirectory
from berylcart.state.errors import BerylcartError, Code
from berylcart.state.vm import LoadReport, VmListSnapshot, VmState

from ..serving_fakes import POOL, FakeVmList, run

LIVE = LoadReport(4, 2, 8, VmState.LIVE)
POLLS_PER_S = 4


class PollerFixture:
    """Assemble a poller over the fake pool and count its polls."""

    def __init__(self):
        self.poll_counts = Counter()
        self.reports = {}
        self.table = LoadTable()
        self.directory = VmDirectory(FakeVmList())
        self.directory.apply(VmListSnapshot(1, POOL))
        self.poller = LoadPoller(
            self.read, self.table, self.directory, POLLS_PER_S
        )

    async def read(self, vm):
        """Return or refuse the scripted report of an upstream."""
        self.poll_counts[vm.vm_id] += 1
        report = self.reports.get(vm.vm_id, LIVE)
        if report is None:
            raise BerylcartError(Code.UPSTREAM_FAILED, "no report")
        return report

    async def run_for(self, seconds):
        """Run the poller for a number of seconds."""
        with anyio.move_on_after(seconds):
            await self.poller.run()


def test_only_upstreams_in_use_are_polled_at_a_bounded_rate():
    async def scenario():
        fixture = PollerFixture()
        await fixture.run_for(2)
        assert not fixture.poll_counts
        fixture.poller.mark_used(POOL[0])
        fixture.poller.mark_used(POOL[2])
        await fixture.run_for(5)
        assert set(fixture.poll_counts) == {POOL[0].vm_id, POOL[2].vm_id}
        assert sum(fixture.poll_counts.values()) <= 5 * POLLS_PER_S

    run(scenario)


def test_report_reaches_the_load_table():
    async def scenario():
        fixture = PollerFixture()
        fixture.poller.mark_used(POOL[0])
        await fixture.run_for(1)
        assert fixture.table.capacity(POOL[0]) == LIVE.capacity

    run(scenario)


def test_report_of_leaving_state_marks_the_upstream():
    async def scenario():
        fixture = PollerFixture()
        fixture.reports[POOL[0].vm_id] = LIVE._replace(state=VmState.LEAVING)
        fixture.poller.mark_used(POOL[0])
        await fixture.run_for(1)
        assert POOL[0] not in fixture.directory.pool("enc")

    run(scenario)


def test_failed_poll_changes_nothing():
    async def scenario():
        fixture = PollerFixture()
        fixture.reports[POOL[0].vm_id] = None
        fixture.poller.mark_used(POOL[0])
        await fixture.run_for(1)
        assert fixture.poll_counts[POOL[0].vm_id] > 0
        assert POOL[0] in fixture.directory.pool("enc")

    run(scenario)
