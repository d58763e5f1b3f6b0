"""Test the HTTP API with raw requests against a fake server."""

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
from berylcart.transport.http_server import make_asgi_server
from berylcart.transport.socket_addresses import bind, bound_address
from berylcart_daemon.api import ApiContext, make_app
from berylcart_daemon.caller_request import BodyBudget
from berylcart_daemon.metrics import Metrics
from berylcart_daemon.settings import LimitSettings

LIMITS = LimitSettings(
    body_bytes=1000,
    total_body_bytes=1500,
    request_timeout_ms=200,
    max_deadline_ms=10_000,
)
TEST_TIMEOUT_S = 10
WORKSPACE = ("Workspace", "counters")


class FakeServer:
    """Answer requests as configured by a test."""

    def __init__(self):
        self.requests = []
        self.received = anyio.Event()
        self.cancelled = anyio.Event()
        self.released = anyio.Event()
        self.finished = anyio.Event()
        self.error = None
        self.chunks = 0
        self.is_blocking = False

    async def serve(self, request, sink=None):
        """Stream the chunks, then fail, block or return a result."""
        self.requests.append(request)
        self.received.set()
        for offset in range(self.chunks if sink else 0):
            await sink(StageChunk(offset, f"t{offset}"))
        if self.error is not None:
            raise self.error
        if self.is_blocking:
            await self.block_until_released()
        self.finished.set()
        return ServeReply(request.request_id, {"text": "whole"}, ())

    async def block_until_released(self):
        """Wait until released or cancelled."""
        try:
            await self.released.wait()
        except anyio.get_cancelled_exc_class():
            self.cancelled.set()
            raise


class FakeFacade:
    """Accept every request unless is_refusing is set."""

    def __init__(self):
        self.refused = []
        self.is_refusing = False

    def check_open(self):
        """Raise DRAINING if is_refusing is set."""
        if self.is_refusing:
            raise BerylcartError(
                Code.DRAINING, "stopping", retry_after_ms=1500
            )

    def check_ready(self):
        """Report that the daemon is ready."""

    def entries(self, workspace):
        """Give an empty list; raise for workspaces other than counters."""
        if workspace not in ("", "counters"):
            raise BerylcartError(Code.UNKNOWN_WORKSPACE, "unknown")
        return {"entries": [], "keep_ms": 5000}

    async def issue_keys(self, count):
        """Issue numbered keys."""
        keys = [f"key-{number}" for number in range(count)]
        return {"keys": keys, "keep_ms": 1000}

    def status(self):
        """Give an empty status."""
        return {}

    def config_version(self):
        """Give version 3."""
        return 3

    def labels(self, request):
        """Give the same labels for every request."""
        return ("standard", "target")

    def count_error(self, error):
        """Record the code of an error."""
        self.refused.append(error.code)


class ApiHarness:
    """Hold a running application, its fakes and a client."""

    def __init__(self, client, address, server, facade, metrics):
        self.client = client
        self.address = address
        self.server = server
        self.facade = facade
        self.metrics = metrics

    async def post(self, body=b"{}", headers=(WORKSPACE,), path="services/x"):
        """Send one POST request."""
        return await self.client.request(
            HttpRequest("POST", self.address, f"/v1/{path}", body, headers)
        )

    async def connect(self):
        """Open a raw TCP connection."""
        host, _, port = self.address.rpartition(":")
        return await anyio.connect_tcp(host, int(port))


def run_scenario(scenario):
    """Run a scenario against the application on a free port."""

    async def main():
        server, facade, metrics = FakeServer(), FakeFacade(), Metrics()
        sock = bind("127.0.0.1:0")
        bodies = BodyBudget(LIMITS.total_body_bytes)
        context = ApiContext(server, facade, metrics, LIMITS, bodies)
        http = make_asgi_server(
            make_app(context),
            header_bytes=4096,
            head_timeout_s=0.2,
            max_connections=100,
        )
        async with HttpClient() as client, anyio.create_task_group() as tasks:
            sock.listen()
            tasks.start_soon(http.serve, [sock])
            harness = ApiHarness(
                client, bound_address(sock), server, facade, metrics
            )
            with anyio.fail_after(TEST_TIMEOUT_S):
                await scenario(harness)
            http.should_exit = True

    anyio.run(main)


def check_problem(answer, code):
    """Check a problem response and return its content."""
    assert answer.headers["content-type"] == CONTENT_TYPE
    content = json.loads(answer.body)
    assert content["code"] == int(code)
    assert answer.headers["ran"] == content["ran"]
    assert answer.status == content["status"]
    return content


