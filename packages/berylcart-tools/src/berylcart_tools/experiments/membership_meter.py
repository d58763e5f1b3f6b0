"""Count what one process sends, receives and uses."""

import resource
import time
from typing import Any, TypedDict

from berylcart.transport.peer_connection import PeerConnection

KB_PER_PAGE = resource.getpagesize() // 1024


class Reading(TypedDict):
    """Hold one process's counters since it started.

    Bytes are those of the TCP streams, without TCP and IP headers.
    """

    at_s: float
    processor_s: float
    bytes_in: int
    bytes_out: int
    calls_in: int
    connections: int
    rss_kb: int
    pss_kb: int


class Traffic:
    """Count bytes and connections of every peer connection."""

    def __init__(self) -> None:
        self.bytes_in = 0
        self.bytes_out = 0
        self.connections = 0

    def install(self) -> None:
        """Wrap the connections' protocol for the rest of this process."""
        patched: Any = PeerConnection
        receive = patched.data_received
        connect = patched.connection_made

        def data_received(protocol: Any, data: bytes) -> None:
            self.bytes_in += len(data)
            receive(protocol, data)

        def connection_made(protocol: Any, transport: Any) -> None:
            self.connections += 1
            write = transport.write

            def counted_write(data: bytes) -> None:
                self.bytes_out += len(data)
                write(data)

            transport.write = counted_write
            connect(protocol, transport)

        patched.data_received = data_received
        patched.connection_made = connection_made


def read_rss_kb() -> int:
    """Read this process's resident memory."""
    with open("/proc/self/statm", encoding="ascii") as file:
        return int(file.read().split()[1]) * KB_PER_PAGE


def read_pss_kb() -> int:
    """Read this process's share of the memory that it has resident."""
    with open("/proc/self/smaps_rollup", encoding="ascii") as file:
        for line in file:
            if line.startswith("Pss:"):
                return int(line.split()[1])
    return 0


def take_reading(traffic: Traffic, calls_in: int) -> Reading:
    """Read every counter now."""
    return Reading(
        at_s=time.monotonic(),
        processor_s=time.process_time(),
        bytes_in=traffic.bytes_in,
        bytes_out=traffic.bytes_out,
        calls_in=calls_in,
        connections=traffic.connections,
        rss_kb=read_rss_kb(),
        pss_kb=read_pss_kb(),
    )
