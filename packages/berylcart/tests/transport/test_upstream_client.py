"""Check how each answer of an upstream is judged, byte by byte."""

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


def answer(status, body, content_type="application/json", headers=""):
    """Write a whole HTTP answer."""
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
    return answer(200, b"".join(events), "text/event-stream")


class Attempt:
    """Run one attempt against an address and keep what came of it."""

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

    async def keep(self, chunk):
        """Keep one chunk."""
        self.chunks.append(chunk)

    async def run(self):
        """Run the attempt."""
        async with HttpClient() as client:
            upstreams = HttpUpstreams(client)
            try:
                self.reply = await upstreams.call(self.stage_call, self.keep)
            except UpstreamError as error:
                self.error = error
            self.crossed = upstreams.crossed_answers


@pytest.fixture(scope="session", name="attempt")
def offer_attempt(answering):
    """Give the function that runs one attempt against canned bytes."""

    def attempt(data, **fields):
        async def main():
            async with answering(data) as address:
                one = Attempt(address, **fields)
                await one.run()
                return one

        return anyio.run(main)

    return attempt


RETRY = "Retry-After: 2\r\n"
REFUSED = {"reason": "overloaded"}


@pytest.mark.parametrize(
    ("data", "code", "ran"),
    [
        (answer(400, {}), Code.UPSTREAM_REJECTED, Ran.NO),
        (answer(422, b"?"), Code.UPSTREAM_REJECTED, Ran.NO),
        (answer(412, {}), Code.UPSTREAM_FAILED, Ran.NO),
        (answer(503, REFUSED, headers=RETRY), Code.OVERLOADED, Ran.NO),
        (answer(429, REFUSED, headers=RETRY), Code.OVERLOADED, Ran.NO),
        (answer(503, REFUSED), Code.UPSTREAM_FAILED, Ran.UNKNOWN),
        (answer(503, {}, headers=RETRY), Code.UPSTREAM_FAILED, Ran.UNKNOWN),
        (answer(503, b"?", headers=RETRY), Code.UPSTREAM_FAILED, Ran.UNKNOWN),
        (answer(500, {}), Code.UPSTREAM_FAILED, Ran.UNKNOWN),
        (answer(204, b""), Code.UPSTREAM_FAILED, Ran.UNKNOWN),
        (answer(302, {}), Code.UPSTREAM_FAILED, Ran.UNKNOWN),
        (answer(200, b"?"), Code.UPSTREAM_FAILED, Ran.UNKNOWN),
        (answer(200, REPLY)[:-1], Code.UPSTREAM_FAILED, Ran.UNKNOWN),
        (b"HTTP/1.1 200", Code.UPSTREAM_FAILED, Ran.UNKNOWN),
        (b"", Code.UPSTREAM_FAILED, Ran.UNKNOWN),
        (b"\x00\xff", Code.UPSTREAM_FAILED, Ran.UNKNOWN),
        (stream(done()), Code.UPSTREAM_FAILED, Ran.UNKNOWN),
    ],
)
def test_answer_is_judged_by_its_status(attempt, data, code, ran):
    error = attempt(data).error
    assert (error.code, error.ran) == (code, ran)


def test_refusal_carries_when_to_retry(attempt):
    data = answer(503, {"reason": "draining"}, headers=RETRY)
    error = attempt(data).error
    assert error.is_draining
    assert error.retry_after_ms == 2000
    finer = {"reason": "draining", "retry_after_ms": 70}
    error = attempt(answer(503, finer, headers=RETRY)).error
    assert error.retry_after_ms == 70


@pytest.mark.parametrize(
    "change", [{"attempt_id": "b"}, {"instance": "vm-1/0"}]
)
def test_answer_of_another_is_dropped_and_counted(attempt, change):
    one = attempt(answer(200, {**REPLY, **change}))
    assert one.error.ran is Ran.UNKNOWN
    assert one.crossed == 1
    one = attempt(
        stream(token(0, "x"), token(1, "y"), done(**change)), is_stream=True
    )
    assert one.error.ran is Ran.UNKNOWN
    assert one.crossed == 1


def test_whole_stream_is_given_in_order(attempt):
    data = stream(token(3, "x"), token(4, "y"), done())
    one = attempt(data, is_stream=True, start_offset=3)
    assert [chunk.text for chunk in one.chunks] == ["x", "y"]
    assert one.reply.output == {"text": "xy"}


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
def test_broken_stream_is_an_error(attempt, events):
    one = attempt(stream(*events), is_stream=True)
    assert one.error.ran is Ran.UNKNOWN


def test_unresumed_reply_is_an_error(attempt):
    one = attempt(answer(200, REPLY), is_stream=True, start_offset=1)
    assert one.error.ran is Ran.UNKNOWN


def test_failing_sink_is_not_the_upstreams_fault(answering):
    async def fail(chunk):
        raise ConnectionResetError

    async def main():
        data = stream(token(0, "x"), token(1, "y"), done())
        async with answering(data) as address, HttpClient() as client:
            one = Attempt(address, is_stream=True)
            await HttpUpstreams(client).call(one.stage_call, fail)

    with pytest.raises(ExceptionGroup) as caught:
        anyio.run(main)
    assert caught.group_contains(ConnectionResetError)


def test_payload_without_json_form_does_not_run():
    async def main():
        one = Attempt("127.0.0.1:9", payload={"x": object()})
        await one.run()
        return one

    error = anyio.run(main).error
    assert (error.code, error.ran) == (Code.UPSTREAM_REJECTED, Ran.NO)


def test_silent_upstream_times_out_as_maybe_run():
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
def test_instance_that_no_header_carries_does_not_run(answering, instance):
    async def main():
        async with answering(answer(200, REPLY)) as address:
            one = Attempt(address)
            vm = one.stage_call.vm._replace(instance=instance)
            one.stage_call = one.stage_call._replace(vm=vm)
            await one.run()
            return one.error

    assert anyio.run(main).ran is Ran.NO


@pytest.mark.parametrize("address", ["", "nowhere", "x:y", "\u2713:80"])
def test_malformed_address_is_unsent(address):
    async def main():
        async with HttpClient() as client:
            with pytest.raises(HttpError) as caught:
                await client.request(HttpRequest("GET", address, "/"))
            return caught.value

    assert not anyio.run(main).is_sent


def test_header_that_cannot_be_written_is_an_http_error(answering):
    async def main():
        async with HttpClient() as client, answering(b"") as address:
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
def test_any_answer_is_a_reply_or_an_upstream_error(
    attempt, body, content_type, status, is_raw
):
    data = body if is_raw else answer(status, body, content_type, RETRY)
    try:
        one = attempt(data, is_stream=True)
    except BerylcartError as error:
        pytest.fail(f"not an UpstreamError: {error}")
    assert (one.reply is None) != (one.error is None)
