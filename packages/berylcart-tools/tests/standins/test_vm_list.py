"""Test the delayed VM list directly and through its HTTP client."""

import anyio
import pytest
import trio
from berylcart.protocol.vm_messages import write_vm
from berylcart.state.vm import Vm, VmRole, VmState
from berylcart.transport.http_client import HttpClient, HttpRequest
from berylcart.transport.vm_list_client import HttpVmList, VmListError
from berylcart_tools.standins.serve import running
from berylcart_tools.standins.vm_list import (
    DelayedVmList,
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


def test_change_becomes_visible_only_after_the_lag():
    async def scenario():
        delayed_list = DelayedVmList(lag_ms=1000)
        delayed_list.add_change(VM.vm_id, VM)
        await anyio.sleep(0.9)
        assert delayed_list.page().vms == ()
        await anyio.sleep(0.2)
        assert delayed_list.page().vms == (VM,)
        delayed_list.add_change(VM.vm_id, None)
        assert delayed_list.page().vms == (VM,)
        await anyio.sleep(1.1)
        assert delayed_list.page().vms == ()

    trio.run(scenario, clock=MockClock(autojump_threshold=0))


def run_with_vm_list(scenario):
    async def main():
        async with (
            running(serve_vm_list, VmListSettings(lag_ms=0)) as address,
            HttpClient() as client,
        ):
            await scenario(HttpVmList(address, client))

    anyio.run(main)


def test_client_puts_fetches_and_deletes_a_vm():
    async def scenario(vm_list):
        await vm_list.put(VM)
        assert (await vm_list.fetch()).vms == (VM,)
        await vm_list.put(VM._replace(state=VmState.LEAVING))
        assert (await vm_list.fetch()).vms[0].state is VmState.LEAVING
        await vm_list.delete(VM.vm_id)
        assert (await vm_list.fetch()).vms == ()

    run_with_vm_list(scenario)


def test_fetch_in_an_outage_raises_vm_list_error():
    async def scenario(vm_list):
        await vm_list.client.request(
            HttpRequest(
                "PUT", vm_list.address, "/admin/faults", b'{"outage": true}'
            )
        )
        with pytest.raises(VmListError):
            await vm_list.fetch()

    run_with_vm_list(scenario)


def test_malformed_vm_is_refused():
    async def scenario(vm_list):
        with pytest.raises(VmListError):
            await vm_list.put(VM._replace(address="nowhere:1"))

    run_with_vm_list(scenario)


def test_put_with_a_mismatched_path_is_refused():
    async def scenario(vm_list):
        request = HttpRequest(
            "PUT", vm_list.address, "/v1/vms/vm-2", write_vm(VM)
        )
        assert (await vm_list.client.request(request)).status == 400
        assert (await vm_list.fetch()).vms == ()

    run_with_vm_list(scenario)


def test_unchanged_list_is_not_resent_but_its_time_advances():
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

    run_with_vm_list(scenario)


def test_restarted_list_is_fetched_again():
    async def scenario(vm_list):
        await vm_list.put(VM)
        await vm_list.fetch()
        async with running(serve_vm_list, VmListSettings(lag_ms=0)) as other:
            vm_list.address = other
            changed = VM._replace(incarnation=2)
            await vm_list.put(changed)
            assert (await vm_list.fetch()).vms == (changed,)

    run_with_vm_list(scenario)
