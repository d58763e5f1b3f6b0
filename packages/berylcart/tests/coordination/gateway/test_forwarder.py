"""Check what is sent again, and that answers reach callers whole."""

import anyio
import pytest
from berylcart.coordination.gateway.caller_patience import first_event_s
from berylcart.coordination.gateway.forward_run import (
    GAP_PATIENCE,
    MIN_GAP_PATIENCE_S,
)
from berylcart.coordination.gateway.forwarder import (
    BUFFERED_BYTES,
)
from berylcart.state.errors import (
    Code,
    InputsGoneError,
    Ran,
    UpstreamError,
)

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
    Script,
    make_vm,
)
from ..serving_fakes import run

RESET = UpstreamError(Code.UPSTREAM_FAILED, "reset", ran=Ran.UNKNOWN)
EVENTS = (b"id: 1\ndata: a\n\n", b"id: 2\ndata: b\n\n")


def test_answer_is_passed_on_unchanged():
    async def check():
        one = Forwarding(BOOKING, Script())
        assert await one.forward() == 200
        assert one.exchange.headers == OK.headers
        assert one.exchange.data == b"whole"
        assert one.exchange.is_finished
        assert one.progress.ran is Ran.YES

    run(check)


def test_booking_with_a_lost_answer_is_not_sent_again():
    async def check():
        one = Forwarding(BOOKING, RESET, Script())
        error = await one.fail()
        assert error.ran is Ran.UNKNOWN
        assert len(one.relay.sent) == 1
        assert not one.exchange.is_started

    run(check)


def test_booking_that_was_refused_is_sent_to_another_replica():
    async def check():
        one = Forwarding(BOOKING, Script(REFUSED), Script())
        assert await one.forward() == 200
        first, second = one.relay.sent
        assert first.address != second.address

    run(check)


def test_booking_refused_everywhere_did_not_run():
    async def check():
        one = Forwarding(BOOKING, *[Script(REFUSED) for _ in range(9)])
        error = await one.fail()
        assert error.ran is Ran.NO
        assert one.progress.ran is Ran.NO
        assert error.retry_after_ms

    run(check)


def test_unreachable_replica_costs_no_budget():
    async def check():
        one = Forwarding(BOOKING, None, Script())
        one.policy.budget.slack = 0
        assert await one.forward() == 200

    run(check)


def test_refusal_beyond_the_budget_is_final():
    async def check():
        one = Forwarding(BOOKING, Script(REFUSED), Script())
        one.policy.budget.slack = 0
        assert (await one.fail()).ran is Ran.NO
        assert len(one.relay.sent) == 1

    run(check)


def test_booking_gets_no_promise_that_its_replica_did_not_make():
    async def check():
        bare = REFUSED._replace(did_not_run=False)
        one = Forwarding(BOOKING, Script(bare))
        assert (await one.fail()).ran is Ran.UNKNOWN

    run(check)


def test_success_without_proof_is_not_passed_on():
    async def check():
        one = Forwarding(BOOKING, Script(OK._replace(is_sealed=False)))
        assert (await one.fail()).ran is Ran.UNKNOWN
        assert not one.exchange.is_started

    run(check)


def test_truncated_answer_is_not_passed_on():
    async def check():
        one = Forwarding(BOOKING, Script(chunks=[b"ha"], ends=False))
        assert (await one.fail()).ran is Ran.UNKNOWN
        assert one.exchange.data == b""

    run(check)


def test_failed_lookup_is_tried_at_another_replica():
    async def check():
        one = Forwarding(IDEMPOTENT, Script(FAILED), Script())
        assert await one.forward() == 200
        assert one.exchange.data == b"whole"

    run(check)


def test_lookup_that_fails_twice_gets_the_replicas_answer():
    async def check():
        one = Forwarding(IDEMPOTENT, Script(FAILED), Script(FAILED), Script())
        assert await one.forward() == 500
        assert one.exchange.headers == FAILED.headers
        assert len(one.relay.sent) == IDEMPOTENT.max_attempts

    run(check)


def test_failed_booking_is_passed_on():
    async def check():
        one = Forwarding(BOOKING, Script(FAILED), Script())
        assert await one.forward() == 500
        assert len(one.relay.sent) == 1

    run(check)


def test_silent_replica_of_a_lookup_is_given_up_on():
    async def check():
        one = Forwarding(IDEMPOTENT, Script(chunks=(), hangs=True), Script())
        started_s = anyio.current_time()
        assert await one.forward() == 200
        assert anyio.current_time() - started_s < 2

    run(check)


def test_silent_replica_of_a_booking_is_waited_for():
    async def check():
        one = Forwarding(BOOKING, Script(chunks=(), hangs=True), Script())
        with anyio.move_on_after(4):
            await one.forward()
        assert len(one.relay.sent) == 1
        assert not one.exchange.is_started

    run(check)


