"""A part of an answer reaches the client as the whole one.

By default a replica crashes in the middle of its answers. With VARIANT=slow
none does: sound replicas read the rest of a body only after their answer.
"""

import asyncio
import os
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "standins-2"))
from world import (  # noqa: E402
    TROUBLE,
    Client,
    Replica,
    World,
    manifest,
    read_message,
    run_case,
)

HOST = "slot.example"
PATH = "/slot/hold"
TIMEOUT_MS = 15_000
BODY_BYTES = 4_000_000
IS_CRASH = os.environ.get("VARIANT", "crash") == "crash"
LINES = 600 if IS_CRASH else 60_000
ANSWER = b"confirmed: " + b"0123456789abcdef" * LINES + b" end"
WORK_S = 0.5
PART_BYTES, PART_S = (960, 0.1) if IS_CRASH else (16_384, 0)
# The answers are half made then.
CRASH_S = 1.2
REQUESTS = 18

ROUTE = {
    "name": "r-slot", "host": HOST, "path_prefix": "/slot/",
    "route_type": "non_idempotent", "timeout_ms": TIMEOUT_MS,
    "target_latency_ms": 1000, "priority": 0, "service": "booking",
    "max_attempts": 1, "public": False, "sticky": False, "resumable": False,
}
SERVICE = {"name": "booking", "max_connections": 100}


async def read_rest(remaining, reader, writer):
    """Read what is left of a body."""
    writer.transport.resume_reading()
    while remaining > 0:
        data = await reader.read(min(65536, remaining))
        if not data:
            return
        remaining -= len(data)


async def answer_early(replica, reader, writer):
    """Answer without a length before the body is in, then read on."""
    message = await read_message(reader, has_body=False)
    if message is None:
        return True
    # It reads on once it has answered.
    writer.transport.pause_reading()
    first, headers, _ = message
    replica.note_run(headers, first)
    lines = ["HTTP/1.1 200 OK", "Connection: close"]
    lines += [f"{name}: {value}" for name, value in replica.head(headers)]
    await asyncio.sleep(WORK_S)
    writer.write(("\r\n".join(lines) + "\r\n\r\n").encode())
    remaining = int(headers["content-length"])
    if not IS_CRASH and not TROUBLE:
        await read_rest(remaining, reader, writer)
        remaining = 0
    for start in range(0, len(ANSWER), PART_BYTES):
        writer.write(ANSWER[start:start + PART_BYTES])
        try:
            await writer.drain()
        except ConnectionError as error:
            replica.record("could not answer", headers["attempt-id"], error)
            return True
        await asyncio.sleep(PART_S)
        if writer.transport.is_closing():
            replica.record("channel ended at", replica.name,
                           headers["attempt-id"], "after", start + PART_BYTES,
                           "of", len(ANSWER), "bytes of the answer")
            return True
    await read_rest(remaining, reader, writer)
    replica.record("answered whole by", replica.name, headers["attempt-id"])
    return True


async def request(daemon, name, record):
    """Send a request on a new channel; return whether a part came as whole."""
    client = await Client(daemon.frontend).connect()
    record("sent", name, "to", daemon.name)
    client.send("POST", PATH, HOST, name, TIMEOUT_MS, b"b" * BODY_BYTES)
    answer = await client.receive()
    is_wrong = (
        answer.is_complete
        and 200 <= answer.status < 300
        and "response-seal" in answer.headers
        and answer.body != ANSWER
    )
    record("answered", name, answer, f"(whole are {len(ANSWER)})",
           "WRONG" if is_wrong else "")
    client.close()
    return is_wrong


async def crash(replica, record):
    """End a replica as a kill does: bytes that it has not read reset."""
    record("crash of", replica.name)
    replica.is_removed = True
    await replica.stop()


async def case():
    world = World(FOLDER)
    try:
        return await play(world, world.record)
    finally:
        await world.stop()


async def play(world, record):
    replicas = [
        Replica(f"i-booking-{number}", "booking", zone, record, None)
        for number, zone in enumerate(("hall-a", "hall-b", "hall-c"))
    ]
    for replica in replicas:
        replica.early = answer_early
        replica.receive_buffer = 65_536
    await world.start(manifest([ROUTE], [SERVICE]), replicas)
    tasks = [
        asyncio.create_task(request(
            world.daemons[number % len(world.daemons)], f"{number:016x}", record))
        for number in range(REQUESTS)
    ]
    await asyncio.sleep(CRASH_S)
    if TROUBLE and IS_CRASH:
        await crash(replicas[0], record)
    mixed = sum(await asyncio.gather(*tasks))
    print(f"{mixed} of {REQUESTS} clients got a part of an answer as the whole; "
          f"{len(replicas[0].ran)} requests ran at {replicas[0].name}")
    return 1 if mixed else 0


if __name__ == "__main__":
    run_case(case, FOLDER)
