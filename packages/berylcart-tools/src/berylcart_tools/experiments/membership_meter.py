"""Measure the network traffic, CPU time and memory of this process."""

import resource
import time
from typing import Any, TypedDict

from berylcart.transport.peer_connection import PeerConnection

KB_PER_PAGE = resource.getpagesize() // 1024


class ProcessCounters(TypedDict):
    """Hold the counters of one process since its start.

    Bytes are TCP payload, without TCP and IP headers.
    """

    at_s: float
    processor_s: float
    bytes_in: int
    bytes_out: int
    calls_in: int
    connections: int
    rss_kb: int
    pss_kb: int


class TrafficCounter:
    """Count the bytes and connections of all peer connections."""

    def __init__(self) -> None:
        self.bytes_in = 0
        self.bytes_out = 0
        self.connections = 0

    def patch_peer_connections(self) -> None:
        """Patch PeerConnection to count traffic until the process ends."""
        connection_class: Any = PeerConnection
        original_data_received = connection_class.data_received
        original_connection_made = connection_class.connection_made

        def data_received(protocol: Any, data: bytes) -> None:
            self.bytes_in += len(data)
            original_data_received(protocol, data)

        def connection_made(protocol: Any, transport: Any) -> None:
            self.connections += 1
            write = transport.write

            def counted_write(data: bytes) -> None:
                self.bytes_out += len(data)
                write(data)

            transport.write = counted_write
            original_connection_made(protocol, transport)

        connection_class.data_received = data_received
        connection_class.connection_made = connection_made


def read_rss_kb() -> int:
    """Read the resident set size (RSS) of this process."""
    with open("/proc/self/statm", encoding="ascii") as file:
        return int(file.read().split()[1]) * KB_PER_PAGE


def read_pss_kb() -> int:
    """Read the proportional set size (PSS) of this process, 0 if unknown."""
    with open("/proc/self/smaps_rollup", encoding="ascii") as file:
        for line in file:
            if line.startswith("Pss:"):
                return int(line.split()[1])
    return 0


def read_process_counters(
    traffic: TrafficCounter, calls_in: int
) -> ProcessCounters:
    """Read all counters of this process."""
    return ProcessCounters(
        at_s=time.monotonic(),
        processor_s=time.process_time(),
        bytes_in=traffic.bytes_in,
        bytes_out=traffic.bytes_out,
        calls_in=calls_in,
        connections=traffic.connections,
        rss_kb=read_rss_kb(),
        pss_kb=read_pss_kb(),
    )
