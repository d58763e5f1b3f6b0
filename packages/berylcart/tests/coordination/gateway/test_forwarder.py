"""Test which requests are resent, and that responses arrive complete."""

import anyio
import pytest
from berylcart.coordination.gateway.first_event_timeout import (
    first_event_timeout_s,
)
from berylcart.coordination.gateway.forward_run import (
    GAP_TIMEOUT_FACTOR,
    MIN_GAP_TIMEOUT_S,
)
from berylcart.coordination.gateway.response_forwarder import BUFFERED_BYTES
from berylcart.state.errors import (
    Code,
    InputsGoneError,
    Ran,
    UpstreamError,
)
from berylcart.state.routes import RouteKind

from ..gateway_fakes import (
    BOOKING,
    FAILED,
    GONE,
    IDEMPOTENT,
    OK,
    REFUSED,
    RESUMABLE,
    STREAM,
    Forwarding,
    ScriptedResponse,
    make_route,
    make_vm,
)
from ..serving_fakes import run

RESET = UpstreamError(Code.UPSTREAM_FAILED, "reset", ran=Ran.UNKNOWN)
EVENTS = (b"id: 1\ndata: a\n\n", b"id: 2\ndata: b\n\n")


def test_response_is_forwarded_unchanged():
    async def check():
        forwarding = Forwarding(BOOKING, ScriptedResponse())
        assert await forwarding.forward() == 200
        assert forwarding.exchange.headers == OK.headers
        assert forwarding.exchange.data == b"whole"
        assert forwarding.exchange.is_finished
        assert forwarding.progress.ran is Ran.YES

    run(check)


def test_non_idempotent_request_is_not_resent_after_a_reset():
    async def check():
        forwarding = Forwarding(BOOKING, RESET, ScriptedResponse())
        error = await forwarding.fail()
        assert error.ran is Ran.UNKNOWN
        assert len(forwarding.relay.sent) == 1
        assert not forwarding.exchange.is_started

    run(check)


def test_rejected_non_idempotent_request_is_sent_to_another_replica():
    async def check():
        forwarding = Forwarding(
            BOOKING, ScriptedResponse(REFUSED), ScriptedResponse()
        )
        assert await forwarding.forward() == 200
        first, second = forwarding.relay.sent
        assert first.address != second.address

    run(check)


def test_request_rejected_by_all_replicas_was_not_executed():
    async def check():
        forwarding = Forwarding(
            BOOKING, *[ScriptedResponse(REFUSED) for _ in range(9)]
        )
        error = await forwarding.fail()
        assert error.ran is Ran.NO
        assert forwarding.progress.ran is Ran.NO
        assert error.retry_after_ms

    run(check)


def test_unreachable_replica_costs_no_budget():
    async def check():
        forwarding = Forwarding(BOOKING, None, ScriptedResponse())
        forwarding.policy.budget.slack = 0
        assert await forwarding.forward() == 200

    run(check)


def test_rejection_beyond_the_retry_budget_is_final():
    async def check():
        forwarding = Forwarding(
            BOOKING, ScriptedResponse(REFUSED), ScriptedResponse()
        )
        forwarding.policy.budget.slack = 0
        assert (await forwarding.fail()).ran is Ran.NO
        assert len(forwarding.relay.sent) == 1

    run(check)


def test_rejection_without_confirmation_leaves_execution_unknown():
    async def check():
        bare = REFUSED._replace(did_not_run=False)
        forwarding = Forwarding(BOOKING, ScriptedResponse(bare))
        assert (await forwarding.fail()).ran is Ran.UNKNOWN

    run(check)


def test_response_without_seal_is_not_forwarded():
    async def check():
        forwarding = Forwarding(
            BOOKING, ScriptedResponse(OK._replace(is_sealed=False))
        )
        assert (await forwarding.fail()).ran is Ran.UNKNOWN
        assert not forwarding.exchange.is_started

    run(check)


