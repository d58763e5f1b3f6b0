"""Describe the VMs that the platform lists."""

from enum import StrEnum
from typing import NamedTuple


class VmRole(StrEnum):
    """Say whether a VM runs a daemon or an upstream."""

    ENTRY = "entry"
    UPSTREAM = "upstream"


class VmState(StrEnum):
    """Say whether a VM takes new work."""

    LIVE = "live"
    LEAVING = "leaving"


class Vm(NamedTuple):
    """Identify one incarnation of one VM and what it serves."""

    vm_id: str
    incarnation: int
    address: str
    place: str
    role: VmRole
    service: str
    state: VmState
    instance: str


class VmPage(NamedTuple):
    """Hold one answer of the VM list and when it was true."""

    as_of_ms: int
    vms: tuple[Vm, ...]


class LoadReport(NamedTuple):
    """Hold what an upstream says of its own load, as of a while ago."""

    in_flight: int
    queued: int
    capacity: int
    state: VmState
