"""Play callers that misbehave, and read what a process has used."""

import socket
from contextlib import suppress
from pathlib import Path
from typing import NamedTuple

import anyio
from berylcart.transport.channel import connect

BYTES_PER_KIB = 1024
BYTES_PER_MB = 10**6
# Small, so that what is not read holds the sender up soon.
RECEIVE_BUFFER_BYTES = 4096
RECONNECT_DELAY_S = 0.1


class Usage(NamedTuple):
    """Hold the peak memory and the open descriptors of a process."""

    peak_memory_mb: float
    descriptors: int


def read_usage(pid: int) -> Usage:
    """Read what a process has used; raises OSError if it has ended."""
    folder = Path(f"/proc/{pid}")
    status = dict(
        line.split(":", 1)
        for line in (folder / "status").read_text().splitlines()
    )
    peak_kib = int(status["VmHWM"].split()[0])
    descriptors = len(list((folder / "fd").iterdir()))
    return Usage(peak_kib * BYTES_PER_KIB / BYTES_PER_MB, descriptors)


async def send_and_ignore(address: str, data: bytes) -> None:
    """Send bytes and read nothing until cancelled, whatever happens."""
    try:
        channel = await connect(address)
    except OSError:
        return
    try:
        channel.sock.setsockopt(
            socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES
        )
        with suppress(OSError):
            await channel.send(data)
        await anyio.sleep_forever()
    finally:
        channel.close()


async def stay_silent(address: str) -> None:
    """Hold a connection without sending, a new one when it is closed."""
    while True:
        with suppress(OSError):
            channel = await connect(address)
            try:
                await channel.receive()
            finally:
                channel.close()
        await anyio.sleep(RECONNECT_DELAY_S)


async def ask(address: str, request: bytes) -> int:
    """Send a request on a new connection; return the response's status.

    Raises OSError if the connection ends before the head of a response.
    """
    channel = await connect(address)
    try:
        await channel.send(request)
        data = b""
        while b"\r\n\r\n" not in data:
            part = await channel.receive()
            if not part:
                raise ConnectionResetError(f"{len(data)} bytes of a head")
            data += part
        return int(data.split(b" ", 2)[1])
    finally:
        channel.close()
