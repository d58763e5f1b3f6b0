"""Child processes that are killed when their parent ends."""

import ctypes
import os
import signal
import socket
import subprocess
import sys
import time
from collections.abc import Sequence
from itertools import count as count_from
from pathlib import Path
from typing import NamedTuple

import anyio

PR_SET_PDEATHSIG = 1
LOOPBACK = "127.0.0.1"
FIRST_PORT = 10_000
PORT_COUNT = 22_000
PORTS_PER_BLOCK = 500
PORT_SEQUENCE = count_from(os.getpid() * PORTS_PER_BLOCK)
STOP_TIMEOUT_S = 5.0
TICKS_PER_S = os.sysconf("SC_CLK_TCK")
PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")
LIBC = ctypes.CDLL(None, use_errno=True)


def set_parent_death_signal() -> None:
    """Make the kernel send SIGKILL to this process when its parent ends."""
    LIBC.prctl(PR_SET_PDEATHSIG, signal.SIGKILL)


def is_port_free(port: int) -> bool:
    """Tell whether a port is free on the loopback interface."""
    with socket.socket() as probe:
        probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        try:
            probe.bind((LOOPBACK, port))
        except OSError:
            return False
    return True


def free_ports(count: int) -> list[int]:
    """Return free ports below the ephemeral port range.

    The search starts at a block derived from the process id, so that
    concurrent processes rarely collide, and continues after earlier results.
    """
    ports: list[int] = []
    while len(ports) < count:
        port = FIRST_PORT + next(PORT_SEQUENCE) % PORT_COUNT
        if is_port_free(port):
            ports.append(port)
    return ports


class ManagedProcess(NamedTuple):
    """Hold a child process and the file with its output."""

    name: str
    process: subprocess.Popen[bytes]
    log_path: Path


class ProcessGroup:
    """Start child processes with output to files, and stop all of them."""

    def __init__(self, directory: Path) -> None:
        self.directory = directory
        self.child_processes: dict[str, ManagedProcess] = {}
        self.expected_exits: set[str] = set()

    def start(self, name: str, module: str, arguments: Sequence[str]) -> None:
        """Run a Python module as a child process."""
        log_path = self.directory / f"{name}.log"
        with log_path.open("ab") as log:
            process = subprocess.Popen(
                [sys.executable, "-m", module, *arguments],
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
                preexec_fn=set_parent_death_signal,
            )
        self.child_processes[name] = ManagedProcess(name, process, log_path)

    def restart(
        self, name: str, module: str, arguments: Sequence[str]
    ) -> None:
        """Start a process again, killing it first if it still runs."""
        old = self.child_processes[name].process
        if old.poll() is None:
            old.kill()
        old.wait()
        self.start(name, module, arguments)

    def send(self, name: str, signal_number: signal.Signals) -> None:
        """Send a signal to a process and expect that it may exit."""
        self.expected_exits.add(name)
        self.child_processes[name].process.send_signal(signal_number)

    def check_unexpected_exits(self) -> None:
        """Raise RuntimeError if a process exited unexpectedly."""
        for managed in self.child_processes.values():
            status = managed.process.poll()
            if status is not None and managed.name not in self.expected_exits:
                tail = managed.log_path.read_text(errors="replace")[-800:]
                raise RuntimeError(
                    f"{managed.name} exited with status {status}: {tail}"
                )

    async def stop(self) -> None:
        """Terminate all processes, with SIGKILL after STOP_TIMEOUT_S."""
        for managed in self.child_processes.values():
            if managed.process.poll() is None:
                managed.process.send_signal(signal.SIGCONT)
                managed.process.terminate()
        await anyio.to_thread.run_sync(self.reap)
        self.child_processes.clear()

    def reap(self) -> None:
        """Wait for all processes to exit and kill those that time out."""
        deadline_s = time.monotonic() + STOP_TIMEOUT_S
        for managed in self.child_processes.values():
            try:
                managed.process.wait(max(0.0, deadline_s - time.monotonic()))
            except subprocess.TimeoutExpired:
                managed.process.kill()
                managed.process.wait()

    def count_running(self) -> int:
        """Return the number of running processes."""
        return sum(
            managed.process.poll() is None
            for managed in self.child_processes.values()
        )

    def cpu_s(self, name: str) -> float:
        """Read the CPU time of a process in seconds, 0 if it is gone."""
        pid = self.child_processes[name].process.pid
        try:
            stat = Path(f"/proc/{pid}/stat").read_text()
        except OSError:
            return 0.0
        fields = stat.rpartition(")")[2].split()
        return (int(fields[11]) + int(fields[12])) / TICKS_PER_S

    def memory_mb(self, name: str) -> float:
        """Read the resident memory of a process in MiB, 0 if it is gone."""
        pid = self.child_processes[name].process.pid
        try:
            pages = int(Path(f"/proc/{pid}/statm").read_text().split()[1])
        except OSError:
            return 0.0
        return pages * PAGE_BYTES / 2**20
