"""Fake replicas and callers of a gateway."""

import random
from contextlib import asynccontextmanager

import anyio
from berylcart.coordination.gateway.forward_run import (
    ForwardRun,
    Work,
)
from berylcart.coordination.gateway.forwarder import (
    Forwarder,
)
from berylcart.coordination.gateway.gateway_policy import GatewayPolicy
from berylcart.coordination.gateway.request_limits import RequestLimits
from berylcart.coordination.gateway.retry_window import RetryWindow
from berylcart.coordination.gateway.route_keeper import RouteKeeper
from berylcart.coordination.gateway.second_attempts import SecondAttempts
from berylcart.state.errors import Code, Ran, UnreachableError, UpstreamError
from berylcart.state.relayed import (
    AnswerHead,
    CallerHead,
    Prompt,
    Refusal,
    RelayRequest,
    UpstreamRequest,
)
from berylcart.state.request import Progress
from berylcart.state.routes import (
    Backend,
    EngineLimits,
    GatewayService,
    Owner,
    Route,
    RouteKind,
    RouteStage,
    RouteTable,
)
from berylcart.state.vm import Vm, VmRole, VmState

SERVICE = "model"
# Their 0.95 quantile is 100 ms, their median 10 ms.
TIMES_MS = (10.0,) * 18 + (100.0,) * 2
OK = AnswerHead(200, ((b"x", b"1"),), "r1", True, False, False)
REFUSED = AnswerHead(503, (), "r1", False, True, False)
GONE = AnswerHead(409, (), "r1", False, True, False)
FAILED = AnswerHead(500, ((b"x", b"failed"),), "r1", True, False, False)


def make_vm(name, service=SERVICE, place="lahore-1"):
    return Vm(
        name,
        1,
        f"{name}:80",
        place,
        VmRole.UPSTREAM,
        service,
        VmState.LIVE,
        name,
    )


def make_route(kind, **fields):
    return Route(
        "route",
        "host",
        "/a/",
        kind,
        (Backend(SERVICE, 1.0),),
        timeout_ms=10_000,
        target_ms=500,
        **fields,
    )


STREAM = make_route(RouteKind.STREAM, gap_ms=200)
RESUMABLE = make_route(
    RouteKind.STREAM, gap_ms=200, is_resumable=True, max_attempts=2
)
IDEMPOTENT = make_route(RouteKind.IDEMPOTENT, max_attempts=2)
BOOKING = make_route(RouteKind.NON_IDEMPOTENT)
STAGED = make_route(RouteKind.STREAM, stages=(RouteStage("sms", (), 10),))


def make_request(**fields):
    known = {
        "request_id": "r1",
        "method": "POST",
        "target": "/a/b",
        "host": "host",
        "headers": (),
        "body": b"body",
        "deadline_ms": 5000,
        "prompt": Prompt(),
    }
    return RelayRequest(**{**known, **fields})


class Script:
    """Say how a replica answers: its head, its chunks and how it ends."""

    def __init__(
        self,
        head=OK,
        chunks=(b"whole",),
        *,
        ends=True,
        hangs=False,
        starts_after_s=0.0,
    ):
        self.head = head
        self.starts_after_s = starts_after_s
        self.chunks = list(chunks)
        self.ends = ends
        self.hangs = hangs

    async def read(self):
        """Give the next chunk, then the end or a reset."""
        if self.chunks:
            return self.chunks.pop(0)
        if self.hangs:
            await anyio.sleep_forever()
        if self.ends:
            return None
        raise UpstreamError(Code.UPSTREAM_FAILED, "reset", ran=Ran.UNKNOWN)


class FakeRelay:
    """Answer requests from scripts in turn; None is unreachable."""

    def __init__(self, *scripts):
        self.scripts = list(scripts)
        self.sent = []
        # The addresses whose exchange was left before its answer's end.
        self.closed = []

    @asynccontextmanager
    async def exchange(self, request, on_sent=lambda: None):
        """Answer one request."""
        script = self.scripts.pop(0)
        if script is None:
            raise UnreachableError("no connection")
        self.sent.append(request)
        on_sent()
        try:
            if isinstance(script, Exception):
                raise script
            await anyio.sleep(script.starts_after_s)
            yield script
        except BaseException:
            self.closed.append(request.address)
            raise


