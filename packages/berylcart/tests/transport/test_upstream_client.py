"""Test how the upstream client interprets each response."""

import json

import anyio
import pytest
from berylcart.protocol.sse import ServerEvent, write_event
from berylcart.state.errors import BerylcartError, Code, Ran, UpstreamError
from berylcart.state.stage import StageCall
from berylcart.state.vm import Vm, VmRole, VmState
from berylcart.transport.http_client import (
    HttpClient,
    HttpError,
    HttpRequest,
    HttpTimeoutError,
)
from berylcart.transport.upstream_client import HttpUpstreams
from hypothesis import HealthCheck, given, seed, settings
from hypothesis import strategies as st

INSTANCE = "vm-1/1"
REPLY = {
    "attempt_id": "a",
    "instance": INSTANCE,
    "output": {"text": "xy"},
    "usage": {"steps": 2, "tokens": 2, "seconds": 0.1},
}


MORE_TOKENS = {"steps": 2, "tokens": 3, "seconds": 0.1}


def response(status, body, content_type="application/json", headers=""):
    """Serialize a complete HTTP response."""
    if not isinstance(body, bytes):
        body = json.dumps(body).encode()
    head = (
        f"HTTP/1.1 {status} X\r\nContent-Type: {content_type}\r\n"
        f"Content-Length: {len(body)}\r\n{headers}\r\n"
    )
    return head.encode() + body


def token(offset, text, attempt_id="a"):
    data = json.dumps({"attempt_id": attempt_id, "text": text})
    return write_event(ServerEvent("token", str(offset), data))


def done(**changes):
    data = json.dumps({**REPLY, **changes})
    return write_event(ServerEvent("done", "", data))


def stream(*events):
    return response(200, b"".join(events), "text/event-stream")


class Attempt:
    """Run one attempt against an address and store its outcome."""

    def __init__(self, address, **fields):
        vm = Vm(
            "vm-1",
            1,
            address,
            "lahore-1",
            VmRole.UPSTREAM,
            "s",
            VmState.LIVE,
            INSTANCE,
        )
        call = StageCall("a", "r", vm, "s", "w", {}, 10_000)
        self.stage_call = call._replace(**fields)
        self.chunks = []
        self.reply = None
        self.error = None

    async def store_chunk(self, chunk):
        """Store one chunk."""
        self.chunks.append(chunk)

    async def run(self):
        """Run the attempt."""
        async with HttpClient() as client:
            upstreams = HttpUpstreams(client)
            try:
                self.reply = await upstreams.call(
                    self.stage_call, self.store_chunk
                )
            except UpstreamError as error:
                self.error = error
            self.mismatched = upstreams.mismatched_responses


@pytest.fixture(scope="session", name="run_attempt")
def run_attempt_fixture(serve_bytes):
    """Provide a function that runs one attempt against canned bytes."""

    def run_attempt(data, **fields):
        async def main():
            async with serve_bytes(data) as address:
                attempt = Attempt(address, **fields)
                await attempt.run()
                return attempt

        return anyio.run(main)

    return run_attempt


RETRY = "Retry-After: 2\r\n"
REFUSED = {"reason": "overloaded"}


