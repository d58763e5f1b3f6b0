"""Stand in for the platform's lagging list of VMs."""

import secrets
from collections import deque
from typing import NamedTuple

import anyio
from anyio.abc import TaskStatus
from berylcart.protocol.json_values import MessageError, read_json
from berylcart.protocol.vm_messages import read_vm, write_vm_page
from berylcart.state.vm import Vm, VmPage
from starlette.applications import Starlette
from starlette.requests import Request
from starlette.responses import Response
from starlette.routing import Route

from berylcart_tools.standins.clock import now_ms
from berylcart_tools.standins.faults import Faults
from berylcart_tools.standins.replies import JSON_TYPE, checked, no_content
from berylcart_tools.standins.serve import serve_app

LIST_PATH = "/v1/vms"
VM_PATH = "/v1/vms/{vm_id}"
LAG_MS = 1000
STATUS_UNCHANGED = 304
LIFE_BYTES = 4


class VmListSettings(NamedTuple):
    """Set the list's address and how late it shows a change."""

    address: str = "127.0.0.1:0"
    lag_ms: int = LAG_MS


class Change(NamedTuple):
    """Record that a VM changed, or went when vm is None."""

    at_ms: int
    vm_id: str
    vm: Vm | None


class LaggingList:
    """Show the VMs as they were some time ago."""

    def __init__(self, lag_ms: int) -> None:
        self.lag_ms = lag_ms
        self.pending: deque[Change] = deque()
        self.visible: dict[str, Vm] = {}
        self.changes = 0
        self.life = secrets.token_hex(LIFE_BYTES)

    @property
    def tag(self) -> str:
        """Name the shown list, anew after each change and restart."""
        return f'"{self.life}-{self.changes}"'

    def change(self, vm_id: str, vm: Vm | None) -> None:
        """Take a change, to be shown after the lag."""
        self.pending.append(Change(now_ms(), vm_id, vm))

    def page(self) -> VmPage:
        """Show the list as of the lag ago."""
        as_of_ms = now_ms() - self.lag_ms
        while self.pending and self.pending[0].at_ms <= as_of_ms:
            self.apply(self.pending.popleft())
        return VmPage(as_of_ms, tuple(self.visible.values()))

    def apply(self, change: Change) -> None:
        """Make one change visible."""
        self.changes += 1
        if change.vm is None:
            self.visible.pop(change.vm_id, None)
        else:
            self.visible[change.vm_id] = change.vm


class VmListStandin:
    """Serve the list."""

    def __init__(self, settings: VmListSettings) -> None:
        self.faults = Faults()
        self.list = LaggingList(settings.lag_ms)

    def app(self) -> Starlette:
        """Build the application."""
        return Starlette(
            routes=[
                Route(LIST_PATH, self.get, methods=["GET"]),
                Route(VM_PATH, checked(self.put), methods=["PUT"]),
                Route(VM_PATH, self.delete, methods=["DELETE"]),
                *self.faults.routes(),
            ]
        )

    async def get(self, request: Request) -> Response:
        """Show the list, unless the caller has it already."""
        page = self.list.page()
        headers = {"ETag": self.list.tag, "As-Of-Ms": str(page.as_of_ms)}
        if request.headers.get("if-none-match") == self.list.tag:
            return Response(None, STATUS_UNCHANGED, headers)
        body = write_vm_page(page)
        return Response(body, headers=headers, media_type=JSON_TYPE)

    async def put(self, request: Request) -> Response:
        """Register a VM or change its entry."""
        vm = read_vm(read_json(await request.body()))
        if vm.vm_id != request.path_params["vm_id"]:
            raise MessageError("the path names another VM")
        self.list.change(vm.vm_id, vm)
        return no_content()

    async def delete(self, request: Request) -> Response:
        """Remove a VM."""
        self.list.change(request.path_params["vm_id"], None)
        return no_content()


async def serve_vm_list(
    settings: VmListSettings,
    *,
    stop: anyio.Event | None = None,
    task_status: TaskStatus[str] = anyio.TASK_STATUS_IGNORED,
) -> None:
    """Serve the VM list until stop is set; starts with its address."""
    standin = VmListStandin(settings)
    await serve_app(
        "vm-list",
        standin.app(),
        standin.faults,
        settings.address,
        stop=stop,
        task_status=task_status,
    )
