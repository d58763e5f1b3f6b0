"""A planned stop cuts answers of requests that the daemon still took."""

import asyncio
import json
import signal
import socket
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
    chunk,
    manifest,
    read_message,
    run_case,
)

HOST = "draft.example"
PATH = "/draft/summary"
TIMEOUT_MS = 15_000
# At most 400 tokens; an event holds 8 of them.
TOKENS = "200,400"
EVENT_S = 0.1
SHORT_EVENTS, LONG_EVENTS = 4, 50
CLIENTS = 6
WARM_UP_S = 4.0
# The rules excuse requests that are sent no later than 3 s after the signal.
EXCUSED_S = 3.0
MARGIN_S = 0.1
ENTRY_LIST_LIFETIMES = 3
# How old the clients' list is when the signal comes.
LIST_AGE_S = 0.5

ROUTE = {
    "name": "r-draft", "host": HOST, "path_prefix": "/draft/",
    "route_type": "streaming", "timeout_ms": TIMEOUT_MS,
    "target_latency_ms": 1500, "priority": 0, "service": "pool",
    "max_attempts": 1, "public": False, "sticky": True,
    "resumable": False, "target_gap_ms": 200,
}
SERVICE = {"name": "pool", "engine": {"slots": 64, "kv_capacity": 613660}}


async def stream(replica, first, headers, body, reader, writer):
    """Run a request: as many events as its body asks for."""
    replica.note_run(headers, first)
    head = [
        *replica.head(headers),
        ("Content-Type", "text/event-stream"),
        ("Transfer-Encoding", "chunked"),
    ]
    lines = ["HTTP/1.1 200 OK", *(f"{name}: {value}" for name, value in head)]
    writer.write(("\r\n".join(lines) + "\r\n\r\n").encode())
    for number in range(1, int(body) + 1):
        await asyncio.sleep(EVENT_S)
        if writer.transport.is_closing():
            replica.record("the channel of", headers["attempt-id"], "closed at",
                           f"event {number}")
            return
        writer.write(chunk(b"id: %d\ndata: x\n\n" % number))
    writer.write(b"0\r\n\r\n")
    replica.record("end of run", headers["attempt-id"])


async def request(client, name, events, record):
    """Send a request and return its answer."""
    record("sent", name, f"({events} events)")
    client.send(
        "POST", PATH, HOST, name, TIMEOUT_MS, b"%d" % events,
        [("Model", "m"), ("Token-Count", TOKENS),
         ("Prefix-Hash", f"5c1e07a2:150,{name[-8:]}:50")],
    )
    answer = await client.receive()
    record("answered", name, answer)
    return answer


async def short_requests(client, number, end, record):
    """Send short requests one after another on a kept channel."""
    count = 0
    while time.monotonic() < end:
        count += 1
        answer = await request(
            client, f"{number:04x}{count:012x}", SHORT_EVENTS, record)
        if answer.status != 200 or not answer.is_complete:
            raise CannotRun(f"a short request got {answer}")


class GoneMachine:
    """The directory of a machine that has left: it does not answer."""

    def __init__(self, address):
        host, _, port = address.rpartition(":")
        self.sock = socket.socket()
        self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self.sock.bind((host, int(port)))
        self.sock.listen(0)
        # The queue of new channels is full, so that packets are dropped.
        self.others = []
        for _ in range(8):
            other = socket.socket()
            other.setblocking(False)
            other.connect_ex((host, int(port)))
            self.others.append(other)

    def close(self):
        for sock in (self.sock, *self.others):
            sock.close()


