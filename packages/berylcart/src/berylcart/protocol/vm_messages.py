"""Encode and decode the messages of the VM list."""

import ipaddress
from typing import Annotated, Any

from pydantic import Field, Strict, TypeAdapter, ValidationError
from typing_extensions import TypedDict

from berylcart.protocol.json_codec import (
    MessageError,
    describe_validation_error,
    read_message,
    to_builtins,
    write_json,
)
from berylcart.state.vm import Vm, VmListSnapshot, VmRole, VmState

MAX_PORT = 65535

Name = Annotated[str, Field(min_length=1, max_length=200)]


class VmMessage(TypedDict):
    """Define the JSON fields of one VM."""

    vm_id: Name
    incarnation: Annotated[int, Strict(), Field(ge=0)]
    address: str
    place: str
    role: VmRole
    service: str
    state: VmState
    instance: str


class VmPageMessage(TypedDict):
    """Define the response body of a fetch of the VM list."""

    as_of_ms: int
    vms: list[Any]


VM = TypeAdapter(VmMessage)
VM_PAGE = TypeAdapter(VmPageMessage)


def canonical_address(text: str) -> str:
    """Normalize an IP:PORT address; raises MessageError.

    >>> canonical_address("127.0.0.1:8080")
    '127.0.0.1:8080'
    >>> canonical_address("[0:0::1]:80")
    '[::1]:80'
    """
    host, _, port = text.rpartition(":")
    if not (port.isascii() and port.isdigit() and int(port) <= MAX_PORT):
        raise MessageError("an address is IP:PORT")
    try:
        ip = ipaddress.ip_address(host.removeprefix("[").removesuffix("]"))
    except ValueError:
        raise MessageError("an address is IP:PORT") from None
    if ip.version == 6:
        return f"[{ip}]:{int(port)}"
    return f"{ip}:{int(port)}"


def read_vm(value: object) -> Vm:
    """Validate one VM; raises MessageError."""
    try:
        message = VM.validate_python(value)
    except ValidationError as error:
        raise MessageError(describe_validation_error(error)) from None
    message["address"] = canonical_address(message["address"])
    return Vm(**message)


def write_vm(vm: Vm) -> bytes:
    """Serialize one VM."""
    return write_json(to_builtins(vm))


def read_vm_page(body: bytes) -> tuple[VmListSnapshot, int]:
    """Parse the VM list; returns it with the number of invalid VMs."""
    message = read_message(VM_PAGE, body)
    vms: list[Vm] = []
    for value in message["vms"]:
        try:
            vms.append(read_vm(value))
        except MessageError:
            continue
    page = VmListSnapshot(message["as_of_ms"], tuple(vms))
    return page, len(message["vms"]) - len(vms)


def write_vm_page(page: VmListSnapshot) -> bytes:
    """Serialize the VM list."""
    return write_json(to_builtins(page))
