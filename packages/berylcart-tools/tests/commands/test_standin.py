"""Check stand-ins as processes of their own."""

import re
import signal
import subprocess
import sys

import anyio
import pytest
from berylcart.state.errors import CODE_INFO, Code
from berylcart.state.records import Release
from berylcart.transport.http_client import HttpClient
from berylcart.transport.log_client import HttpLog
from berylcart.transport.vm_list_client import HttpVmList

PROGRAM = """
import cappa
from berylcart_tools.commands.standin import StandinCommand
cappa.invoke(StandinCommand)
"""
UPSTREAM = ["--service", "s", "--place", "lahore-1", "--vm-id", "vm-1"]


def start(*args):
    """Start a stand-in and give it with its address."""
    process = subprocess.Popen(
        [sys.executable, "-c", PROGRAM, *args],
        stderr=subprocess.PIPE,
        text=True,
    )
    line = process.stderr.readline()
    found = re.search(r"event=standin.ready kind=\S+ address=(\S+)", line)
    if found is None:
        process.kill()
        pytest.fail(line + process.stderr.read())
    return process, found[1]


def stop(process):
    """Stop a stand-in gracefully and give its exit status."""
    process.send_signal(signal.SIGTERM)
    try:
        process.communicate(timeout=30)
    finally:
        process.kill()
    return process.returncode


@pytest.mark.processes
def test_log_process_serves_and_stops():
    process, address = start("log")

    async def scenario():
        async with HttpClient() as client:
            return await HttpLog(address, client).append(
                "s", [Release("digest", "claim")]
            )

    try:
        assert anyio.run(scenario) == 0
    finally:
        assert stop(process) == 0


@pytest.mark.processes
@pytest.mark.parametrize("kind", ["engine", "pool", "plain"])
def test_upstream_process_registers_and_leaves(kind):
    vm_list, list_address = start("vm-list", "--lag-ms", "0")
    upstream, address = start(kind, *UPSTREAM, "--vm-list", list_address)

    async def fetch(count):
        async with HttpClient() as client:
            listed = HttpVmList(list_address, client)
            with anyio.fail_after(30):
                while True:
                    vms = (await listed.fetch()).vms
                    if len(vms) == count:
                        return vms
                    await anyio.sleep(0.01)

    try:
        assert anyio.run(fetch, 1)[0].address == address
        assert stop(upstream) == 0
        assert anyio.run(fetch, 0) == ()
    finally:
        upstream.kill()
        assert stop(vm_list) == 0


@pytest.mark.processes
def test_taken_address_ends_with_its_status():
    process, address = start("weight-store")
    try:
        done = subprocess.run(
            [sys.executable, "-c", PROGRAM, "log", "--address", address],
            capture_output=True,
            text=True,
            timeout=30,
        )
        expected = CODE_INFO[Code.ADDRESS_IN_USE].exit_status
        assert done.returncode == expected
        assert "Traceback" not in done.stderr
    finally:
        assert stop(process) == 0
