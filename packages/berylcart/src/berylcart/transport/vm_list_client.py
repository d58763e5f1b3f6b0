"""Read and write the platform's VM list over HTTP."""

from urllib.parse import quote

from berylcart import events
from berylcart.protocol.json_values import MessageError
from berylcart.protocol.vm_messages import read_vm_page, write_vm
from berylcart.state.errors import BerylcartError, Code
from berylcart.state.vm import Vm, VmPage
from berylcart.transport.http_client import HttpClient, HttpError, HttpRequest

TIMEOUT_MS = 2000
LIST_PATH = "/v1/vms"
STATUS_OK = 200
STATUS_DONE = 204


class VmListError(BerylcartError):
    """Report a call to the VM list without a usable answer."""

    def __init__(self, detail: str) -> None:
        super().__init__(Code.VM_LIST_UNAVAILABLE, detail)


class HttpVmList:
    """Implement the VmList port over HTTP; address is IP:PORT."""

    def __init__(
        self, address: str, client: HttpClient, timeout_ms: int = TIMEOUT_MS
    ) -> None:
        self.address = address
        self.client = client
        self.timeout_ms = timeout_ms

    async def fetch(self) -> VmPage:
        """Fetch the list, without unreadable VMs; raises VmListError."""
        body = await self.send("GET", LIST_PATH, b"", STATUS_OK)
        try:
            page, unreadable = read_vm_page(body)
        except MessageError as error:
            raise VmListError(error.detail) from error
        if unreadable:
            events.warning("vm_list.unreadable", vms=unreadable)
        return page

    async def put(self, vm: Vm) -> None:
        """Register a VM or change its entry; raises VmListError."""
        await self.send("PUT", vm_path(vm.vm_id), write_vm(vm), STATUS_DONE)

    async def delete(self, vm_id: str) -> None:
        """Remove a VM; raises VmListError."""
        await self.send("DELETE", vm_path(vm_id), b"", STATUS_DONE)

    async def send(
        self, method: str, path: str, body: bytes, status: int
    ) -> bytes:
        """Send one call and expect a status; raises VmListError."""
        request = HttpRequest(
            method, self.address, path, body, timeout_ms=self.timeout_ms
        )
        try:
            answer = await self.client.request(request)
        except HttpError as error:
            raise VmListError(error.detail) from error
        if answer.status != status:
            raise VmListError(f"the VM list answered {answer.status}")
        return answer.body


def vm_path(vm_id: str) -> str:
    """Write the path of one VM.

    >>> vm_path("engine-1")
    '/v1/vms/engine-1'
    """
    return f"{LIST_PATH}/{quote(vm_id, safe='')}"