def test_stream_passes_on_events_as_they_come():
    async def check():
        one = Forwarding(STREAM, Script(chunks=EVENTS))
        begun = []
        one.run.on_begun = lambda: begun.append(one.exchange.data)
        assert await one.forward() == 200
        assert one.exchange.data == b"".join(EVENTS)
        assert begun[0] == b""

    run(check)


def test_broken_stream_goes_on_after_its_last_whole_event():
    async def check():
        partial = [EVENTS[0], EVENTS[1][:7]]
        one = Forwarding(
            RESUMABLE,
            Script(chunks=partial, ends=False),
            Script(chunks=[EVENTS[1]]),
        )
        assert await one.forward() == 200
        assert one.exchange.data == b"".join(EVENTS)
        assert one.header(0, b"event") == b""
        assert one.header(1, b"event") == b"1"

    run(check)


def test_server_error_is_not_written_into_a_stream_that_has_begun():
    """Guards against an error's text that ends a stream as if whole."""

    async def check():
        one = Forwarding(
            RESUMABLE,
            Script(chunks=[EVENTS[0], EVENTS[1][:7]], ends=False),
            Script(FAILED, chunks=[b"oops"]),
        )
        with pytest.raises(UpstreamError):
            await one.forward()
        assert one.exchange.data == EVENTS[0]
        assert not one.exchange.is_finished

    run(check)


class Trickle(Script):
    """Send a byte now and then after the chunks."""

    async def read(self):
        """Give the next chunk or, after a while, a byte."""
        if self.chunks:
            return self.chunks.pop(0)
        await anyio.sleep(0.5)
        return b"x"


def test_stalled_stream_that_sends_single_bytes_goes_on_elsewhere():
    async def check():
        one = Forwarding(
            RESUMABLE,
            Trickle(chunks=EVENTS[:1]),
            Script(chunks=EVENTS[1:]),
        )
        started_s = anyio.current_time()
        with anyio.fail_after(60):
            assert await one.forward() == 200
        assert one.exchange.data == b"".join(EVENTS)
        gap_s = RESUMABLE.gap_ms / 1000
        most_s = max(MIN_GAP_PATIENCE_S, GAP_PATIENCE * gap_s)
        assert anyio.current_time() - started_s <= most_s + 0.5

    run(check)


def test_slow_stream_of_whole_events_is_not_cut():
    async def check():
        class Slow(Script):
            async def read(self):
                await anyio.sleep(MIN_GAP_PATIENCE_S - 0.1)
                return await super().read()

        one = Forwarding(RESUMABLE, Slow(chunks=EVENTS), Script())
        assert await one.forward() == 200
        assert one.exchange.data == b"".join(EVENTS)
        assert len(one.relay.sent) == 1

    run(check)


def test_broken_stream_that_may_not_resume_stays_cut():
    async def check():
        one = Forwarding(
            STREAM, Script(chunks=EVENTS[:1], ends=False), Script()
        )
        await one.fail()
        assert one.exchange.is_started
        assert not one.exchange.is_finished
        assert len(one.relay.sent) == 1

    run(check)


def test_vanished_inputs_are_reported_as_such():
    async def check():
        one = Forwarding(STREAM, Script(GONE), Script())
        assert isinstance(await one.fail(), InputsGoneError)
        assert len(one.relay.sent) == 1

    run(check)


def test_deadline_counts_down():
    async def check():
        one = Forwarding(IDEMPOTENT, Script(chunks=(), hangs=True), Script())
        await one.forward()
        first, second = (int(one.header(n, b"left")) for n in (0, 1))
        assert second <= first - 900

    run(check)


def test_replica_chosen_before_an_evacuation_is_chosen_again():
    async def check():
        forwarding = Forwarding(IDEMPOTENT, Script(), Script())
        work = forwarding.run.work
        preferred = make_vm("v1")
        forwarding.run.work = work._replace(preferred=preferred)
        forwarding.policy.pool = lambda service: (make_vm("v2"),)
        await forwarding.forward()
        assert forwarding.header(0, b"instance") == b"v2"

    run(check)


def test_stream_does_not_go_on_in_an_evacuated_place():
    """Guards against a second send to a place evacuated in between."""

    async def check():
        cut = Script(chunks=[b"id: 1\ndata: x\n\n"], ends=False)
        forwarding = Forwarding(RESUMABLE, cut, Script())
        pools = [(make_vm("v1"),), ()]
        forwarding.policy.pool = lambda service: pools.pop(0)
        error = await forwarding.fail()
        assert error.detail == "reset"
        assert len(forwarding.relay.sent) == 1

    run(check)