@pytest.mark.parametrize(
    ("data", "code", "ran"),
    [
        (response(400, {}), Code.UPSTREAM_REJECTED, Ran.NO),
        (response(422, b"?"), Code.UPSTREAM_REJECTED, Ran.NO),
        (response(412, {}), Code.UPSTREAM_FAILED, Ran.NO),
        (response(503, REFUSED, headers=RETRY), Code.OVERLOADED, Ran.NO),
        (response(429, REFUSED, headers=RETRY), Code.OVERLOADED, Ran.NO),
        (response(503, REFUSED), Code.UPSTREAM_FAILED, Ran.UNKNOWN),
        (response(503, {}, headers=RETRY), Code.UPSTREAM_FAILED, Ran.UNKNOWN),
        (
            response(503, b"?", headers=RETRY),
            Code.UPSTREAM_FAILED,
            Ran.UNKNOWN,
        ),
        (response(500, {}), Code.UPSTREAM_FAILED, Ran.UNKNOWN),
        (response(204, b""), Code.UPSTREAM_FAILED, Ran.UNKNOWN),
        (response(302, {}), Code.UPSTREAM_FAILED, Ran.UNKNOWN),
        (response(200, b"?"), Code.UPSTREAM_FAILED, Ran.UNKNOWN),
        (response(200, REPLY)[:-1], Code.UPSTREAM_FAILED, Ran.UNKNOWN),
        (b"HTTP/1.1 200", Code.UPSTREAM_FAILED, Ran.UNKNOWN),
        (b"", Code.UPSTREAM_FAILED, Ran.UNKNOWN),
        (b"\x00\xff", Code.UPSTREAM_FAILED, Ran.UNKNOWN),
        (stream(done()), Code.UPSTREAM_FAILED, Ran.UNKNOWN),
    ],
)
def test_error_depends_on_the_response(run_attempt, data, code, ran):
    error = run_attempt(data).error
    assert (error.code, error.ran) == (code, ran)


def test_refusal_carries_retry_after(run_attempt):
    data = response(503, {"reason": "draining"}, headers=RETRY)
    error = run_attempt(data).error
    assert error.is_draining
    assert error.retry_after_ms == 2000
    with_milliseconds = {"reason": "draining", "retry_after_ms": 70}
    error = run_attempt(response(503, with_milliseconds, headers=RETRY)).error
    assert error.retry_after_ms == 70


@pytest.mark.parametrize(
    "changes", [{"attempt_id": "b"}, {"instance": "vm-1/0"}]
)
def test_mismatched_response_is_rejected_and_counted(run_attempt, changes):
    attempt = run_attempt(response(200, {**REPLY, **changes}))
    assert attempt.error.ran is Ran.UNKNOWN
    assert attempt.mismatched == 1
    attempt = run_attempt(
        stream(token(0, "x"), token(1, "y"), done(**changes)), is_stream=True
    )
    assert attempt.error.ran is Ran.UNKNOWN
    assert attempt.mismatched == 1


def test_complete_stream_is_delivered_in_order(run_attempt):
    data = stream(token(3, "x"), token(4, "y"), done())
    attempt = run_attempt(data, is_stream=True, start_offset=3)
    assert [chunk.text for chunk in attempt.chunks] == ["x", "y"]
    assert attempt.reply.output == {"text": "xy"}


@pytest.mark.parametrize(
    "events",
    [
        [token(0, "x"), token(1, "y")],
        [token(1, "x"), token(2, "y"), done()],
        [token(0, "x"), token(0, "x"), token(1, "y"), done()],
        [token(0, "x"), token(2, "y"), done()],
        [token(0, "x"), done()],
        [token(0, "x"), token(1, "z"), done()],
        [token(0, "x"), token(1, "y", "b"), done()],
        [token(0, "x"), token(1, "y"), done(usage={"steps": 1})],
        [token(0, "x"), token(1, "y"), done(usage=MORE_TOKENS)],
        [token(-1, "x"), done()],
    ],
)
def test_invalid_stream_raises(run_attempt, events):
    attempt = run_attempt(stream(*events), is_stream=True)
    assert attempt.error.ran is Ran.UNKNOWN


def test_reply_that_does_not_resume_raises(run_attempt):
    attempt = run_attempt(response(200, REPLY), is_stream=True, start_offset=1)
    assert attempt.error.ran is Ran.UNKNOWN


def test_error_of_the_sink_is_not_an_upstream_error(serve_bytes):
    async def fail(chunk):
        raise ConnectionResetError

    async def main():
        data = stream(token(0, "x"), token(1, "y"), done())
        async with serve_bytes(data) as address, HttpClient() as client:
            attempt = Attempt(address, is_stream=True)
            await HttpUpstreams(client).call(attempt.stage_call, fail)

    with pytest.raises(ExceptionGroup) as caught:
        anyio.run(main)
    assert caught.group_contains(ConnectionResetError)


