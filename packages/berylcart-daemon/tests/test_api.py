"""Check the callers' interface with raw requests against a fake server."""

import json

import anyio
import pytest
from berylcart.protocol.problem import CONTENT_TYPE
from berylcart.state.errors import BerylcartError, Code, Ran
from berylcart.state.request import ServeReply
from berylcart.state.stage import StageChunk
from berylcart.transport.http_client import (
    HttpClient,
    HttpError,
    HttpRequest,
)
from berylcart.transport.http_server import make_server
from berylcart.transport.listening import address_of, bind
from berylcart_daemon.api import Parts, make_app
from berylcart_daemon.caller_request import BodyBudget
from berylcart_daemon.metrics import Metrics
from berylcart_daemon.settings import LimitSettings

LIMITS = LimitSettings(
    body_bytes=1000,
    total_body_bytes=1500,
    request_timeout_ms=200,
    max_deadline_ms=10_000,
)
PATIENCE_S = 10
WORKSPACE = ("Workspace", "counters")


class FakeServer:
    """Answer requests as a test tells."""

    def __init__(self):
        self.requests = []
        self.asked = anyio.Event()
        self.cancelled = anyio.Event()
        self.released = anyio.Event()
        self.finished = anyio.Event()
        self.error = None
        self.chunks = 0
        self.is_stuck = False

    async def serve(self, request, sink=None):
        """Answer one request."""
        self.requests.append(request)
        self.asked.set()
        for offset in range(self.chunks if sink else 0):
            await sink(StageChunk(offset, f"t{offset}"))
        if self.error is not None:
            raise self.error
        if self.is_stuck:
            await self.wait_stuck()
        self.finished.set()
        return ServeReply(request.request_id, {"text": "whole"}, ())

    async def wait_stuck(self):
        """Wait until released or cancelled."""
        try:
            await self.released.wait()
        except anyio.get_cancelled_exc_class():
            self.cancelled.set()
            raise


class FakeDoor:
    """Take every request unless closed."""

    def __init__(self):
        self.refused = []
        self.is_closed = False

    def check_open(self):
        """Refuse when closed."""
        if self.is_closed:
            raise BerylcartError(
                Code.DRAINING, "stopping", retry_after_ms=1500
            )

    def check_ready(self):
        """Be ready."""

    def entries(self, workspace):
        """Know one workspace only."""
        if workspace not in ("", "counters"):
            raise BerylcartError(Code.UNKNOWN_WORKSPACE, "unknown")
        return {"entries": [], "keep_ms": 5000}

    async def issue_keys(self, count):
        """Issue numbered keys."""
        keys = [f"key-{number}" for number in range(count)]
        return {"keys": keys, "keep_ms": 1000}

    def status(self):
        """Describe nothing."""
        return {}

    def config_version(self):
        """Have version 3 in force."""
        return 3

    def labels(self, request):
        """Label everything alike."""
        return ("standard", "target")

    def note_refused(self, error):
        """Remember an error."""
        self.refused.append(error.code)


class Rig:
    """Hold a served application and a client for it."""

    def __init__(self, client, address, server, door, metrics):
        self.client = client
        self.address = address
        self.server = server
        self.door = door
        self.metrics = metrics

    async def post(self, body=b"{}", headers=(WORKSPACE,), path="services/x"):
        """Send one request."""
        return await self.client.request(
            HttpRequest("POST", self.address, f"/v1/{path}", body, headers)
        )

    async def connect(self):
        """Open a raw connection."""
        host, _, port = self.address.rpartition(":")
        return await anyio.connect_tcp(host, int(port))


def serving(scenario):
    """Run a scenario against the application on a free port."""

    async def main():
        server, door, metrics = FakeServer(), FakeDoor(), Metrics()
        sock = bind("127.0.0.1:0")
        bodies = BodyBudget(LIMITS.total_body_bytes)
        parts = Parts(server, door, metrics, LIMITS, bodies)
        http = make_server(
            make_app(parts),
            header_bytes=4096,
            head_timeout_s=0.2,
            max_connections=100,
        )
        async with HttpClient() as client, anyio.create_task_group() as tasks:
            sock.listen()
            tasks.start_soon(http.serve, [sock])
            rig = Rig(client, address_of(sock), server, door, metrics)
            with anyio.fail_after(PATIENCE_S):
                await scenario(rig)
            http.should_exit = True

    anyio.run(main)


def problem(answer, code):
    """Check a problem answer and return its content."""
    assert answer.headers["content-type"] == CONTENT_TYPE
    content = json.loads(answer.body)
    assert content["code"] == int(code)
    assert answer.headers["ran"] == content["ran"]
    assert answer.status == content["status"]
    return content