def test_second_send_stays_in_permitted_places():
    async def check():
        forwarding = Forwarding(IDEMPOTENT, Script(REFUSED), Script())
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


def test_stalled_stream_that_may_not_resume_is_cut_when_its_caller_leaves():
    async def check():
        one = Forwarding(STREAM, Trickle(chunks=EVENTS[:1]), Script())
        started_s = anyio.current_time()
        with anyio.fail_after(4):
            assert (await one.fail()).ran is Ran.UNKNOWN
        elapsed_s = anyio.current_time() - started_s
        assert abs(elapsed_s - first_event_s(STREAM)) <= 0.5
        assert one.exchange.data.startswith(EVENTS[0])
        assert not one.exchange.is_finished

    run(check)


def test_stream_without_a_bound_on_gaps_may_be_silent():
    async def check():
        class Rare(Script):
            async def read(self):
                await anyio.sleep(4 * first_event_s(STREAM))
                return await super().read()

        one = Forwarding(STREAM._replace(gap_ms=0), Rare(chunks=[b"a", b"b"]))
        assert await one.forward() == 200
        assert one.exchange.data == b"ab"

    run(check)


def test_slow_stream_that_may_not_resume_is_not_cut():
    async def check():
        class Slow(Script):
            async def read(self):
                await anyio.sleep(first_event_s(STREAM) - 0.1)
                return await super().read()

        one = Forwarding(STREAM, Slow(chunks=EVENTS * 3))
        assert await one.forward() == 200
        assert one.exchange.data == b"".join(EVENTS * 3)

    run(check)


def test_event_without_end_goes_on_elsewhere():
    async def check():
        endless = [b"data: ", *[b"x" * 2**16] * 17]
        one = Forwarding(
            RESUMABLE,
            Script(chunks=endless, hangs=True),
            Script(chunks=EVENTS),
        )
        started_s = anyio.current_time()
        assert await one.forward() == 200
        assert anyio.current_time() == started_s
        assert one.exchange.data == b"".join(EVENTS)

    run(check)


def test_slow_caller_is_no_silent_replica():
    # Else a send is cancelled within an event, which the next replica's
    # events then follow.
    async def check(route, chunks):
        one = Forwarding(route, Script(chunks=chunks), Script())
        send = one.exchange.send

        async def slow(data):
            await anyio.sleep(2)
            await send(data)

        one.exchange.send = slow
        assert await one.forward() == 200
        assert one.exchange.data == b"".join(chunks)
        assert len(one.relay.sent) == 1

    run(lambda: check(RESUMABLE, EVENTS))
    run(lambda: check(IDEMPOTENT, [b"x" * 2**19] * 5))


def test_large_failed_answer_that_has_begun_is_passed_on_to_its_end():
    """Guards against a retry that can't be, which cut the answer."""

    async def check():
        chunks = [b"x" * (BUFFERED_BYTES + 1), b"end"]
        one = Forwarding(IDEMPOTENT, Script(FAILED, chunks), Script())
        assert await one.forward() == 500
        assert one.exchange.data == b"".join(chunks)
        assert one.exchange.is_finished
        assert len(one.relay.sent) == 1
        assert one.exchange.held_bytes == 0

    run(check)


def test_large_answer_that_has_begun_may_be_slow():
    """Guards against giving up on a replica that none can replace."""

    async def check():
        class Slow(Script):
            async def read(self):
                await anyio.sleep(0.8)
                return await super().read()

        chunks = [b"x" * (BUFFERED_BYTES + 1), b"end"]
        one = Forwarding(IDEMPOTENT, Slow(chunks=chunks), Script())
        assert await one.forward() == 200
        assert one.exchange.data == b"".join(chunks)
        assert len(one.relay.sent) == 1

    run(check)


def test_buffered_answers_count_as_held_until_they_are_sent():
    async def check(route, *scripts):
        one = Forwarding(route, *scripts)
        seen = []
        send = one.exchange.send

        async def note(data):
            seen.append(one.exchange.held_bytes - len(data))
            await send(data)

        one.exchange.send = note
        await one.forward()
        return seen, one.exchange.held_bytes

    async def check_all():
        big = Script(chunks=[b"x" * 2**19] * 5)
        assert await check(BOOKING, big) == ([0, 0], 0)
        # The kept failure is held beside the answer that betters it.
        failed = Script(FAILED, chunks=[b"x" * 50])
        assert await check(IDEMPOTENT, failed, Script()) == ([50], 50)
        cut = [EVENTS[0], EVENTS[1][:7]]
        _, left = await check(
            RESUMABLE,
            Script(chunks=cut, ends=False),
            Script(chunks=EVENTS[1:]),
        )
        assert left == 0

    run(check_all)
