"""Register an upstream with the platform's VM list."""

import time
from typing import NamedTuple

import anyio
from berylcart import events
from berylcart.state.vm import Vm, VmRole, VmState
from berylcart.transport.http_client import HttpClient
from berylcart.transport.vm_list_client import HttpVmList, VmListError

from berylcart_tools.standins.clock import MS_PER_S, sleep_ms

RETRY_MS = 200
GIVE_UP_MS = 2000
NS_PER_MS = 1_000_000


class UpstreamSettings(NamedTuple):
    """Describe an upstream's VM, its lag and its room.

    An empty vm_list leaves it unregistered; an incarnation of 0 takes one
    that is higher than any before it.
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


def fresh_incarnation() -> int:
    """Give a number that rises with every start of a VM."""
    return time.time_ns() // NS_PER_MS


def identify(settings: UpstreamSettings) -> UpstreamSettings:
    """Fill in the incarnation."""
    incarnation = settings.incarnation or fresh_incarnation()
    return settings._replace(incarnation=incarnation)


def instance_name(settings: UpstreamSettings) -> str:
    """Name one incarnation of one upstream.

    >>> settings = UpstreamSettings("rank", "lahore-1", "r1", incarnation=2)
    >>> instance_name(settings)
    'r1/2'
    """
    return f"{settings.vm_id}/{settings.incarnation}"


def describe_vm(settings: UpstreamSettings, address: str) -> Vm:
    """Describe an upstream that listens at an address."""
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
    """Keep one upstream's entry in the VM list."""

    def __init__(
        self, settings: UpstreamSettings, address: str, client: HttpClient
    ) -> None:
        self.vm = describe_vm(settings, address)
        self.list = HttpVmList(settings.vm_list, client)
        self.is_enabled = bool(settings.vm_list)

    async def put(self, state: VmState) -> None:
        """Show a state in the list, trying until the list takes it."""
        while self.is_enabled:
            try:
                await self.list.put(self.vm._replace(state=state))
                return
            except VmListError as error:
                events.warning("standin.unregistered", detail=error.detail)
                await sleep_ms(RETRY_MS)

    async def mark_leaving(self) -> None:
        """Mark the upstream as leaving, giving up after a while."""
        with anyio.move_on_after(GIVE_UP_MS / MS_PER_S):
            await self.put(VmState.LEAVING)

    async def delete(self) -> None:
        """Remove the upstream from the list, trying once."""
        if not self.is_enabled:
            return
        try:
            await self.list.delete(self.vm.vm_id)
        except VmListError as error:
            events.warning("standin.not_removed", detail=error.detail)