def test_answer_is_json():
    async def scenario(harness):
        answer = await harness.post(b'{"text": "hem"}')
        assert answer.status == 200
        assert json.loads(answer.body)["output"] == {"text": "whole"}
        assert harness.server.requests[0].payload == {"text": "hem"}

    run_scenario(scenario)


def test_headers_are_parsed_into_the_request():
    async def scenario(harness):
        headers = (
            WORKSPACE,
            ("Deadline-Ms", "1234"),
            ("Idempotency-Key", "k-1"),
            ("Ordering-Key", "o-1"),
            ("Request-Id", "visit-7"),
        )
        first = await harness.post(headers=headers, path="pipelines/ask")
        second = await harness.post(headers=headers, path="pipelines/ask")
        request = harness.server.requests[0]
        assert request.request_id.startswith("visit-7~")
        assert first.headers["request-id"] == request.request_id
        assert second.headers["request-id"] != request.request_id
        assert request.is_pipeline
        assert request.target == "ask"
        assert request.deadline_ms == 1234
        assert request.idempotency_key == "k-1"
        assert request.ordering_key == "o-1"

    run_scenario(scenario)


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
def test_malformed_request_is_refused_before_it_runs(body, headers, code):
    async def scenario(harness):
        content = check_problem(await harness.post(body, headers), code)
        assert content["ran"] == "no"
        assert harness.server.requests == []
        assert harness.facade.refused == [code]

    run_scenario(scenario)


def test_incomplete_body_times_out_without_blocking_other_requests():
    async def scenario(harness):
        async with await harness.connect() as stream:
            await stream.send(
                b"POST /v1/services/x HTTP/1.1\r\nHost: a\r\n"
                b"Workspace: counters\r\nContent-Length: 10\r\n\r\n{"
            )
            assert (await harness.post()).status == 200
            answer = await stream.receive()
            assert answer.startswith(b"HTTP/1.1 408")
        assert Code.REQUEST_TIMEOUT in harness.facade.refused

    run_scenario(scenario)


def test_total_size_of_bodies_in_flight_is_limited():
    async def scenario(harness):
        harness.server.is_blocking = True
        body = b'{"a": "' + b"x" * 900 + b'"}'
        answers = []

        async def post_blocked():
            answers.append(await harness.post(body))

        async with anyio.create_task_group() as tasks:
            tasks.start_soon(post_blocked)
            await harness.server.received.wait()
            content = check_problem(await harness.post(body), Code.OVERLOADED)
            assert content["ran"] == "no"
            harness.server.released.set()
        assert answers[0].status == 200
        assert (await harness.post(body)).status == 200

    run_scenario(scenario)


def test_unknown_path_gets_a_problem_response():
    async def scenario(harness):
        answer = await harness.post(path="nothing")
        check_problem(answer, Code.UNKNOWN_TARGET)
        request = HttpRequest("GET", harness.address, "/v1/services/x")
        check_problem(
            await harness.client.request(request), Code.UNKNOWN_TARGET
        )

    run_scenario(scenario)


def test_refusal_carries_retry_after():
    async def scenario(harness):
        harness.facade.is_refusing = True
        answer = await harness.post()
        content = check_problem(answer, Code.DRAINING)
        assert content["ran"] == "no"
        assert content["retry_after_ms"] == 1500
        assert answer.headers["retry-after"] == "2"

    run_scenario(scenario)


def test_error_after_admission_reports_whether_the_request_ran():
    async def scenario(harness):
        harness.server.error = BerylcartError(
            Code.UPSTREAM_FAILED, "failed", ran=Ran.UNKNOWN
        )
        content = check_problem(await harness.post(), Code.UPSTREAM_FAILED)
        assert content["ran"] == "unknown"

    run_scenario(scenario)


def test_internal_error_does_not_expose_its_details():
    async def scenario(harness):
        harness.server.error = RuntimeError("secret body")
        answer = await harness.post()
        content = check_problem(answer, Code.INTERNAL)
        assert content["ran"] == "unknown"
        assert b"secret" not in answer.body

    run_scenario(scenario)