def test_truncated_response_is_not_forwarded():
    async def check():
        forwarding = Forwarding(
            BOOKING, ScriptedResponse(chunks=[b"ha"], ends=False)
        )
        assert (await forwarding.fail()).ran is Ran.UNKNOWN
        assert forwarding.exchange.data == b""

    run(check)


def test_failed_idempotent_request_is_retried_on_another_replica():
    async def check():
        forwarding = Forwarding(
            IDEMPOTENT, ScriptedResponse(FAILED), ScriptedResponse()
        )
        assert await forwarding.forward() == 200
        assert forwarding.exchange.data == b"whole"

    run(check)


def test_last_failed_response_is_forwarded_after_max_attempts():
    async def check():
        forwarding = Forwarding(
            IDEMPOTENT,
            ScriptedResponse(FAILED),
            ScriptedResponse(FAILED),
            ScriptedResponse(),
        )
        assert await forwarding.forward() == 500
        assert forwarding.exchange.headers == FAILED.headers
        assert len(forwarding.relay.sent) == IDEMPOTENT.max_attempts

    run(check)


def test_failed_non_idempotent_response_is_forwarded():
    async def check():
        forwarding = Forwarding(
            BOOKING, ScriptedResponse(FAILED), ScriptedResponse()
        )
        assert await forwarding.forward() == 500
        assert len(forwarding.relay.sent) == 1

    run(check)


def test_silent_replica_of_an_idempotent_request_is_abandoned():
    async def check():
        forwarding = Forwarding(
            IDEMPOTENT,
            ScriptedResponse(chunks=(), hangs=True),
            ScriptedResponse(),
        )
        started_s = anyio.current_time()
        assert await forwarding.forward() == 200
        assert anyio.current_time() - started_s < 2

    run(check)


def test_silent_replica_of_a_non_idempotent_request_is_awaited():
    async def check():
        forwarding = Forwarding(
            BOOKING,
            ScriptedResponse(chunks=(), hangs=True),
            ScriptedResponse(),
        )
        with anyio.move_on_after(4):
            await forwarding.forward()
        assert len(forwarding.relay.sent) == 1
        assert not forwarding.exchange.is_started

    run(check)


def test_stream_events_are_forwarded_as_they_arrive():
    async def check():
        forwarding = Forwarding(STREAM, ScriptedResponse(chunks=EVENTS))
        begun = []
        forwarding.run.on_response_started = lambda: begun.append(
            forwarding.exchange.data
        )
        assert await forwarding.forward() == 200
        assert forwarding.exchange.data == b"".join(EVENTS)
        assert begun[0] == b""

    run(check)


def test_broken_stream_resumes_after_its_last_complete_event():
    async def check():
        partial = [EVENTS[0], EVENTS[1][:7]]
        forwarding = Forwarding(
            RESUMABLE,
            ScriptedResponse(chunks=partial, ends=False),
            ScriptedResponse(chunks=[EVENTS[1]]),
        )
        assert await forwarding.forward() == 200
        assert forwarding.exchange.data == b"".join(EVENTS)
        assert forwarding.header(0, b"event") == b""
        assert forwarding.header(1, b"event") == b"1"

    run(check)


UNBOUNDED = make_route(RouteKind.STREAM)
WHOLE = b"id: 1\ndata: a\n\n"
PARTIAL = b"id: 2\nda"


@pytest.mark.parametrize("route", [STREAM, RESUMABLE, UNBOUNDED])
def test_stream_that_ends_after_an_event_is_whole(route):
    async def scenario():
        forwarding = Forwarding(route, ScriptedResponse(chunks=(WHOLE,)))
        await forwarding.forward()
        assert forwarding.exchange.is_finished
        assert forwarding.exchange.data == WHOLE

    run(scenario)


@pytest.mark.parametrize("route", [STREAM, UNBOUNDED])
@pytest.mark.parametrize("chunks", [(WHOLE, PARTIAL), (WHOLE + PARTIAL,)])
def test_stream_that_ends_inside_an_event_never_looks_complete(route, chunks):
    async def scenario():
        forwarding = Forwarding(route, ScriptedResponse(chunks=chunks))
        await forwarding.fail()
        assert not forwarding.exchange.is_finished

    run(scenario)


