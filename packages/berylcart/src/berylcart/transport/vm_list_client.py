"""Read and change the platform's VM list over HTTP."""

import re
from urllib.parse import quote

from berylcart import events
from berylcart.protocol.json_codec import MessageError
from berylcart.protocol.vm_messages import read_vm_page, write_vm
from berylcart.state.errors import BerylcartError, Code
from berylcart.state.vm import Vm, VmListSnapshot
from berylcart.transport.http_client import (
    HttpClient,
    HttpError,
    HttpRequest,
    HttpResponse,
)

TIMEOUT_MS = 2000
LIST_PATH = "/v1/vms"
STATUS_OK = 200
STATUS_NO_CONTENT = 204
STATUS_NOT_MODIFIED = 304
AS_OF_MS_PATTERN = re.compile(r"-?\d{1,18}", re.ASCII)


class VmListError(BerylcartError):
    """Report a call to the VM list without a valid response."""

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
        self.etag = ""
        self.page = VmListSnapshot(-1, ())

    async def fetch(self) -> VmListSnapshot:
        """Fetch the list, without invalid VMs; raises VmListError.

        The request is conditional on the ETag of the last list, so that an
        unchanged list is not transferred again.
        """
        headers = (("If-None-Match", self.etag),) if self.etag else ()
        response = await self.send("GET", LIST_PATH, b"", headers)
        if response.status == STATUS_NOT_MODIFIED and self.etag:
            self.page = self.page._replace(as_of_ms=read_as_of_ms(response))
            return self.page
        check_status(response, STATUS_OK)
        try:
            page, invalid_count = read_vm_page(response.body)
        except MessageError as error:
            raise VmListError(error.detail) from error
        if invalid_count:
            events.warning("vm_list.vms_skipped", vms=invalid_count)
        self.etag = response.headers.get("etag", "")
        self.page = page
        return page

    async def put(self, vm: Vm) -> None:
        """Register a VM or update its entry; raises VmListError."""
        response = await self.send("PUT", vm_path(vm.vm_id), write_vm(vm))
        check_status(response, STATUS_NO_CONTENT)

    async def delete(self, vm_id: str) -> None:
        """Remove a VM; raises VmListError."""
        response = await self.send("DELETE", vm_path(vm_id), b"")
        check_status(response, STATUS_NO_CONTENT)

    async def send(
        self,
        method: str,
        path: str,
        body: bytes,
        headers: tuple[tuple[str, str], ...] = (),
    ) -> HttpResponse:
        """Send one request; raises VmListError when there is no response."""
        request = HttpRequest(
            method, self.address, path, body, headers, self.timeout_ms
        )
        try:
            return await self.client.request(request)
        except HttpError as error:
            raise VmListError(error.detail) from error


def check_status(response: HttpResponse, status: int) -> None:
    """Raise VmListError unless a response has the expected status."""
    if response.status != status:
        raise VmListError(f"the VM list returned status {response.status}")


def read_as_of_ms(response: HttpResponse) -> int:
    """Parse the As-Of-Ms header of an unchanged list; raises VmListError."""
    text = response.headers.get("as-of-ms", "")
    if not AS_OF_MS_PATTERN.fullmatch(text):
        raise VmListError(
            "the VM list sent no valid As-Of-Ms for an unchanged list"
        )
    return int(text)


def vm_path(vm_id: str) -> str:
    """Return the URL path of one VM.

    >>> vm_path("engine-1")
    '/v1/vms/engine-1'
    """
    return f"{LIST_PATH}/{quote(vm_id, safe='')}"
