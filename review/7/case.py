"""A replica that has left gets requests after a short silence of the store."""

import asyncio
import sys
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "standins-2"))
from world import (  # noqa: E402
    BOUNDS,
    TROUBLE,
    CannotRun,
    Client,
    Replica,
    World,
    http_message,
    manifest,
    run_case,
)

HOST = "slot.example"
PATH = "/slot/hold"
TIMEOUT_MS = 1500
CALM_S = 4.0
# The store falls silent this long after it has acknowledged the removal.
SILENT_AFTER_S, SILENT_S = 0.01, 1.0
WATCH_S = 9.0
CLIENTS_PER_DAEMON = 4
PAUSE_S = 0.1

ROUTE = {
    "name": "r-slot", "host": HOST, "path_prefix": "/slot/",
    "route_type": "non_idempotent", "timeout_ms": TIMEOUT_MS,
    "target_latency_ms": 125, "priority": 0, "service": "booking",
    "max_attempts": 1, "public": False, "sticky": False, "resumable": False,
}
SERVICE = {"name": "booking", "max_connections": 100}

arrivals = []


async def book(replica, first, headers, body, reader, writer):
    arrivals.append((time.monotonic(), replica, headers["attempt-id"]))
    replica.note_run(headers, first)
    await asyncio.sleep(0.02)
    writer.write(http_message(200, replica.head(headers), b"b" * 800))


async def use(daemon, number, end, record, sent):
    """Send requests on a kept channel, one after another."""
    client = None
    count = 0
    while time.monotonic() < end:
        if client is None:
            client = await Client(daemon.frontend).connect()
        count += 1
        name = f"{number:04x}{count:012x}"
        sent[name] = (time.monotonic(), daemon.name)
        record("sent", name, "to", daemon.name)
        client.send("POST", PATH, HOST, name, TIMEOUT_MS, b"{}")
        answer = await client.receive()
        record("answered", name, answer)
        if not answer.is_complete:
            client.close()
            client = None
        await asyncio.sleep(PAUSE_S)


async def case():
    world = World(FOLDER)
    try:
        return await play(world, world.record)
    finally:
        await world.stop()


async def play(world, record):
    replicas = [
        Replica(f"i-booking-{number}", "booking", zone, record, book)
        for number, zone in enumerate(("hall-a", "hall-b", "hall-c"))
    ]
    await world.start(manifest([ROUTE], [SERVICE]), replicas)
    store, leaving = world.store, replicas[0]
    sent = {}
    end = time.monotonic() + CALM_S + SILENT_AFTER_S + SILENT_S + WATCH_S
    users = [
        asyncio.create_task(use(daemon, 16 * number + index, end, record, sent))
        for number, daemon in enumerate(world.daemons)
        for index in range(CLIENTS_PER_DAEMON)
    ]
    await asyncio.sleep(CALM_S)
    leaving.is_removed = True
    store.put("keyed.servers", leaving.name, b"")
    removed = time.monotonic()
    record("the store has removed the entry of", leaving.name)
    back = removed
    if TROUBLE:
        await asyncio.sleep(SILENT_AFTER_S)
        store.is_silent = True
        record("the store is silent")
        await asyncio.sleep(SILENT_S)
        store.is_silent = False
        back = time.monotonic()
        record("the store answers again")
    await asyncio.gather(*users)
    # Machines are in touch contact_ms after the end of the disturbance.
    in_touch = back + (BOUNDS["contact_ms"] / 1000 if TROUBLE else 0)
    allowed = removed + BOUNDS["drain_ms"] / 1000
    before = [a for a in arrivals if a[1] is leaving and a[0] <= removed]
    if not before:
        raise CannotRun("the replica got no request before it left")
    late = [
        (at, name) for at, replica, name in arrivals
        if replica is leaving and at > allowed and sent[name][0] > in_touch
    ]
    for at, name in late:
        record("late", name, f"sent {sent[name][0] - back:.3f} s after the store's "
               f"return, reached {leaving.name} {at - removed:.3f} s after its "
               f"removal, by {sent[name][1]}")
    print(f"{len(late)} requests reached a replica later than drain_ms after its "
          "removal, sent by machines in touch"
          + (f"; the last {max(late)[0] - removed:.1f} s after it" if late else ""))
    return 1 if late else 0


if __name__ == "__main__":
    run_case(case, FOLDER)