class FakeWire:
    """Write what is told as headers."""

    def read_request(self, head, body):
        """Read any request."""
        return make_request(body=body, target=head.target)

    def upstream_request(self, request, facts):
        """Write the facts as headers."""
        headers = (
            (b"event", facts.last_event_id.encode()),
            (b"left", str(facts.left_ms).encode()),
            (b"inputs", ",".join(facts.inputs).encode()),
            (b"instance", facts.vm.instance.encode()),
        )
        return UpstreamRequest(
            facts.vm.address,
            request.method,
            request.target,
            headers,
            request.body,
            request.request_id,
        )

    def refuse(self, error):
        """Write the code as the status."""
        return Refusal(int(error.code), (), error.ran.value.encode())


class FakeExchange:
    """Collect what a caller gets."""

    def __init__(self, target="/a/b"):
        self.head = CallerHead("POST", target, ())
        self.body = b"body"
        self.received_at_s = anyio.current_time()
        self.is_started = False
        self.is_finished = False
        self.held_bytes = 0
        self.status = 0
        self.headers = ()
        self.data = b""

    async def start(self, status, headers):
        """Take the head."""
        assert not self.is_started
        self.is_started = True
        self.status, self.headers = status, headers

    async def send(self, data):
        """Take bytes."""
        self.data += data

    def hold(self, count_bytes):
        """Sum what is buffered."""
        self.held_bytes += count_bytes

    async def finish(self):
        """Take the end."""
        self.is_finished = True

    async def answer(self, refusal):
        """Take a whole answer."""
        await self.start(refusal.status, refusal.headers)
        await self.send(refusal.body)
        await self.finish()


def make_keeper(*routes):
    """Keep one table of routes whose only key is k1."""
    table = RouteTable(
        7,
        routes,
        {SERVICE: GatewayService(SERVICE, 0, None, EngineLimits(8, 1000))},
        {"k1": Owner("counter", 0)},
        has_workspaces=True,
    )
    keeper = RouteKeeper(lambda text: table)
    keeper.offer("text", 1, "test")
    return keeper


def make_request_limits(daemon_id="d1", names=("d1",)):
    """Build what holds the limits that replicas name."""
    return RequestLimits(daemon_id, lambda: names, random.Random(1))


def make_policy(keeper, vms=("v1", "v2", "v3")):
    pool = tuple(make_vm(name) for name in vms)
    budget = RetryWindow(0.2, 10.0, 54, lambda: 1)
    return GatewayPolicy(
        keeper,
        lambda service: pool,
        budget,
        random.Random(1),
        make_request_limits(),
    )


class Forwarding:
    """Forward one request of a route to scripted replicas.

    share is that of second attempts, for which TIMES_MS are known.
    """

    def __init__(
        self,
        route,
        *scripts,
        vms=("v1", "v2", "v3"),
        engines=None,
        share=0.0,
    ):
        self.relay = FakeRelay(*scripts)
        self.policy = make_policy(make_keeper(route), vms)
        self.seconds = None
        self.outcomes = []
        self.held = []
        self.exchange = FakeExchange()
        self.progress = Progress()
        deadline_s = anyio.current_time() + 5
        work = Work(make_request(), route, SERVICE, "counter", deadline_s)
        self.run = ForwardRun(work, self.exchange, self.progress)
        if share:
            self.allow_seconds(share)
        self.forwarder = Forwarder(
            self.relay, self.policy, FakeWire(), engines, self.seconds
        )

    def allow_seconds(self, share):
        """Allow second attempts after the known times' high quantile."""
        self.seconds = SecondAttempts(share, self.policy.budget)
        self.policy.budget.note_request(SERVICE, 100)
        for time_ms in TIMES_MS:
            self.seconds.learn(self.run.time_key, time_ms)
        self.seconds.on_outcome = lambda _, each: self.outcomes.append(each)
        self.seconds.on_held = lambda _, each: self.held.append(each)

    async def forward(self):
        """Forward it; raises UpstreamError."""
        return await self.forwarder.forward(self.run)

    async def fail(self):
        """Forward it and give the error that it ends with."""
        try:
            await self.forward()
        except UpstreamError as error:
            return error
        raise AssertionError

    def header(self, number, name):
        """Give a header of one of the sends."""
        return dict(self.relay.sent[number].headers)[name]
