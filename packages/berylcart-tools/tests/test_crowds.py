"""Test that crowds of misbehaving callers end no daemon's process."""

from contextlib import asynccontextmanager, suppress

import anyio
import pytest
from berylcart_tools.crowds import ask, read_usage, send_and_ignore
from berylcart_tools.experiments.processes import ProcessGroup, free_ports

pytestmark = [pytest.mark.anyio, pytest.mark.processes]

# The memory that the daemon may take with this limit of bodies and heads.
MEMORY_MB = 130
TOTAL_BODY_BYTES = 32 * 2**20
MAX_DESCRIPTORS = 400
CALLERS = 200
CHUNKING_CALLERS = 350
HOLD_S = 8.0
ANSWER_TIMEOUT_S = 60.0
STATUS = b"GET /v1/status HTTP/1.1\r\nHost: h\r\n\r\n"
SHORT_LINES = b"a:\r\n" * 4000
POST = b"POST /v1/services/model HTTP/1.1\r\nHost: h\r\n"
CROWDS = {
    "pipelined": STATUS * 4000,
    "short-lines": STATUS.replace(b"\r\n\r\n", b"\r\n" + SHORT_LINES + b"\r\n")
    * 30,
    "unfinished": STATUS[:-2] + SHORT_LINES,
    "held": POST + b"Content-Length: 9\r\n" + SHORT_LINES + b"\r\n",
    "chunks": POST
    + b"Transfer-Encoding: chunked\r\n\r\n"
    + b"1\r\nx\r\n" * 600_000
    + b"0\r\n\r\n",
}
SETTINGS = """
[daemon]
id = "entry-1"
place = "lahore-1"
http_address = "{}"
peer_address = "{}"

[platform]
log_address = "{}"
vm_list_address = "{}"

[limits]
total_body_bytes = {}
"""


@pytest.fixture
def anyio_backend():
    """Use the backend that the daemon uses."""
    return "asyncio"


@asynccontextmanager
async def running_daemon(folder):
    """Run a daemon beside its log and VM list; give its address and pid."""
    group = ProcessGroup(folder)
    addresses = [f"127.0.0.1:{port}" for port in free_ports(4)]
    caller_address, _, log_address, vm_list_address = addresses
    settings_path = folder / "entry.toml"
    settings_path.write_text(SETTINGS.format(*addresses, TOTAL_BODY_BYTES))
    tools = "berylcart_tools.main"
    try:
        for name, address in (
            ("log", log_address),
            ("vm-list", vm_list_address),
        ):
            group.start(name, tools, ["standin", name, "--address", address])
        group.start(
            "entry",
            "berylcart_daemon.main",
            ["--settings", str(settings_path)],
        )
        with anyio.fail_after(ANSWER_TIMEOUT_S):
            while True:
                with suppress(OSError):
                    if await ask(caller_address, STATUS) == 200:
                        break
                await anyio.sleep(0.1)
        yield caller_address, group.child_processes["entry"].process.pid
        group.check_unexpected_exits()
    finally:
        await group.stop()


@pytest.mark.parametrize("kind", CROWDS)
async def test_crowds_do_not_exhaust_a_daemon(tmp_path, kind):
    """A daemon took all memory, or answered no one for minutes."""
    count = CHUNKING_CALLERS if kind == "chunks" else CALLERS
    async with running_daemon(tmp_path) as (address, pid):
        async with anyio.create_task_group() as callers:
            for _ in range(count):
                callers.start_soon(send_and_ignore, address, CROWDS[kind])
            await anyio.sleep(HOLD_S)
            with anyio.fail_after(ANSWER_TIMEOUT_S):
                assert await ask(address, STATUS) == 200
            descriptors = read_usage(pid).descriptors
            callers.cancel_scope.cancel()
        with anyio.fail_after(ANSWER_TIMEOUT_S):
            status = await ask(address, STATUS)
        usage = read_usage(pid)
    assert status == 200
    assert usage.peak_memory_mb < MEMORY_MB
    assert descriptors < MAX_DESCRIPTORS
