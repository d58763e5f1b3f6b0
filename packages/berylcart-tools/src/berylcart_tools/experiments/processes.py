"""Start real processes that die with their parent, and stop them by id."""

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
NEXT_PORT = count_from(os.getpid() * PORTS_PER_BLOCK)
STOP_TIMEOUT_S = 5.0
TICKS_PER_S = os.sysconf("SC_CLK_TCK")
PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")
LIBC = ctypes.CDLL(None, use_errno=True)


def die_with_parent() -> None:
    """Ask the kernel to kill this process when its parent ends."""
    LIBC.prctl(PR_SET_PDEATHSIG, signal.SIGKILL)


def can_listen(port: int) -> bool:
    """Say whether a port is free on loopback."""
    with socket.socket() as probe:
        probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        try:
            probe.bind((LOOPBACK, port))
        except OSError:
            return False
    return True


def free_ports(count: int) -> list[int]:
    """Find free ports that the system gives to no outgoing connection.

    Each process begins in a block of its own, so that several may look at
    once, and goes on after the ports that it found before.
    """
    ports: list[int] = []
    while len(ports) < count:
        port = FIRST_PORT + next(NEXT_PORT) % PORT_COUNT
        if can_listen(port):
            ports.append(port)
    return ports


class Started(NamedTuple):
    """Hold one process and where its output goes."""

    name: str
    process: subprocess.Popen[bytes]
    log_path: Path


class ProcessGroup:
    """Start processes with their output in files, and stop them all."""

    def __init__(self, directory: Path) -> None:
        self.directory = directory
        self.started: dict[str, Started] = {}
        self.ended_by_us: set[str] = set()

    def start(self, name: str, module: str, arguments: Sequence[str]) -> None:
        """Start a module of this interpreter as a process of its own."""
        log_path = self.directory / f"{name}.log"
        with log_path.open("ab") as log:
            process = subprocess.Popen(
                [sys.executable, "-m", module, *arguments],
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
                preexec_fn=die_with_parent,
            )
        self.started[name] = Started(name, process, log_path)

    def restart(
        self, name: str, module: str, arguments: Sequence[str]
    ) -> None:
        """Start a process again, killing it where it still runs."""
        old = self.started[name].process
        if old.poll() is None:
            old.kill()
        old.wait()
        self.start(name, module, arguments)

    def send(self, name: str, number: signal.Signals) -> None:
        """Send a signal to one process, which may end it."""
        self.ended_by_us.add(name)
        self.started[name].process.send_signal(number)

    def check_alive(self) -> None:
        """Raise RuntimeError naming a process that ended by itself."""
        for one in self.started.values():
            status = one.process.poll()
            if status is not None and one.name not in self.ended_by_us:
                tail = one.log_path.read_text(errors="replace")[-800:]
                raise RuntimeError(f"{one.name} ended with {status}: {tail}")

    async def stop(self) -> None:
        """Stop every process, the stubborn ones by force."""
        for one in self.started.values():
            if one.process.poll() is None:
                one.process.send_signal(signal.SIGCONT)
                one.process.terminate()
        await anyio.to_thread.run_sync(self.reap)
        self.started.clear()

    def reap(self) -> None:
        """Wait for every process to end, and kill it when it is late."""
        until_s = time.monotonic() + STOP_TIMEOUT_S
        for one in self.started.values():
            try:
                one.process.wait(max(0.0, until_s - time.monotonic()))
            except subprocess.TimeoutExpired:
                one.process.kill()
                one.process.wait()

    def count_running(self) -> int:
        """Count the processes that still run."""
        return sum(one.process.poll() is None for one in self.started.values())

    def cpu_s(self, name: str) -> float:
        """Read the processor time that one process has used."""
        pid = self.started[name].process.pid
        try:
            stat = Path(f"/proc/{pid}/stat").read_text()
        except OSError:
            return 0.0
        fields = stat.rpartition(")")[2].split()
        return (int(fields[11]) + int(fields[12])) / TICKS_PER_S

    def memory_mb(self, name: str) -> float:
        """Read the resident memory of one process in megabytes."""
        pid = self.started[name].process.pid
        try:
            pages = int(Path(f"/proc/{pid}/statm").read_text().split()[1])
        except OSError:
            return 0.0
        return pages * PAGE_BYTES / 2**20