def test_whole_answer_is_json():
    async def scenario(rig):
        answer = await rig.post(b'{"text": "hem"}')
        assert answer.status == 200
        assert json.loads(answer.body)["output"] == {"text": "whole"}
        assert rig.server.requests[0].payload == {"text": "hem"}

    serving(scenario)


def test_headers_are_made_canonical():
    async def scenario(rig):
        headers = (
            WORKSPACE,
            ("Deadline-Ms", "1234"),
            ("Idempotency-Key", "k-1"),
            ("Ordering-Key", "o-1"),
            ("Request-Id", "visit-7"),
        )
        first = await rig.post(headers=headers, path="pipelines/ask")
        second = await rig.post(headers=headers, path="pipelines/ask")
        request = rig.server.requests[0]
        assert request.request_id.startswith("visit-7~")
        assert first.headers["request-id"] == request.request_id
        assert second.headers["request-id"] != request.request_id
        assert request.is_pipeline
        assert request.target == "ask"
        assert request.deadline_ms == 1234
        assert request.idempotency_key == "k-1"
        assert request.ordering_key == "o-1"

    serving(scenario)


@pytest.mark.parametrize(
    ("body", "headers", "code"),
    [
        (b"", (WORKSPACE,), Code.BAD_REQUEST),
        (b"[]", (WORKSPACE,), Code.BAD_REQUEST),
        (b'{"a": NaN}', (WORKSPACE,), Code.BAD_REQUEST),
        (b"\xff\xfe", (WORKSPACE,), Code.BAD_REQUEST),
        (b"[" * 900, (WORKSPACE,), Code.BAD_REQUEST),
        (b"{}", (), Code.BAD_REQUEST),
        (b"{}", (WORKSPACE, ("Deadline-Ms", "0")), Code.DEADLINE_INVALID),
        (b"{}", (WORKSPACE, ("Deadline-Ms", "1.5")), Code.DEADLINE_INVALID),
        (b"{}", (WORKSPACE, ("Deadline-Ms", "9" * 40)), Code.DEADLINE_INVALID),
        (b"{}", (WORKSPACE, ("Idempotency-Key", "a b")), Code.BAD_REQUEST),
        (b"{}", (WORKSPACE, ("Request-Id", "a/b")), Code.BAD_REQUEST),
        (b" " * 1001, (WORKSPACE,), Code.BODY_TOO_LARGE),
    ],
)
def test_malformed_request_did_not_run(body, headers, code):
    async def scenario(rig):
        content = problem(await rig.post(body, headers), code)
        assert content["ran"] == "no"
        assert rig.server.requests == []
        assert rig.door.refused == [code]

    serving(scenario)


def test_half_sent_body_gets_a_timeout_and_others_are_served():
    async def scenario(rig):
        async with await rig.connect() as stream:
            await stream.send(
                b"POST /v1/services/x HTTP/1.1\r\nHost: a\r\n"
                b"Workspace: counters\r\nContent-Length: 10\r\n\r\n{"
            )
            assert (await rig.post()).status == 200
            answer = await stream.receive()
            assert answer.startswith(b"HTTP/1.1 408")
        assert Code.REQUEST_TIMEOUT in rig.door.refused

    serving(scenario)


def test_bodies_in_flight_are_bounded_together():
    async def scenario(rig):
        rig.server.is_stuck = True
        body = b'{"a": "' + b"x" * 900 + b'"}'
        answers = []

        async def hold():
            answers.append(await rig.post(body))

        async with anyio.create_task_group() as tasks:
            tasks.start_soon(hold)
            await rig.server.asked.wait()
            content = problem(await rig.post(body), Code.OVERLOADED)
            assert content["ran"] == "no"
            rig.server.released.set()
        assert answers[0].status == 200
        assert (await rig.post(body)).status == 200

    serving(scenario)


def test_unknown_path_is_a_problem():
    async def scenario(rig):
        answer = await rig.post(path="nothing")
        problem(answer, Code.UNKNOWN_TARGET)
        request = HttpRequest("GET", rig.address, "/v1/services/x")
        problem(await rig.client.request(request), Code.UNKNOWN_TARGET)

    serving(scenario)


def test_refusal_says_when_to_come_back():
    async def scenario(rig):
        rig.door.is_closed = True
        answer = await rig.post()
        content = problem(answer, Code.DRAINING)
        assert content["ran"] == "no"
        assert content["retry_after_ms"] == 1500
        assert answer.headers["retry-after"] == "2"

    serving(scenario)


def test_error_after_admission_says_whether_it_ran():
    async def scenario(rig):
        rig.server.error = BerylcartError(
            Code.UPSTREAM_FAILED, "failed", ran=Ran.UNKNOWN
        )
        content = problem(await rig.post(), Code.UPSTREAM_FAILED)
        assert content["ran"] == "unknown"

    serving(scenario)