def test_stream_that_ends_inside_an_event_is_resumed_elsewhere():
    async def scenario():
        rest = b"id: 2\ndata: b\n\n"
        forwarding = Forwarding(
            RESUMABLE,
            ScriptedResponse(chunks=(WHOLE, PARTIAL)),
            ScriptedResponse(chunks=(rest,)),
        )
        await forwarding.forward()
        assert forwarding.exchange.data == WHOLE + rest
        assert forwarding.header(1, b"event") == b"1"
        assert forwarding.exchange.is_finished

    run(scenario)


def test_server_error_is_not_written_into_a_started_stream():
    """Guards against an error body that completes a truncated stream."""

    async def check():
        forwarding = Forwarding(
            RESUMABLE,
            ScriptedResponse(chunks=[EVENTS[0], EVENTS[1][:7]], ends=False),
            ScriptedResponse(FAILED, chunks=[b"oops"]),
        )
        with pytest.raises(UpstreamError):
            await forwarding.forward()
        assert forwarding.exchange.data == EVENTS[0]
        assert not forwarding.exchange.is_finished

    run(check)


EVENT_STREAM = ((b"content-type", b"text/event-stream"),)
PLAIN_TEXT = ((b"content-type", b"text/plain"),)


@pytest.mark.parametrize(
    "head",
    [
        FAILED,
        FAILED._replace(status=404),
        FAILED._replace(status=503, did_not_run=True, is_sealed=False),
        FAILED._replace(status=503, is_sealed=False),
        OK._replace(headers=EVENT_STREAM, is_sealed=False),
        OK._replace(headers=PLAIN_TEXT),
        OK,
    ],
)
def test_error_of_a_resumption_is_not_written_into_the_stream(head):
    """Guards against an error's text or end in a stream that had begun."""

    async def check():
        forwarding = Forwarding(
            RESUMABLE,
            ScriptedResponse(
                OK._replace(headers=EVENT_STREAM),
                chunks=[EVENTS[0]],
                ends=False,
            ),
            ScriptedResponse(head, chunks=[b"HTTP/1.1 500 oops\r\n\r\n"]),
            ScriptedResponse(head, chunks=[b"oops"]),
        )
        with pytest.raises(UpstreamError):
            await forwarding.forward()
        assert forwarding.exchange.data == EVENTS[0]
        assert not forwarding.exchange.is_finished

    run(check)


class TrickleScript(ScriptedResponse):
    """Send a byte every 0.5 s after the chunks."""

    async def read(self):
        """Return the next chunk or, after 0.5 s, a byte."""
        if self.chunks:
            return self.chunks.pop(0)
        await anyio.sleep(0.5)
        return b"x"


def test_stream_stalled_within_an_event_resumes_elsewhere():
    async def check():
        forwarding = Forwarding(
            RESUMABLE,
            TrickleScript(chunks=EVENTS[:1]),
            ScriptedResponse(chunks=EVENTS[1:]),
        )
        started_s = anyio.current_time()
        with anyio.fail_after(60):
            assert await forwarding.forward() == 200
        assert forwarding.exchange.data == b"".join(EVENTS)
        gap_s = RESUMABLE.gap_ms / 1000
        most_s = max(MIN_GAP_TIMEOUT_S, GAP_TIMEOUT_FACTOR * gap_s)
        assert anyio.current_time() - started_s <= most_s + 0.5

    run(check)


def test_stalled_stream_goes_on_if_all_other_replicas_are_full():
    """A stream was cut in a pause of its sound replica."""

    async def check():
        paused = ScriptedResponse(
            OK, (EVENTS[0], EVENTS[1][:4], 1.6, EVENTS[1][4:])
        )
        forwarding = Forwarding(
            RESUMABLE._replace(max_attempts=3),
            paused,
            ScriptedResponse(REFUSED),
            ScriptedResponse(REFUSED),
        )
        assert await forwarding.forward() == 200
        assert forwarding.exchange.data == EVENTS[0] + EVENTS[1]
        assert forwarding.exchange.is_finished
        assert len(forwarding.relay.sent) == 3
        assert not paused.is_abandoned

    run(check)