def test_stream_events_have_offsets_and_end_with_done():
    async def scenario(harness):
        harness.server.chunks = 3
        headers = (WORKSPACE, ("Accept", "text/event-stream"))
        answer = await harness.post(headers=headers)
        assert answer.headers["content-type"] == "text/event-stream"
        events = answer.body.decode().split("\n\n")
        assert events[0] == 'event: token\nid: 0\ndata: {"text": "t0"}'
        assert events[2].startswith("event: token\nid: 2\n")
        assert events[3].startswith("event: done\n")

    run_scenario(scenario)


def test_failed_stream_ends_with_an_error_event():
    async def scenario(harness):
        harness.server.chunks = 2
        harness.server.error = BerylcartError(
            Code.UPSTREAM_FAILED, "failed", ran=Ran.YES
        )
        headers = (WORKSPACE, ("Accept", "text/event-stream"))
        answer = await harness.post(headers=headers)
        last = answer.body.decode().split("\n\n")[2]
        assert last.startswith("event: error\n")
        assert '"code": 3001' in last
        assert "event: done" not in answer.body.decode()

    run_scenario(scenario)


def test_stream_refused_before_its_first_token_gets_a_problem_response():
    async def scenario(harness):
        harness.server.error = BerylcartError(Code.NO_UPSTREAM, "none")
        headers = (WORKSPACE, ("Accept", "text/event-stream"))
        check_problem(await harness.post(headers=headers), Code.NO_UPSTREAM)

    run_scenario(scenario)


async def send_and_disconnect(harness, key_line):
    """Send a request and disconnect before its answer."""
    async with await harness.connect() as stream:
        await stream.send(
            b"POST /v1/services/x HTTP/1.1\r\nHost: a\r\n"
            b"Workspace: counters\r\n" + key_line + b"Content-Length: 2\r\n"
            b"\r\n{}"
        )
        await harness.server.received.wait()


def test_request_is_cancelled_when_its_caller_disconnects():
    async def scenario(harness):
        harness.server.is_blocking = True
        await send_and_disconnect(harness, b"")
        await harness.server.cancelled.wait()

    run_scenario(scenario)


def test_request_with_a_key_continues_when_its_caller_disconnects():
    async def scenario(harness):
        harness.server.is_blocking = True
        await send_and_disconnect(harness, b"Idempotency-Key: k-1\r\n")
        assert (await harness.post(path="nothing")).status == 404
        harness.server.released.set()
        await harness.server.finished.wait()
        assert not harness.server.cancelled.is_set()

    run_scenario(scenario)


def test_metrics_count_requests_by_tier_and_code():
    async def scenario(harness):
        await harness.post()
        await harness.post(b"[]")
        request = HttpRequest("GET", harness.address, "/metrics")
        text = (await harness.client.request(request)).body.decode()
        assert (
            'berylcart_requests_total{code="0",ran="yes",'
            'target="target",tier="standard"} 1.0' in text
        )
        assert 'code="1000"' in text
        assert "berylcart_config_version 3.0" in text
        assert "berylcart_request_seconds_bucket" in text

    run_scenario(scenario)


def test_info_endpoints_respond():
    async def scenario(harness):
        for path in ("/healthz", "/readyz", "/v1/status", "/v1/entries"):
            request = HttpRequest("GET", harness.address, path)
            assert (await harness.client.request(request)).status == 200
        path = "/v1/entries?workspace=nobody"
        request = HttpRequest("GET", harness.address, path)
        check_problem(
            await harness.client.request(request), Code.UNKNOWN_WORKSPACE
        )
        harness.facade.is_refusing = True
        request = HttpRequest("GET", harness.address, "/readyz")
        assert (await harness.client.request(request)).status == 503

    run_scenario(scenario)


def test_number_of_issued_keys_is_limited():
    async def scenario(harness):
        request = HttpRequest("GET", harness.address, "/v1/keys?count=2")
        answer = await harness.client.request(request)
        assert json.loads(answer.body)["keys"] == ["key-0", "key-1"]
        for count in ("0", "1001", "x", "9" * 30):
            path = f"/v1/keys?count={count}"
            request = HttpRequest("GET", harness.address, path)
            check_problem(
                await harness.client.request(request), Code.BAD_REQUEST
            )

    run_scenario(scenario)


def test_client_timeout_before_the_answer_reports_the_request_as_sent():
    async def scenario(harness):
        harness.server.is_blocking = True
        request = HttpRequest(
            "POST",
            harness.address,
            "/v1/services/x",
            b"{}",
            (WORKSPACE,),
            timeout_ms=200,
        )
        with pytest.raises(HttpError) as caught:
            await harness.client.request(request)
        assert caught.value.is_sent

    run_scenario(scenario)