def test_fault_of_our_own_shows_no_insides():
    async def scenario(rig):
        rig.server.error = RuntimeError("secret body")
        answer = await rig.post()
        content = problem(answer, Code.INTERNAL)
        assert content["ran"] == "unknown"
        assert b"secret" not in answer.body

    serving(scenario)


def test_stream_carries_offsets_and_ends_with_done():
    async def scenario(rig):
        rig.server.chunks = 3
        headers = (WORKSPACE, ("Accept", "text/event-stream"))
        answer = await rig.post(headers=headers)
        assert answer.headers["content-type"] == "text/event-stream"
        events = answer.body.decode().split("\n\n")
        assert events[0] == 'event: token\nid: 0\ndata: {"text": "t0"}'
        assert events[2].startswith("event: token\nid: 2\n")
        assert events[3].startswith("event: done\n")

    serving(scenario)


def test_broken_stream_ends_with_an_error_event():
    async def scenario(rig):
        rig.server.chunks = 2
        rig.server.error = BerylcartError(
            Code.UPSTREAM_FAILED, "failed", ran=Ran.YES
        )
        headers = (WORKSPACE, ("Accept", "text/event-stream"))
        answer = await rig.post(headers=headers)
        last = answer.body.decode().split("\n\n")[2]
        assert last.startswith("event: error\n")
        assert '"code": 3001' in last
        assert "event: done" not in answer.body.decode()

    serving(scenario)


def test_stream_refused_before_its_first_token_is_a_problem():
    async def scenario(rig):
        rig.server.error = BerylcartError(Code.NO_UPSTREAM, "none")
        headers = (WORKSPACE, ("Accept", "text/event-stream"))
        problem(await rig.post(headers=headers), Code.NO_UPSTREAM)

    serving(scenario)


async def abandon(rig, key_line):
    """Send a request and close the connection before its answer."""
    async with await rig.connect() as stream:
        await stream.send(
            b"POST /v1/services/x HTTP/1.1\r\nHost: a\r\n"
            b"Workspace: counters\r\n" + key_line + b"Content-Length: 2\r\n"
            b"\r\n{}"
        )
        await rig.server.asked.wait()


def test_request_of_a_caller_that_left_is_cancelled():
    async def scenario(rig):
        rig.server.is_stuck = True
        await abandon(rig, b"")
        await rig.server.cancelled.wait()

    serving(scenario)


def test_keyed_request_of_a_caller_that_left_goes_on():
    async def scenario(rig):
        rig.server.is_stuck = True
        await abandon(rig, b"Idempotency-Key: k-1\r\n")
        assert (await rig.post(path="nothing")).status == 404
        rig.server.released.set()
        await rig.server.finished.wait()
        assert not rig.server.cancelled.is_set()

    serving(scenario)


def test_metrics_count_by_class_and_code():
    async def scenario(rig):
        await rig.post()
        await rig.post(b"[]")
        request = HttpRequest("GET", rig.address, "/metrics")
        text = (await rig.client.request(request)).body.decode()
        assert (
            'berylcart_requests_total{code="0",ran="yes",'
            'target="target",tier="standard"} 1.0' in text
        )
        assert 'code="1000"' in text
        assert "berylcart_config_version 3.0" in text
        assert "berylcart_request_seconds_bucket" in text

    serving(scenario)


def test_info_pages_answer():
    async def scenario(rig):
        for path in ("/healthz", "/readyz", "/v1/status", "/v1/entries"):
            request = HttpRequest("GET", rig.address, path)
            assert (await rig.client.request(request)).status == 200
        path = "/v1/entries?workspace=nobody"
        request = HttpRequest("GET", rig.address, path)
        problem(await rig.client.request(request), Code.UNKNOWN_WORKSPACE)
        rig.door.is_closed = True
        request = HttpRequest("GET", rig.address, "/readyz")
        assert (await rig.client.request(request)).status == 503

    serving(scenario)


def test_keys_are_issued_within_a_bound():
    async def scenario(rig):
        request = HttpRequest("GET", rig.address, "/v1/keys?count=2")
        answer = await rig.client.request(request)
        assert json.loads(answer.body)["keys"] == ["key-0", "key-1"]
        for count in ("0", "1001", "x", "9" * 30):
            path = f"/v1/keys?count={count}"
            request = HttpRequest("GET", rig.address, path)
            problem(await rig.client.request(request), Code.BAD_REQUEST)

    serving(scenario)


def test_answer_cut_short_is_seen_by_the_client():
    async def scenario(rig):
        rig.server.is_stuck = True
        request = HttpRequest(
            "POST",
            rig.address,
            "/v1/services/x",
            b"{}",
            (WORKSPACE,),
            timeout_ms=200,
        )
        with pytest.raises(HttpError) as caught:
            await rig.client.request(request)
        assert caught.value.is_sent

    serving(scenario)