def test_stalled_replica_is_left_before_two_can_work_on_a_stream():
    async def check():
        stalled = ScriptedResponse(OK, EVENTS[:1], hangs=True)
        slow = ScriptedResponse(OK, EVENTS[1:], starts_after_s=0.5)
        forwarding = Forwarding(RESUMABLE, stalled, slow)
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(forwarding.forward)
            await anyio.sleep(1.2 + 0.19)
            assert len(forwarding.relay.sent) == 2
            assert not stalled.is_abandoned
            await anyio.sleep(0.02)
            assert stalled.is_abandoned
        assert forwarding.exchange.data == b"".join(EVENTS)
        assert forwarding.exchange.is_finished

    run(check)


def test_late_refusal_does_not_return_to_a_replica_that_was_left():
    async def check():
        stalled = ScriptedResponse(OK, EVENTS[:1], hangs=True)
        refused = ScriptedResponse(REFUSED, starts_after_s=0.3)
        forwarding = Forwarding(RESUMABLE, stalled, refused, vms=("v1", "v2"))
        error = await forwarding.fail()
        assert stalled.is_abandoned
        assert error.ran is Ran.NO
        assert not forwarding.exchange.is_finished

    run(check)


def test_stream_does_not_return_to_its_stalled_replica_after_a_break():
    async def check():
        stalled = ScriptedResponse(OK, EVENTS[:1], hangs=True)
        broken = ScriptedResponse(OK, (EVENTS[1][:4],), ends=False)
        forwarding = Forwarding(RESUMABLE, stalled, broken, vms=("v1", "v2"))
        await forwarding.fail()
        assert forwarding.exchange.data == EVENTS[0]
        assert not forwarding.exchange.is_finished

    run(check)


def test_slow_stream_of_complete_events_is_not_aborted():
    async def check():
        class SlowScript(ScriptedResponse):
            async def read(self):
                await anyio.sleep(MIN_GAP_TIMEOUT_S - 0.1)
                return await super().read()

        forwarding = Forwarding(
            RESUMABLE, SlowScript(chunks=EVENTS), ScriptedResponse()
        )
        assert await forwarding.forward() == 200
        assert forwarding.exchange.data == b"".join(EVENTS)
        assert len(forwarding.relay.sent) == 1

    run(check)


def test_broken_non_resumable_stream_stays_truncated():
    async def check():
        forwarding = Forwarding(
            STREAM,
            ScriptedResponse(chunks=EVENTS[:1], ends=False),
            ScriptedResponse(),
        )
        await forwarding.fail()
        assert forwarding.exchange.is_started
        assert not forwarding.exchange.is_finished
        assert len(forwarding.relay.sent) == 1

    run(check)


def test_lost_inputs_raise_inputs_gone_error():
    async def check():
        forwarding = Forwarding(
            STREAM, ScriptedResponse(GONE), ScriptedResponse()
        )
        assert isinstance(await forwarding.fail(), InputsGoneError)
        assert len(forwarding.relay.sent) == 1

    run(check)


def test_resend_carries_the_remaining_deadline():
    async def check():
        forwarding = Forwarding(
            IDEMPOTENT,
            ScriptedResponse(chunks=(), hangs=True),
            ScriptedResponse(),
        )
        await forwarding.forward()
        first, second = (int(forwarding.header(n, b"left")) for n in (0, 1))
        assert second <= first - 900

    run(check)


def test_replica_evacuated_after_selection_is_replaced():
    async def check():
        forwarding = Forwarding(
            IDEMPOTENT, ScriptedResponse(), ScriptedResponse()
        )
        work = forwarding.run.work
        preferred = make_vm("v1")
        forwarding.run.work = work._replace(preferred=preferred)
        forwarding.policy.pool = lambda service: (make_vm("v2"),)
        await forwarding.forward()
        assert forwarding.header(0, b"instance") == b"v2"

    run(check)


