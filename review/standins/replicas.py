"""Stand in for replicas: plain services, model replicas and stages."""

import asyncio
import json

from web import Server, response

HEARTBEAT_S = 1.2
STREAM_HEAD = (
    "HTTP/1.1 200 OK\r\nAttempt-Id: {id}\r\nResponse-Seal: {seal}\r\n"
    "Content-Type: text/event-stream\r\n"
    "Transfer-Encoding: chunked\r\n\r\n"
)


class Replica(Server):
    """Register in the store, check ids and run requests in its slots."""

    def __init__(self, deployment, name, service, zone, ip, slots, queue=4):
        super().__init__(ip)
        self.deployment = deployment
        self.name = name
        self.service = service
        self.zone = zone
        self.slots = slots
        self.queue = queue
        self.running = 0
        self.waiting = []
        self.arrivals = []
        self.runs = []
        self.state = "ready"
        self.seq = 0

    async def register(self):
        """Write the entry to the store, again at each heartbeat."""
        while True:
            await self.write_entry()
            await asyncio.sleep(HEARTBEAT_S)

    async def write_entry(self):
        """Write the entry once."""
        self.seq += 1
        entry = {
            "service": self.service,
            "address": self.address,
            "zone": self.zone,
            "version": "v1",
            "slots": self.slots,
            "state": self.state,
            "cold_remaining_ms": 0,
            "seq": self.seq,
        }
        await self.deployment.store.put(
            "keyed.servers", self.name, json.dumps(entry).encode()
        )

    def note(self, text):
        """Write a line of the record."""
        self.deployment.note(f"{self.name}: {text}")

    async def take_slot(self):
        """Wait for a slot; return False if the queue is full."""
        if self.running >= self.slots:
            if len(self.waiting) >= self.queue:
                return False
            turn = asyncio.Event()
            self.waiting.append(turn)
            try:
                await turn.wait()
            except asyncio.CancelledError:
                if turn in self.waiting:
                    self.waiting.remove(turn)
                else:
                    self.free_slot()
                raise
            return True
        self.running += 1
        return True

    def free_slot(self):
        """Give the slot to the next request that waits."""
        if self.waiting:
            self.waiting.pop(0).set()
        else:
            self.running -= 1

    async def handle(self, request, connection):
        """Check the instance, then run the request in a slot.

        A request whose channel closes is dropped.
        """
        expected = request.header("expect-instance")
        if expected and expected != self.name:
            return response(421, b"", (("Not-Executed", "1"),))
        work = asyncio.ensure_future(self.take_and_run(request, connection))
        watch = asyncio.ensure_future(self.wait_for_close(connection))
        try:
            await asyncio.wait(
                (work, watch), return_when=asyncio.FIRST_COMPLETED
            )
            if not work.done():
                attempt = request.header("attempt-id")
                self.note(f"drops {attempt}: its channel closed")
                raise ConnectionError("the caller left")
            return work.result()
        finally:
            work.cancel()
            watch.cancel()

    async def wait_for_close(self, connection):
        """Wait until the channel's other end closes it."""
        reader = connection.reader
        while not reader.at_eof() and reader.exception() is None:
            await asyncio.sleep(0.02)

    async def take_and_run(self, request, connection):
        """Run a request once a slot is free."""
        attempt = request.header("attempt-id")
        self.arrivals.append(request)
        self.note(
            f"{attempt} arrives ({self.running} of {self.slots} run, "
            f"{len(self.waiting)} wait)"
        )
        if not await self.take_slot():
            headers = (("Attempt-Id", attempt), ("Not-Executed", "1"))
            self.note(f"{attempt} is rejected: full")
            return response(503, b"", headers)
        try:
            self.note(f"{attempt} runs")
            self.runs.append((asyncio.get_running_loop().time(), request))
            return await self.run(request, connection)
        finally:
            self.free_slot()

    async def run(self, request, connection):
        """Run a request; the body is its work in ms."""
        await asyncio.sleep(float(request.body or b"5") / 1000)
        attempt = request.header("attempt-id")
        self.note(f"{attempt} ends")
        return response(200, b"done " + attempt.encode(), self.proof(request))

    def proof(self, request):
        """Return the headers that prove an answer."""
        attempt = request.header("attempt-id")
        return (
            ("Attempt-Id", attempt),
            ("Response-Seal", f"seal.{self.name}.{attempt}"),
        )

    async def start_stream(self, request, connection):
        """Send the head of a stream."""
        attempt = request.header("attempt-id")
        seal = f"seal.{self.name}.{attempt}"
        head = STREAM_HEAD.format(id=attempt, seal=seal)
        await connection.send(head.encode())

    async def send_event(self, connection, number):
        """Send one event of a stream."""
        event = f"id: {number}\ndata: piece {number}\n\n".encode()
        await connection.send(b"%x\r\n%s\r\n" % (len(event), event))


class StageReplica(Replica):
    """Make pieces; each result is kept until it is freed or expires."""

    def __init__(self, *args, call_s, item_s, keep_s, every=0, **options):
        super().__init__(*args, **options)
        self.call_s = call_s
        self.item_s = item_s
        self.keep_s = keep_s
        # Of so many answers, one is sent a second time, late: at the point
        # where the next answer on its channel is due.
        self.every = every
        self.answers = 0
        self.repeated = 0
        self.results = {}

    async def handle(self, request, connection):
        """Answer calls for pieces and to free results."""
        if request.target == "/stage-free":
            for handle in json.loads(request.body)["handles"]:
                self.deployment.results.pop(handle, None)
            return response(200, {})
        if getattr(connection, "extra", b""):
            extra, connection.extra = connection.extra, b""
            self.repeated += 1
            self.note("sends its earlier answer on this channel once more")
            await connection.send(extra)
        data = await super().handle(request, connection)
        self.answers += 1
        if self.every and self.answers % self.every == 0:
            connection.extra = data
        return data

    async def run(self, request, connection):
        """Make the pieces of a call."""
        items = json.loads(request.body)["items"]
        await asyncio.sleep(self.call_s + self.item_s * len(items))
        answer = []
        for item in items:
            made = self.deployment.add_result(self, item)
            answer.append({"handle": made})
        self.note(
            "makes "
            + ", ".join(
                f"{made['handle']} for {item['id']} stage {item['stage']}"
                for item, made in zip(items, answer, strict=True)
            )
        )
        load = f"{self.running},{len(self.waiting)},{self.slots}"
        return response(200, {"items": answer}, (("Replica-Load", load),))
