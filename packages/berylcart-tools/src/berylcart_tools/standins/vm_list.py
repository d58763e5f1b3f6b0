"""Simulate the platform's VM list, which shows changes with a delay."""

import secrets
from collections import deque
from typing import NamedTuple

import anyio
from anyio.abc import TaskStatus
from berylcart.protocol.json_codec import MessageError, read_json
from berylcart.protocol.vm_messages import read_vm, write_vm_page
from berylcart.state.vm import Vm, VmListSnapshot
from starlette.applications import Starlette
from starlette.requests import Request
from starlette.responses import Response
from starlette.routing import Route

from berylcart_tools.standins.clock import now_ms
from berylcart_tools.standins.faults import Faults
from berylcart_tools.standins.http_responses import (
    JSON_TYPE,
    no_content,
    reject_malformed,
)
from berylcart_tools.standins.serve import serve_app

LIST_PATH = "/v1/vms"
VM_PATH = "/v1/vms/{vm_id}"
LAG_MS = 1000
STATUS_NOT_MODIFIED = 304
BOOT_ID_BYTES = 4


class VmListSettings(NamedTuple):
    """Configure the list's address and the delay of its changes."""

    address: str = "127.0.0.1:0"
    lag_ms: int = LAG_MS


class VmChange(NamedTuple):
    """Record a new entry of a VM, or its removal if vm is None."""

    at_ms: int
    vm_id: str
    vm: Vm | None


class DelayedVmList:
    """Hold the VMs and show them as they were lag_ms ago."""

    def __init__(self, lag_ms: int) -> None:
        self.lag_ms = lag_ms
        self.pending: deque[VmChange] = deque()
        self.visible: dict[str, Vm] = {}
        self.changes = 0
        self.boot_id = secrets.token_hex(BOOT_ID_BYTES)

    @property
    def etag(self) -> str:
        """Return the visible list's ETag; it changes on update and restart."""
        return f'"{self.boot_id}-{self.changes}"'

    def add_change(self, vm_id: str, vm: Vm | None) -> None:
        """Record a change, which becomes visible after lag_ms."""
        self.pending.append(VmChange(now_ms(), vm_id, vm))

    def page(self) -> VmListSnapshot:
        """Return the list as it was lag_ms ago."""
        as_of_ms = now_ms() - self.lag_ms
        while self.pending and self.pending[0].at_ms <= as_of_ms:
            self.apply(self.pending.popleft())
        return VmListSnapshot(as_of_ms, tuple(self.visible.values()))

    def apply(self, change: VmChange) -> None:
        """Apply one change to the visible list."""
        self.changes += 1
        if change.vm is None:
            self.visible.pop(change.vm_id, None)
        else:
            self.visible[change.vm_id] = change.vm


class VmListStandin:
    """Serve the VM list over HTTP."""

    def __init__(self, settings: VmListSettings) -> None:
        self.faults = Faults()
        self.vms = DelayedVmList(settings.lag_ms)

    def app(self) -> Starlette:
        """Build the ASGI application."""
        return Starlette(
            routes=[
                Route(LIST_PATH, self.get, methods=["GET"]),
                Route(VM_PATH, reject_malformed(self.put), methods=["PUT"]),
                Route(VM_PATH, self.delete, methods=["DELETE"]),
                *self.faults.routes(),
            ]
        )

    async def get(self, request: Request) -> Response:
        """Return the list, or 304 if the client's ETag still matches."""
        page = self.vms.page()
        headers = {"ETag": self.vms.etag, "As-Of-Ms": str(page.as_of_ms)}
        if request.headers.get("if-none-match") == self.vms.etag:
            return Response(None, STATUS_NOT_MODIFIED, headers)
        body = write_vm_page(page)
        return Response(body, headers=headers, media_type=JSON_TYPE)

    async def put(self, request: Request) -> Response:
        """Create or replace the entry of a VM."""
        vm = read_vm(read_json(await request.body()))
        if vm.vm_id != request.path_params["vm_id"]:
            raise MessageError("the path names another VM")
        self.vms.add_change(vm.vm_id, vm)
        return no_content()

    async def delete(self, request: Request) -> Response:
        """Remove the entry of a VM."""
        self.vms.add_change(request.path_params["vm_id"], None)
        return no_content()


async def serve_vm_list(
    settings: VmListSettings,
    *,
    stop: anyio.Event | None = None,
    task_status: TaskStatus[str] = anyio.TASK_STATUS_IGNORED,
) -> None:
    """Serve the VM list until stop is set; reports its address at start."""
    standin = VmListStandin(settings)
    await serve_app(
        "vm-list",
        standin.app(),
        standin.faults,
        settings.address,
        stop=stop,
        task_status=task_status,
    )
