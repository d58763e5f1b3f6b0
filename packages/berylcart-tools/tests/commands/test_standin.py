"""Test stand-ins as separate processes."""

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

STANDIN_SCRIPT = """
import cappa
from berylcart_tools.commands.standin import StandinCommand
cappa.invoke(StandinCommand)
"""
UPSTREAM_OPTIONS = ["--service", "s", "--place", "lahore-1", "--vm-id", "vm-1"]


def start_standin(*args):
    """Start a stand-in; return its process and address."""
    process = subprocess.Popen(
        [sys.executable, "-c", STANDIN_SCRIPT, *args],
        stderr=subprocess.PIPE,
        text=True,
    )
    line = process.stderr.readline()
    match = re.search(r"event=standin.ready kind=\S+ address=(\S+)", line)
    if match is None:
        process.kill()
        pytest.fail(line + process.stderr.read())
    return process, match[1]


def stop_standin(process):
    """Stop a stand-in with SIGTERM and return its exit status."""
    process.send_signal(signal.SIGTERM)
    try:
        process.communicate(timeout=30)
    finally:
        process.kill()
    return process.returncode


@pytest.mark.processes
def test_log_process_appends_and_stops():
    process, address = start_standin("log")

    async def scenario():
        async with HttpClient() as client:
            return await HttpLog(address, client).append(
                "s", [Release("digest", "claim")]
            )

    try:
        assert anyio.run(scenario) == 0
    finally:
        assert stop_standin(process) == 0


@pytest.mark.processes
@pytest.mark.parametrize("kind", ["engine", "pool", "plain"])
def test_upstream_process_registers_and_deregisters(kind):
    vm_list, vm_list_address = start_standin("vm-list", "--lag-ms", "0")
    upstream, address = start_standin(
        kind, *UPSTREAM_OPTIONS, "--vm-list", vm_list_address
    )

    async def fetch_vms(count):
        async with HttpClient() as client:
            vm_list_client = HttpVmList(vm_list_address, client)
            with anyio.fail_after(30):
                while True:
                    vms = (await vm_list_client.fetch()).vms
                    if len(vms) == count:
                        return vms
                    await anyio.sleep(0.01)

    try:
        assert anyio.run(fetch_vms, 1)[0].address == address
        assert stop_standin(upstream) == 0
        assert anyio.run(fetch_vms, 0) == ()
    finally:
        upstream.kill()
        assert stop_standin(vm_list) == 0


@pytest.mark.processes
def test_address_in_use_sets_the_exit_status():
    process, address = start_standin("weight-store")
    try:
        completed = subprocess.run(
            [
                sys.executable,
                "-c",
                STANDIN_SCRIPT,
                "log",
                "--address",
                address,
            ],
            capture_output=True,
            text=True,
            timeout=30,
        )
        expected = CODE_INFO[Code.ADDRESS_IN_USE].exit_status
        assert completed.returncode == expected
        assert "Traceback" not in completed.stderr
    finally:
        assert stop_standin(process) == 0