def test_stream_is_not_resumed_in_an_evacuated_place():
    """Guards against a resend to a place evacuated in the meantime."""

    async def check():
        cut = ScriptedResponse(chunks=[b"id: 1\ndata: x\n\n"], ends=False)
        forwarding = Forwarding(RESUMABLE, cut, ScriptedResponse())
        pools = [(make_vm("v1"),), ()]
        forwarding.policy.pool = lambda service: pools.pop(0)
        error = await forwarding.fail()
        assert error.detail == "reset"
        assert len(forwarding.relay.sent) == 1

    run(check)


def test_resend_stays_in_permitted_places():
    async def check():
        forwarding = Forwarding(
            IDEMPOTENT, ScriptedResponse(REFUSED), ScriptedResponse()
        )
        vms = [make_vm("v1")._replace(place="south-1"), make_vm("v2")]
        forwarding.policy.pool = lambda service: vms
        places = frozenset({"lahore-1"})
        forwarding.run.work = forwarding.run.work._replace(
            preferred=vms[0], places=places
        )
        error = await forwarding.fail()
        assert error.retry_after_ms
        (sent,) = forwarding.relay.sent
        assert sent.address == "v2:80"

    run(check)


def test_stalled_non_resumable_stream_is_aborted_at_the_event_timeout():
    async def check():
        forwarding = Forwarding(
            STREAM, TrickleScript(chunks=EVENTS[:1]), ScriptedResponse()
        )
        started_s = anyio.current_time()
        with anyio.fail_after(4):
            assert (await forwarding.fail()).ran is Ran.UNKNOWN
        elapsed_s = anyio.current_time() - started_s
        assert abs(elapsed_s - first_event_timeout_s(STREAM)) <= 0.5
        assert forwarding.exchange.data.startswith(EVENTS[0])
        assert not forwarding.exchange.is_finished

    run(check)


def test_stream_without_gap_bound_has_no_event_timeout():
    async def check():
        class RareScript(ScriptedResponse):
            async def read(self):
                await anyio.sleep(4 * first_event_timeout_s(STREAM))
                return await super().read()

        forwarding = Forwarding(
            STREAM._replace(gap_ms=0), RareScript(chunks=list(EVENTS))
        )
        assert await forwarding.forward() == 200
        assert forwarding.exchange.data == b"".join(EVENTS)

    run(check)


def test_slow_non_resumable_stream_is_not_aborted():
    async def check():
        class SlowScript(ScriptedResponse):
            async def read(self):
                await anyio.sleep(first_event_timeout_s(STREAM) - 0.1)
                return await super().read()

        forwarding = Forwarding(STREAM, SlowScript(chunks=EVENTS * 3))
        assert await forwarding.forward() == 200
        assert forwarding.exchange.data == b"".join(EVENTS * 3)

    run(check)


def test_endless_event_is_resumed_elsewhere():
    async def check():
        endless = [b"data: ", *[b"x" * 2**16] * 17]
        forwarding = Forwarding(
            RESUMABLE,
            ScriptedResponse(chunks=endless, hangs=True),
            ScriptedResponse(chunks=EVENTS),
        )
        started_s = anyio.current_time()
        assert await forwarding.forward() == 200
        assert anyio.current_time() == started_s
        assert forwarding.exchange.data == b"".join(EVENTS)

    run(check)


def test_slow_client_does_not_count_as_a_silent_replica():
    # Otherwise a send is cancelled within an event and the next replica's
    # events are appended to the truncated one.
    async def check(route, chunks):
        forwarding = Forwarding(
            route, ScriptedResponse(chunks=chunks), ScriptedResponse()
        )
        send = forwarding.exchange.send

        async def slow(data):
            await anyio.sleep(2)
            await send(data)

        forwarding.exchange.send = slow
        assert await forwarding.forward() == 200
        assert forwarding.exchange.data == b"".join(chunks)
        assert len(forwarding.relay.sent) == 1

    run(lambda: check(RESUMABLE, EVENTS))
    run(lambda: check(IDEMPOTENT, [b"x" * 2**19] * 5))