def test_payload_that_is_not_json_did_not_run():
    async def main():
        attempt = Attempt("127.0.0.1:9", payload={"x": object()})
        await attempt.run()
        return attempt

    error = anyio.run(main).error
    assert (error.code, error.ran) == (Code.UPSTREAM_REJECTED, Ran.NO)


def test_unresponsive_server_times_out_as_sent():
    async def main():
        listener = await anyio.create_tcp_listener(local_host="127.0.0.1")
        async with listener, HttpClient() as client:
            port = listener.extra(anyio.abc.SocketAttribute.local_port)
            request = HttpRequest(
                "GET", f"127.0.0.1:{port}", "/", timeout_ms=50
            )
            with pytest.raises(HttpTimeoutError) as caught:
                await client.request(request)
            return caught.value

    assert anyio.run(main).is_sent


def test_request_that_waits_for_a_connection_is_unsent():
    async def main():
        listener = await anyio.create_tcp_listener(local_host="127.0.0.1")
        async with (
            listener,
            HttpClient(max_connections=1) as client,
            anyio.create_task_group() as tasks,
        ):
            port = listener.extra(anyio.abc.SocketAttribute.local_port)
            request = HttpRequest("GET", f"127.0.0.1:{port}", "/")
            tasks.start_soon(client.request, request)
            await anyio.wait_all_tasks_blocked()
            with pytest.raises(HttpTimeoutError) as caught:
                await client.request(request._replace(timeout_ms=50))
            tasks.cancel_scope.cancel()
            return caught.value

    assert not anyio.run(main).is_sent


@pytest.mark.parametrize("instance", ["vm-\u2713/1", "vm\r\n1", "\x00"])
def test_instance_that_is_no_valid_header_did_not_run(serve_bytes, instance):
    async def main():
        async with serve_bytes(response(200, REPLY)) as address:
            attempt = Attempt(address)
            vm = attempt.stage_call.vm._replace(instance=instance)
            attempt.stage_call = attempt.stage_call._replace(vm=vm)
            await attempt.run()
            return attempt.error

    assert anyio.run(main).ran is Ran.NO


@pytest.mark.parametrize("address", ["", "nowhere", "x:y", "\u2713:80"])
def test_malformed_address_is_unsent(address):
    async def main():
        async with HttpClient() as client:
            with pytest.raises(HttpError) as caught:
                await client.request(HttpRequest("GET", address, "/"))
            return caught.value

    assert not anyio.run(main).is_sent


def test_invalid_header_raises_http_error(serve_bytes):
    async def main():
        async with HttpClient() as client, serve_bytes(b"") as address:
            request = HttpRequest(
                "GET", address, "/", headers=(("X", "a\r\nb"),)
            )
            with pytest.raises(HttpError):
                await client.request(request)

    anyio.run(main)


@seed(1)
@settings(
    max_examples=60,
    deadline=None,
    suppress_health_check=[HealthCheck.too_slow],
)
@given(
    body=st.binary(max_size=80)
    | st.tuples(
        st.binary(max_size=40).map(lambda b: token(0, "x") + b),
        st.just(done()),
    ).map(b"".join),
    content_type=st.sampled_from(["application/json", "text/event-stream"]),
    status=st.sampled_from([200, 400, 429, 503]),
    is_raw=st.booleans(),
)
def test_any_response_is_a_reply_or_an_upstream_error(
    run_attempt, body, content_type, status, is_raw
):
    data = body if is_raw else response(status, body, content_type, RETRY)
    try:
        attempt = run_attempt(data, is_stream=True)
    except BerylcartError as error:
        pytest.fail(f"not an UpstreamError: {error}")
    assert (attempt.reply is None) != (attempt.error is None)


def test_response_that_stops_in_its_head_fails(run_attempt):
    """A head that was cut off became an empty successful response."""
    for data in (response(200, REPLY), stream(token(0, "x"), done())):
        end = data.index(b"\r\n\r\n") + 4
        for size in (1, 9, 13, 16, 17, 20, end // 2, end - 2, end - 1, end):
            attempt = run_attempt(data[:size])
            assert attempt.reply is None
            assert attempt.error.ran is Ran.UNKNOWN
