"""Read and write the platform's VM list over HTTP."""

import re
from urllib.parse import quote

from berylcart import events
from berylcart.protocol.json_values import MessageError
from berylcart.protocol.vm_messages import read_vm_page, write_vm
from berylcart.state.errors import BerylcartError, Code
from berylcart.state.vm import Vm, VmPage
from berylcart.transport.http_client import (
    HttpAnswer,
    HttpClient,
    HttpError,
    HttpRequest,
)

TIMEOUT_MS = 2000
LIST_PATH = "/v1/vms"
STATUS_OK = 200
STATUS_DONE = 204
STATUS_UNCHANGED = 304
AS_OF = re.compile(r"-?\d{1,18}", re.ASCII)


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
        self.tag = ""
        self.page = VmPage(-1, ())

    async def fetch(self) -> VmPage:
        """Fetch the list, without unreadable VMs; raises VmListError.

        A list that did not change since the last call is not sent again.
        """
        headers = (("If-None-Match", self.tag),) if self.tag else ()
        answer = await self.send("GET", LIST_PATH, b"", headers)
        if answer.status == STATUS_UNCHANGED and self.tag:
            self.page = self.page._replace(as_of_ms=read_as_of_ms(answer))
            return self.page
        check_status(answer, STATUS_OK)
        try:
            page, unreadable = read_vm_page(answer.body)
        except MessageError as error:
            raise VmListError(error.detail) from error
        if unreadable:
            events.warning("vm_list.unreadable", vms=unreadable)
        self.tag = answer.headers.get("etag", "")
        self.page = page
        return page

    async def put(self, vm: Vm) -> None:
        """Register a VM or change its entry; raises VmListError."""
        answer = await self.send("PUT", vm_path(vm.vm_id), write_vm(vm))
        check_status(answer, STATUS_DONE)

    async def delete(self, vm_id: str) -> None:
        """Remove a VM; raises VmListError."""
        answer = await self.send("DELETE", vm_path(vm_id), b"")
        check_status(answer, STATUS_DONE)

    async def send(
        self,
        method: str,
        path: str,
        body: bytes,
        headers: tuple[tuple[str, str], ...] = (),
    ) -> HttpAnswer:
        """Send one call; raises VmListError without an answer."""
        request = HttpRequest(
            method, self.address, path, body, headers, self.timeout_ms
        )
        try:
            return await self.client.request(request)
        except HttpError as error:
            raise VmListError(error.detail) from error


def check_status(answer: HttpAnswer, status: int) -> None:
    """Raise VmListError unless an answer has the expected status."""
    if answer.status != status:
        raise VmListError(f"the VM list answered {answer.status}")


def read_as_of_ms(answer: HttpAnswer) -> int:
    """Read when an unchanged list was true; raises VmListError."""
    text = answer.headers.get("as-of-ms", "")
    if not AS_OF.fullmatch(text):
        raise VmListError("the VM list gave no time for an unchanged list")
    return int(text)


def vm_path(vm_id: str) -> str:
    """Write the path of one VM.

    >>> vm_path("engine-1")
    '/v1/vms/engine-1'
    """
    return f"{LIST_PATH}/{quote(vm_id, safe='')}"