def test_large_failed_response_is_forwarded_to_its_end():
    """Guards against a truncated response due to an impossible retry."""

    async def check():
        chunks = [b"x" * (BUFFERED_BYTES + 1), b"end"]
        forwarding = Forwarding(
            IDEMPOTENT, ScriptedResponse(FAILED, chunks), ScriptedResponse()
        )
        assert await forwarding.forward() == 500
        assert forwarding.exchange.data == b"".join(chunks)
        assert forwarding.exchange.is_finished
        assert len(forwarding.relay.sent) == 1
        assert forwarding.exchange.held_bytes == 0

    run(check)


def test_started_large_response_may_be_slow():
    """Guards against abandoning a replica that cannot be replaced."""

    async def check():
        class SlowScript(ScriptedResponse):
            async def read(self):
                await anyio.sleep(0.8)
                return await super().read()

        chunks = [b"x" * (BUFFERED_BYTES + 1), b"end"]
        forwarding = Forwarding(
            IDEMPOTENT, SlowScript(chunks=chunks), ScriptedResponse()
        )
        assert await forwarding.forward() == 200
        assert forwarding.exchange.data == b"".join(chunks)
        assert len(forwarding.relay.sent) == 1

    run(check)


def test_buffered_responses_are_accounted_once_until_sent():
    async def check(route, *scripts):
        forwarding = Forwarding(route, *scripts)
        seen = []
        send = forwarding.exchange.send

        async def note(data):
            seen.append(forwarding.exchange.held_bytes)
            await send(data)

        forwarding.exchange.send = note
        await forwarding.forward()
        return seen, forwarding.exchange.held_bytes

    async def check_all():
        # What is being sent is counted by the exchange while it waits.
        size = 2**19
        big = ScriptedResponse(chunks=[b"x" * size] * 5)
        expected = [2 * size, size, 0, size, 0]
        assert await check(BOOKING, big) == (expected, 0)
        # The kept failed response is accounted along with its replacement.
        failed = ScriptedResponse(FAILED, chunks=[b"x" * 50])
        assert await check(IDEMPOTENT, failed, ScriptedResponse()) == (
            [50],
            50,
        )
        cut = [EVENTS[0], EVENTS[1][:7]]
        _, left = await check(
            RESUMABLE,
            ScriptedResponse(chunks=cut, ends=False),
            ScriptedResponse(chunks=EVENTS[1:]),
        )
        assert left == 0

    run(check_all)


@pytest.mark.parametrize("limit_bytes", [0, 100, 130])
def test_response_is_passed_on_as_it_arrives_when_memory_is_scarce(
    limit_bytes,
):
    """Requests in progress were cut off to make room for their responses."""

    async def check():
        chunks = [b"x" * 60] * 5
        forwarding = Forwarding(BOOKING, ScriptedResponse(chunks=chunks))
        exchange = forwarding.exchange
        exchange.max_held_bytes = limit_bytes
        held = []
        hold = exchange.add_buffered

        def note(count_bytes):
            hold(count_bytes)
            held.append(exchange.held_bytes)

        exchange.add_buffered = note
        assert await forwarding.forward() == 200
        assert exchange.data == b"".join(chunks)
        assert max(held) <= limit_bytes + 60

    run(check)


def test_failed_response_is_kept_when_memory_is_scarce():
    async def check():
        failed = ScriptedResponse(FAILED, chunks=[b"x" * 60])
        forwarding = Forwarding(IDEMPOTENT, failed, ScriptedResponse())
        forwarding.exchange.max_held_bytes = 0
        assert await forwarding.forward() == 200
        assert forwarding.exchange.data == b"whole"

    run(check)
