"""Fake replicas and clients of a gateway."""

import random
from contextlib import asynccontextmanager
from math import inf

import anyio
from berylcart.coordination.gateway.forward_run import (
    ForwardRun,
    RoutedRequest,
)
from berylcart.coordination.gateway.forwarder import (
    Forwarder,
)
from berylcart.coordination.gateway.gateway_policy import GatewayPolicy
from berylcart.coordination.gateway.request_limits import RequestLimits
from berylcart.coordination.gateway.retry_window import RetryWindow
from berylcart.coordination.gateway.route_table_holder import RouteTableHolder
from berylcart.coordination.gateway.second_attempts import HedgingPolicy
from berylcart.state.errors import Code, Ran, UnreachableError, UpstreamError
from berylcart.state.relay_messages import (
    BufferedResponse,
    CallerHead,
    Prompt,
    RelayRequest,
    ResponseHead,
    UpstreamRequest,
)
from berylcart.state.request import Progress
from berylcart.state.routes import (
    Backend,
    EngineLimits,
    GatewayService,
    KeyOwner,
    Route,
    RouteKind,
    RouteStage,
    RouteTable,
)
from berylcart.state.vm import Vm, VmRole, VmState

SERVICE = "model"
# Latency samples with a 0.95 quantile of 100 ms and a median of 10 ms.
TIMES_MS = (10.0,) * 18 + (100.0,) * 2
OK = ResponseHead(200, ((b"x", b"1"),), "r1", True, False, False)
REFUSED = ResponseHead(503, (), "r1", False, True, False)
GONE = ResponseHead(409, (), "r1", False, True, False)
FAILED = ResponseHead(500, ((b"x", b"failed"),), "r1", True, False, False)


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


class ScriptedResponse:
    """A scripted response: its head, its chunks and how it ends.

    A number among the chunks is a pause in seconds.
    """

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
        self.is_abandoned = False
        self.resumes_at_s = 0.0

    def abandon(self):
        """Record that the connection was closed."""
        self.is_abandoned = True

    async def read(self):
        """Return the next chunk; then end, hang or reset the connection."""
        assert not self.is_abandoned
        if self.chunks and isinstance(self.chunks[0], float):
            self.resumes_at_s = anyio.current_time() + self.chunks.pop(0)
        await anyio.sleep_until(self.resumes_at_s)
        if self.chunks:
            return self.chunks.pop(0)
        if self.hangs:
            await anyio.sleep_forever()
        if self.ends:
            return None
        raise UpstreamError(Code.UPSTREAM_FAILED, "reset", ran=Ran.UNKNOWN)


class FakeRelay:
    """Answer requests from scripts in order; None means unreachable."""

    def __init__(self, *scripts):
        self.scripts = list(scripts)
        self.sent = []
        # Addresses of exchanges that ended before the end of the response.
        self.closed = []

    @asynccontextmanager
    async def exchange(self, request, on_sent=lambda: None):
        """Answer one request from the next script."""
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
    """Encode the upstream data as headers."""

    def parse_request(self, head, body):
        """Return a request with the given body and target."""
        return make_request(body=body, target=head.target)

    def build_upstream_request(self, request, facts):
        """Build an upstream request with the data as headers."""
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
        """Return an error response with the error code as its status."""
        return BufferedResponse(int(error.code), (), error.ran.value.encode())


class FakeExchange:
    """Record the response that a client receives."""

    def __init__(self, target="/a/b"):
        self.head = CallerHead("POST", target, ())
        self.body = b"body"
        self.received_at_s = anyio.current_time()
        self.is_started = False
        self.is_finished = False
        self.held_bytes = 0
        self.max_held_bytes = inf
        self.status = 0
        self.headers = ()
        self.data = b""

    async def start(self, status, headers):
        """Record the head."""
        assert not self.is_started
        self.is_started = True
        self.status, self.headers = status, headers

    async def send(self, data):
        """Record bytes of the body."""
        self.data += data

    def may_buffer(self, count_bytes):
        """Return whether the bytes fit under the limit."""
        return self.held_bytes + count_bytes <= self.max_held_bytes

    def add_buffered(self, count_bytes):
        """Sum the accounted bytes."""
        self.held_bytes += count_bytes

    async def finish(self):
        """Record the end of the response."""
        self.is_finished = True

    async def answer(self, refusal):
        """Record a complete response."""
        await self.start(refusal.status, refusal.headers)
        await self.send(refusal.body)
        await self.finish()


def make_keeper(*routes):
    """Build a holder of one route table whose only API key is k1."""
    table = RouteTable(
        7,
        routes,
        {SERVICE: GatewayService(SERVICE, 0, None, EngineLimits(8, 1000))},
        {"k1": KeyOwner("counter", 0)},
        has_workspaces=True,
    )
    keeper = RouteTableHolder(lambda text: table)
    keeper.offer("text", 1, "test")
    return keeper


def make_request_limits(daemon_id="d1", names=("d1",)):
    """Build the rate limits of one daemon."""
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
    """Forward one request on a route to scripted replicas.

    share is the share of second attempts; if set, the latencies TIMES_MS have
    been recorded.
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
        self.hedger = None
        self.outcomes = []
        self.skips = []
        self.exchange = FakeExchange()
        self.progress = Progress()
        deadline_s = anyio.current_time() + 5
        work = RoutedRequest(
            make_request(), route, SERVICE, "counter", deadline_s
        )
        self.run = ForwardRun(work, self.exchange, self.progress)
        if share:
            self.allow_hedging(share)
        self.forwarder = Forwarder(
            self.relay, self.policy, FakeWire(), engines, self.hedger
        )

    def allow_hedging(self, share):
        """Allow second attempts after the high quantile of TIMES_MS."""
        self.hedger = HedgingPolicy(share, self.policy.budget)
        self.policy.budget.record_request(SERVICE, 100)
        for time_ms in TIMES_MS:
            self.hedger.add_latency(self.run.time_key, time_ms)
        self.hedger.on_outcome = lambda _, each: self.outcomes.append(each)
        self.hedger.on_hedge_skipped = lambda _, each: self.skips.append(each)

    async def forward(self):
        """Forward the request; raises UpstreamError."""
        return await self.forwarder.forward(self.run)

    async def fail(self):
        """Forward the request and return the error that it fails with."""
        try:
            await self.forward()
        except UpstreamError as error:
            return error
        raise AssertionError

    def header(self, number, name):
        """Return a header of one of the requests sent."""
        return dict(self.relay.sent[number].headers)[name]
