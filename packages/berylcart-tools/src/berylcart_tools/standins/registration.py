"""Register an upstream in the platform's VM list."""

import time
from typing import NamedTuple

import anyio
from berylcart import events
from berylcart.state.vm import Vm, VmRole, VmState
from berylcart.transport.http_client import HttpClient
from berylcart.transport.vm_list_client import HttpVmList, VmListError

from berylcart_tools.standins.clock import MS_PER_S, sleep_ms

RETRY_INTERVAL_MS = 200
LEAVING_TIMEOUT_MS = 2000
NS_PER_MS = 1_000_000


class UpstreamSettings(NamedTuple):
    """Configure an upstream's VM, load-report lag and capacity.

    With an empty vm_list, the upstream is not registered. An incarnation
    of 0 is replaced by one higher than those of earlier starts.
    """

    service: str
    place: str
    vm_id: str
    address: str = "127.0.0.1:0"
    vm_list: str = ""
    incarnation: int = 0
    load_lag_ms: int = 200
    capacity: int = 16
    max_queued: int = 64


def new_incarnation() -> int:
    """Return an incarnation that increases with every start of a VM."""
    return time.time_ns() // NS_PER_MS


def with_incarnation(settings: UpstreamSettings) -> UpstreamSettings:
    """Return the settings, with a new incarnation if theirs is 0."""
    incarnation = settings.incarnation or new_incarnation()
    return settings._replace(incarnation=incarnation)


def instance_name(settings: UpstreamSettings) -> str:
    """Return the name that identifies one incarnation of an upstream.

    >>> settings = UpstreamSettings("rank", "lahore-1", "r1", incarnation=2)
    >>> instance_name(settings)
    'r1/2'
    """
    return f"{settings.vm_id}/{settings.incarnation}"


def describe_vm(settings: UpstreamSettings, address: str) -> Vm:
    """Build the VM list entry of an upstream that listens at an address."""
    return Vm(
        settings.vm_id,
        settings.incarnation,
        address,
        settings.place,
        VmRole.UPSTREAM,
        settings.service,
        VmState.LIVE,
        instance_name(settings),
    )


class Registration:
    """Maintain one upstream's entry in the VM list."""

    def __init__(
        self, settings: UpstreamSettings, address: str, client: HttpClient
    ) -> None:
        self.vm = describe_vm(settings, address)
        self.vm_list = HttpVmList(settings.vm_list, client)
        self.is_enabled = bool(settings.vm_list)

    async def put(self, state: VmState) -> None:
        """Write the entry with a state, retrying until the write succeeds."""
        while self.is_enabled:
            try:
                await self.vm_list.put(self.vm._replace(state=state))
                return
            except VmListError as error:
                events.warning(
                    "standin.vm_list_put_failed", detail=error.detail
                )
                await sleep_ms(RETRY_INTERVAL_MS)

    async def mark_leaving(self) -> None:
        """Mark the upstream as leaving, retrying for a limited time."""
        with anyio.move_on_after(LEAVING_TIMEOUT_MS / MS_PER_S):
            await self.put(VmState.LEAVING)

    async def delete(self) -> None:
        """Remove the entry from the VM list, without retrying."""
        if not self.is_enabled:
            return
        try:
            await self.vm_list.delete(self.vm.vm_id)
        except VmListError as error:
            events.warning(
                "standin.vm_list_delete_failed", detail=error.detail
            )
