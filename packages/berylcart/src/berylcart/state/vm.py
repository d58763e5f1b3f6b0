"""VMs in the platform's VM list and their load reports."""

from enum import StrEnum
from typing import NamedTuple


class VmRole(StrEnum):
    """Role of a VM: it runs a daemon (entry) or an upstream."""

    ENTRY = "entry"
    UPSTREAM = "upstream"


class VmState(StrEnum):
    """State of a VM; a leaving one accepts no new work."""

    LIVE = "live"
    LEAVING = "leaving"


class Vm(NamedTuple):
    """Identify one incarnation of a VM and the service that it runs."""

    vm_id: str
    incarnation: int
    address: str
    place: str
    role: VmRole
    service: str
    state: VmState
    instance: str


class VmListSnapshot(NamedTuple):
    """Hold one snapshot of the VM list and the time it was taken."""

    as_of_ms: int
    vms: tuple[Vm, ...]


class LoadReport(NamedTuple):
    """Hold the load that an upstream reports for itself."""

    in_flight: int
    queued: int
    capacity: int
    state: VmState
