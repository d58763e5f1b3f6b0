"""Check the lagging VM list, alone and through its client."""

import anyio
import pytest
import trio
from berylcart.protocol.vm_messages import write_vm
from berylcart.state.vm import Vm, VmRole, VmState
from berylcart.transport.http_client import HttpClient, HttpRequest
from berylcart.transport.vm_list_client import HttpVmList, VmListError
from berylcart_tools.standins.serve import running
from berylcart_tools.standins.vm_list import (
    LaggingList,
    VmListSettings,
    serve_vm_list,
)
from trio.testing import MockClock

VM = Vm(
    "vm-1",
    1,
    "127.0.0.1:80",
    "lahore-1",
    VmRole.UPSTREAM,
    "booking",
    VmState.LIVE,
    "vm-1/1",
)


def test_change_shows_after_the_lag_alone():
    async def scenario():
        lagging = LaggingList(lag_ms=1000)
        lagging.change(VM.vm_id, VM)
        await anyio.sleep(0.9)
        assert lagging.page().vms == ()
        await anyio.sleep(0.2)
        assert lagging.page().vms == (VM,)
        lagging.change(VM.vm_id, None)
        assert lagging.page().vms == (VM,)
        await anyio.sleep(1.1)
        assert lagging.page().vms == ()

    trio.run(scenario, clock=MockClock(autojump_threshold=0))


def with_list(scenario):
    async def main():
        async with (
            running(serve_vm_list, VmListSettings(lag_ms=0)) as address,
            HttpClient() as client,
        ):
            await scenario(HttpVmList(address, client))

    anyio.run(main)


def test_client_registers_fetches_and_removes():
    async def scenario(vm_list):
        await vm_list.put(VM)
        assert (await vm_list.fetch()).vms == (VM,)
        await vm_list.put(VM._replace(state=VmState.LEAVING))
        assert (await vm_list.fetch()).vms[0].state is VmState.LEAVING
        await vm_list.delete(VM.vm_id)
        assert (await vm_list.fetch()).vms == ()

    with_list(scenario)


def test_outage_is_an_error():
    async def scenario(vm_list):
        await vm_list.client.request(
            HttpRequest(
                "PUT", vm_list.address, "/admin/faults", b'{"outage": true}'
            )
        )
        with pytest.raises(VmListError):
            await vm_list.fetch()

    with_list(scenario)


def test_malformed_vm_is_refused():
    async def scenario(vm_list):
        with pytest.raises(VmListError):
            await vm_list.put(VM._replace(address="nowhere:1"))

    with_list(scenario)


def test_vm_under_another_path_is_refused():
    async def scenario(vm_list):
        request = HttpRequest(
            "PUT", vm_list.address, "/v1/vms/vm-2", write_vm(VM)
        )
        assert (await vm_list.client.request(request)).status == 400
        assert (await vm_list.fetch()).vms == ()

    with_list(scenario)


def test_unchanged_list_is_not_sent_again_but_its_time_goes_on():
    async def scenario(vm_list):
        await vm_list.put(VM)
        first = await vm_list.fetch()
        await anyio.sleep(0.01)
        second = await vm_list.fetch()
        assert second.vms is first.vms
        assert second.as_of_ms > first.as_of_ms
        changed = VM._replace(state=VmState.LEAVING)
        await vm_list.put(changed)
        assert (await vm_list.fetch()).vms == (changed,)

    with_list(scenario)


def test_restarted_list_is_read_anew():
    async def scenario(vm_list):
        await vm_list.put(VM)
        await vm_list.fetch()
        async with running(serve_vm_list, VmListSettings(lag_ms=0)) as other:
            vm_list.address = other
            changed = VM._replace(incarnation=2)
            await vm_list.put(changed)
            assert (await vm_list.fetch()).vms == (changed,)

    with_list(scenario)