class AddressList:
    """A client's list of addresses, asked for as PROTOCOL.md says.

    It is kept for three times its lifetime, and longer while none is given.
    """

    def __init__(self, directories, record):
        self.directories, self.record = directories, record
        self.addresses, self.expires, self.asking = [], 0.0, None

    async def ask(self):
        for address in self.directories:
            try:
                page = await asyncio.wait_for(self.ask_one(address), 1)
            except (OSError, asyncio.TimeoutError, TypeError, KeyError):
                self.record("no list from", address)
                continue
            self.addresses = page["addresses"]
            ttl_s = min(BOUNDS["ttl_max_s"], page["ttl_s"])
            self.expires = time.monotonic() + ENTRY_LIST_LIFETIMES * ttl_s
            self.record("list from", address, *self.addresses)
            return

    async def ask_one(self, address):
        host, _, port = address.rpartition(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        try:
            writer.write(f"GET /resolve?name={HOST}&region=region-1&zone=hall-b "
                         "HTTP/1.1\r\nHost: d\r\nConnection: close\r\n\r\n".encode())
            _, _, body = await read_message(reader)
        finally:
            writer.close()
        return json.loads(body)

    def names(self, address):
        """Tell whether the client may use an address; ask anew if expired."""
        is_idle = self.asking is None or self.asking.done()
        if time.monotonic() > self.expires and is_idle:
            self.asking = asyncio.create_task(self.ask())
        return address in self.addresses


async def case():
    """Run the case; return the exit code."""
    world = World(FOLDER)
    try:
        return await play(world, world.record)
    finally:
        await world.stop()


async def play(world, record):
    replicas = [
        Replica(f"i-pool-{number}", "pool", zone, record, stream)
        for number, zone in enumerate(("hall-a", "hall-b", "hall-c"))
    ]
    await world.start(manifest([ROUTE], [SERVICE]), replicas)
    daemon, nearest, other = world.daemons
    gone = None
    if TROUBLE:
        # The first machine of the rolling removal.
        nearest.signal(signal.SIGTERM)
        record("SIGTERM to", nearest.name)
    clients = [await Client(daemon.frontend).connect() for _ in range(CLIENTS)]
    end = time.monotonic() + WARM_UP_S
    await asyncio.gather(*(
        short_requests(client, number, end, record)
        for number, client in enumerate(clients)
    ))
    if TROUBLE:
        await asyncio.wait_for(nearest.process.wait(), 5)
        record(nearest.name, "has ended and its machine has left")
        gone = GoneMachine(nearest.directory)
    directories = [nearest.directory, other.directory, daemon.directory]
    addresses = AddressList(directories, record)
    await addresses.ask()
    if daemon.frontend not in addresses.addresses:
        raise CannotRun("the list does not name the daemon")
    await asyncio.sleep(LIST_AGE_S)
    stopped = time.monotonic()
    if TROUBLE:
        # The second one.
        daemon.signal(signal.SIGTERM)
        record("SIGTERM to", daemon.name)
    while time.monotonic() < stopped + EXCUSED_S + MARGIN_S:
        if not addresses.names(daemon.frontend):
            raise CannotRun("the clients have a list without the daemon")
        await asyncio.sleep(0.01)
    record(f"the long requests, {time.monotonic() - stopped:.3f} s after the signal")
    answers = await asyncio.gather(*(
        request(client, f"{number:04x}ffffffffffff", LONG_EVENTS, record)
        for number, client in enumerate(clients)
    ))
    if TROUBLE:
        await asyncio.wait_for(daemon.process.wait(), 10)
        record(f"{daemon.name} ended {time.monotonic() - stopped:.3f} s after the "
               f"signal with {daemon.process.returncode}")
        gone.close()
    ran = {name for replica in replicas for name in replica.ran}
    cut = [
        name for number, answer in enumerate(answers)
        if not answer.is_complete
        and (name := f"{number:04x}ffffffffffff") in ran
    ]
    record(f"{len(cut)} of {len(answers)} requests that were passed on were cut off")
    whole = sorted(answer.status for answer in answers if answer.is_complete)
    print(f"{len(cut)} of {len(answers)} requests cut off; others: {whole}")
    if addresses.asking is not None:
        addresses.asking.cancel()
    for client in clients:
        client.close()
    return 1 if cut else 0


if __name__ == "__main__":
    run_case(case, FOLDER)
