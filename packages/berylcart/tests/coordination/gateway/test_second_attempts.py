"""Test hedged second attempts and which attempt sends the response."""

import random
from functools import partial
from itertools import count

import anyio
import pytest
from berylcart import events
from berylcart.coordination.gateway.first_event_timeout import (
    first_event_timeout_s,
)
from berylcart.coordination.gateway.forward_run import (
    ForwardRun,
    RoutedRequest,
)
from berylcart.coordination.gateway.forwarder import Forwarder
from berylcart.coordination.gateway.response_forwarder import BUFFERED_BYTES
from berylcart.coordination.gateway.second_attempts import (
    MAX_SAMPLES,
    MIN_SAMPLES,
    RECENT_S,
    REFUSAL_S,
    WINDOW_S,
    HedgeOutcome,
    HedgeSkipReason,
    HedgingPolicy,
    TimeKey,
    nearest_rank,
)
from berylcart.coordination.policy.ejection import MAX_CONSECUTIVE_FAILURES
from berylcart.coordination.policy.load_table import replica_key
from berylcart.state.errors import Code, Ran, UpstreamError
from berylcart.state.request import Progress

from ..gateway_fakes import (
    BOOKING,
    FAILED,
    GONE,
    IDEMPOTENT,
    OK,
    REFUSED,
    RESUMABLE,
    SERVICE,
    STREAM,
    FakeExchange,
    FakeRelay,
    FakeWire,
    Forwarding,
    ScriptedResponse,
    make_keeper,
    make_policy,
    make_request,
    make_vm,
)
from ..serving_fakes import run

SHARE = 0.05
DELAY_S = 0.1
EVENTS = (b"id: 1\ndata: a\n\n", b"id: 2\ndata: b\n\n")
KEY = TimeKey(SERVICE, False, 0)


class ConnectionReset(ScriptedResponse):
    """Reset the connection after a delay."""

    async def read(self):
        """Raise a connection reset."""
        raise UpstreamError(Code.UPSTREAM_FAILED, "reset", ran=Ran.UNKNOWN)


def hanging():
    return ScriptedResponse(chunks=(), hangs=True)


def delayed(after_s, *args, **fields):
    return ScriptedResponse(*args, starts_after_s=after_s, **fields)


def hedged(route, *scripts, **fields):
    return Forwarding(route, *scripts, share=SHARE, **fields)


def next_request(forwarding, *scripts):
    """Prepare another request with the same recorded latencies."""
    other = hedged(IDEMPOTENT, *scripts)
    other.policy = other.forwarder.policy = forwarding.policy
    forwarding.policy.budget.record_request(SERVICE, 100)
    forwarding.hedger.on_outcome = other.hedger.on_outcome
    other.hedger = other.forwarder.hedger = forwarding.hedger
    return other


def extra_sends_counted(forwarding):
    """Return the extra sends counted by both budgets."""
    windows = (forwarding.hedger.window, forwarding.policy.budget)
    return [
        sum(n for _, n in each.extra_sends.get(SERVICE, ()))
        for each in windows
    ]


def test_second_attempt_wins_over_a_stalled_replica():
    async def check():
        forwarding = hedged(IDEMPOTENT, hanging(), ScriptedResponse())
        started_s = anyio.current_time()
        assert await forwarding.forward() == 200
        assert anyio.current_time() - started_s == pytest.approx(DELAY_S)
        first, second = forwarding.relay.sent
        assert first.address != second.address
        assert forwarding.relay.closed == [first.address]
        assert forwarding.exchange.data == b"whole"
        assert forwarding.exchange.is_finished
        assert forwarding.progress.ran is Ran.YES
        assert not forwarding.progress.open_attempts
        assert forwarding.outcomes == [HedgeOutcome.WON]
        assert forwarding.run.runs == 2

    run(check)


def test_second_attempt_and_its_end_are_logged(monkeypatch):
    lines = {}
    monkeypatch.setattr(
        events, "write", lambda _, name, fields: lines.update({name: fields})
    )

    async def check():
        await hedged(IDEMPOTENT, hanging(), ScriptedResponse()).forward()

    run(check)
    begun = lines["attempt.second_started"]
    assert begun["request_id"] == "r1"
    assert begun["quantile_ms"] == 100
    assert begun["delay_ms"] in (99, 100)
    assert begun["vm_id"] != begun["first_vm_id"]
    ended = lines["attempt.second_ended"]
    assert ended["vm_id"] == begun["vm_id"]
    assert ended["outcome"] is HedgeOutcome.WON


def test_fast_first_attempt_is_not_hedged():
    async def check():
        forwarding = hedged(
            IDEMPOTENT, delayed(DELAY_S - 0.01), ScriptedResponse()
        )
        await forwarding.forward()
        assert len(forwarding.relay.sent) == 1
        assert not forwarding.outcomes

    run(check)


def test_slow_first_attempt_may_still_win():
    async def check():
        forwarding = hedged(
            IDEMPOTENT, delayed(0.2, chunks=[b"a"]), delayed(0.2)
        )
        await forwarding.forward()
        assert forwarding.exchange.data == b"a"
        assert forwarding.relay.closed == [forwarding.relay.sent[1].address]
        assert forwarding.outcomes == [HedgeOutcome.LOST]

    run(check)


def test_started_response_is_not_hedged():
    """Guards against hedging if only the body takes long."""

    async def check():
        class Slow(ScriptedResponse):
            async def read(self):
                await anyio.sleep(DELAY_S * 0.9)
                return await super().read()

        forwarding = hedged(
            IDEMPOTENT, Slow(chunks=[b"a", b"b", b"c"]), ScriptedResponse()
        )
        await forwarding.forward()
        assert forwarding.exchange.data == b"abc"
        assert len(forwarding.relay.sent) == 1

    run(check)


@pytest.mark.parametrize("route", [BOOKING, STREAM._replace(gap_ms=0)])
def test_request_that_may_run_once_is_not_hedged(route):
    async def check():
        forwarding = hedged(
            route._replace(max_attempts=3), hanging(), ScriptedResponse()
        )
        with anyio.move_on_after(4):
            await forwarding.forward()
        assert len(forwarding.relay.sent) == 1

    run(check)


def test_non_repeatable_stream_times_out_without_another_attempt():
    async def check():
        forwarding = hedged(
            STREAM._replace(max_attempts=3), hanging(), ScriptedResponse()
        )
        started_s = anyio.current_time()
        assert (await forwarding.fail()).ran is Ran.UNKNOWN
        elapsed_s = anyio.current_time() - started_s
        assert elapsed_s == pytest.approx(first_event_timeout_s(STREAM))
        assert len(forwarding.relay.sent) == 1

    run(check)


def test_hedging_respects_max_attempts():
    async def check():
        once = IDEMPOTENT._replace(max_attempts=1)
        forwarding = hedged(once, delayed(2), ScriptedResponse())
        await forwarding.forward()
        assert len(forwarding.relay.sent) == 1

    run(check)


def test_retry_counts_towards_max_attempts():
    """Guards against a third execution if the route allows two."""

    async def check():
        forwarding = hedged(
            IDEMPOTENT,
            ScriptedResponse(FAILED),
            delayed(2),
            ScriptedResponse(),
        )
        await forwarding.forward()
        assert len(forwarding.relay.sent) == 2

    run(check)


def test_request_is_not_hedged_once_its_inputs_are_dropped():
    async def check():
        forwarding = hedged(
            RESUMABLE, delayed(0.4, chunks=EVENTS), ScriptedResponse()
        )
        forwarding.run.on_sent = lambda _: None
        forwarding.run.has_inputs = lambda: not forwarding.relay.sent
        await forwarding.forward()
        assert len(forwarding.relay.sent) == 1

    run(check)


def test_no_hedging_without_a_share_or_samples(monkeypatch):
    async def no_race(*_):
        raise AssertionError

    module = "berylcart.coordination.gateway.forwarder.first_reply"
    monkeypatch.setattr(module, no_race)

    async def check():
        forwarding = Forwarding(IDEMPOTENT, delayed(0.5))
        assert await forwarding.forward() == 200
        other = hedged(IDEMPOTENT, delayed(0.5))
        other.hedger.times.clear()
        for _ in range(MIN_SAMPLES - 1):
            other.hedger.add_latency(other.run.time_key, 10.0)
        assert await other.forward() == 200

    run(check)


def test_second_attempt_prefers_another_place():
    async def check():
        forwarding = hedged(IDEMPOTENT, hanging(), ScriptedResponse())
        vms = [make_vm(f"v{number}") for number in range(5)]
        far = make_vm("far", place="lahore-2")
        forwarding.policy.pool = lambda service: tuple(
            [far, *vms] if forwarding.relay.sent else vms
        )
        await forwarding.forward()
        assert forwarding.relay.sent[1].address == far.address

    run(check)


def test_second_attempt_avoids_ejected_replicas():
    async def check():
        forwarding = hedged(IDEMPOTENT, hanging(), ScriptedResponse())
        near = [make_vm("v1"), make_vm("v2")]
        far = make_vm("far", place="lahore-2")
        for _ in range(MAX_CONSECUTIVE_FAILURES):
            forwarding.policy.ejector.record_outcome(far, 10.0, is_ok=False)
        forwarding.policy.pool = lambda service: (far, *near)
        await forwarding.forward()
        assert {each.address for each in forwarding.relay.sent} == {
            each.address for each in near
        }

    run(check)


def test_only_replica_gets_no_second_attempt():
    async def check():
        forwarding = hedged(
            IDEMPOTENT, delayed(0.4), ScriptedResponse(), vms=("v1",)
        )
        assert await forwarding.forward() == 200
        assert forwarding.skips == [HedgeSkipReason.NO_REPLICA]
        assert extra_sends_counted(forwarding) == [0, 0]

    run(check)


def test_exhausted_share_does_not_use_the_retry_budget():
    async def check():
        forwarding = hedged(IDEMPOTENT, delayed(0.4), ScriptedResponse())
        while forwarding.hedger.window.try_take(SERVICE):
            pass
        assert await forwarding.forward() == 200
        assert forwarding.skips == [HedgeSkipReason.BUDGET]
        assert extra_sends_counted(forwarding) == [5, 0]

    run(check)


def test_exhausted_retry_budget_does_not_use_the_share():
    async def check():
        forwarding = hedged(IDEMPOTENT, delayed(0.4), ScriptedResponse())
        forwarding.policy.budget.slack = 0
        forwarding.policy.budget.ratio = 0
        assert await forwarding.forward() == 200
        assert forwarding.skips == [HedgeSkipReason.BUDGET]
        assert extra_sends_counted(forwarding) == [0, 0]

    run(check)


def test_second_attempt_takes_from_both_budgets():
    async def check():
        forwarding = hedged(IDEMPOTENT, hanging(), ScriptedResponse())
        await forwarding.forward()
        assert extra_sends_counted(forwarding) == [1, 1]

    run(check)


def test_no_hedging_while_replicas_reject_requests():
    async def check():
        forwarding = hedged(
            IDEMPOTENT,
            ScriptedResponse(REFUSED),
            delayed(0.4),
            ScriptedResponse(),
        )
        assert await forwarding.forward() == 200
        assert forwarding.skips == [HedgeSkipReason.REFUSALS]
        await anyio.sleep(REFUSAL_S)
        assert forwarding.hedger.skip_reason(SERVICE) is None

    run(check)


def test_no_hedging_while_all_replicas_are_slow():
    """Guards against adding load when overload causes the delays."""

    async def check():
        forwarding = hedged(IDEMPOTENT)
        for time_ms in [100.0] * 40 + [250.0] * 10:
            await anyio.sleep(RECENT_S / 10)
            forwarding.hedger.add_latency(KEY, time_ms)
        assert (
            forwarding.hedger.skip_reason(SERVICE) is HedgeSkipReason.OVERLOAD
        )
        await anyio.sleep(RECENT_S)
        forwarding.policy.budget.record_request(SERVICE, 100)
        assert forwarding.hedger.skip_reason(SERVICE) is None

    run(check)


class GatedScript(ScriptedResponse):
    """Send nothing before an event is set."""

    def __init__(self, gate, chunks):
        super().__init__(chunks=chunks)
        self.gate = gate

    async def read(self):
        """Return the next chunk once the gate is open."""
        if not self.gate.is_set():
            await self.gate.wait()
        return await super().read()


@pytest.mark.parametrize("route", [IDEMPOTENT, RESUMABLE])
def test_simultaneous_responses_are_not_mixed(route):
    """Guards against responses mixed from both attempts.

    The gate makes both attempts runnable at once, so that the loser continues
    before its cancellation is delivered.
    """

    async def check():
        bodies = [
            tuple(each.replace(b"data", letter) for each in EVENTS)
            for letter in (b"one", b"two")
        ]
        for _ in range(20):
            gate = anyio.Event()
            forwarding = hedged(
                route, *[GatedScript(gate, each) for each in bodies]
            )
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(forwarding.forward)
                await anyio.sleep(0.5)
                gate.set()
            assert forwarding.exchange.data in [
                b"".join(each) for each in bodies
            ]
            assert forwarding.exchange.is_finished
            assert len(forwarding.relay.sent) == 2
            assert len(forwarding.relay.closed) == 1
            assert not forwarding.progress.open_attempts

    run(check)


def test_large_response_claims_the_client_with_its_first_part():
    async def check():
        part = b"x" * (BUFFERED_BYTES + 1)
        forwarding = hedged(
            IDEMPOTENT, delayed(0.5), delayed(0.1, chunks=[part, b"end"])
        )
        await forwarding.forward()
        assert forwarding.exchange.data == part + b"end"
        assert forwarding.relay.closed == [forwarding.relay.sent[0].address]

    run(check)


def test_stream_of_the_winner_has_only_its_own_events():
    """Guards against an event with parts of both streams."""

    async def check():
        gate = anyio.Event()
        begun = ScriptedResponse(
            chunks=[b"id: 9\nda"], hangs=True, starts_after_s=0.2
        )
        forwarding = hedged(RESUMABLE, begun, GatedScript(gate, EVENTS))
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(forwarding.forward)
            await anyio.sleep(0.3)
            gate.set()
        assert forwarding.exchange.data == b"".join(EVENTS)
        assert forwarding.outcomes == [HedgeOutcome.WON]

    run(check)


@pytest.mark.parametrize("ending", [{"hangs": True}, {"ends": False}])
@pytest.mark.parametrize("route", [IDEMPOTENT, RESUMABLE])
def test_bytes_of_a_losing_attempt_are_released(route, ending):
    async def check():
        begun = delayed(0.2, chunks=[b"id: 9\nda"], **ending)
        forwarding = hedged(route, begun, delayed(0.3, chunks=EVENTS))
        seen = []
        hold = forwarding.exchange.add_buffered

        def note(count_bytes):
            hold(count_bytes)
            seen.append(forwarding.exchange.held_bytes)

        forwarding.exchange.add_buffered = note
        await forwarding.forward()
        assert seen[0] == len(b"id: 9\nda")
        assert forwarding.exchange.held_bytes == 0
        assert forwarding.exchange.data == b"".join(EVENTS)

    run(check)


def test_incomplete_event_from_before_a_race_is_released():
    async def check():
        forwarding = hedged(RESUMABLE, hanging(), delayed(0.1, chunks=EVENTS))
        forwarding.run.split_stream(forwarding.run.splitter, b"id: 1\nda")
        assert forwarding.exchange.held_bytes
        await forwarding.forward()
        assert forwarding.exchange.held_bytes == 0
        assert forwarding.exchange.data == b"".join(EVENTS)

    run(check)


@pytest.mark.parametrize("route", [IDEMPOTENT, RESUMABLE])
def test_slow_client_of_the_winner_does_not_time_out(route):
    """Guards against abandoning the winner while its client reads slowly."""

    async def check():
        parts = [b"x" * (BUFFERED_BYTES + 1), b"end"]
        chunks = EVENTS if route is RESUMABLE else parts
        plenty = route._replace(max_attempts=3)
        forwarding = hedged(
            plenty,
            hanging(),
            ScriptedResponse(chunks=chunks),
            ScriptedResponse(),
        )
        send = forwarding.exchange.send

        async def slow(data):
            await anyio.sleep(2)
            await send(data)

        forwarding.exchange.send = slow
        assert await forwarding.forward() == 200
        assert forwarding.exchange.data == b"".join(chunks)
        assert len(forwarding.relay.sent) == 2

    run(check)


def test_inputs_are_not_dropped_before_a_stream_has_won():
    async def check():
        begun = ScriptedResponse(
            chunks=[b"id: 9\nda"], hangs=True, starts_after_s=0.2
        )
        forwarding = hedged(RESUMABLE, begun, delayed(0.2, chunks=EVENTS))
        begun_s = []
        forwarding.run.on_response_started = lambda: begun_s.append(
            anyio.current_time()
        )
        started_s = anyio.current_time()
        await forwarding.forward()
        assert begun_s[0] - started_s == pytest.approx(0.3)

    run(check)


def test_winner_that_fails_midway_aborts_the_stream():
    async def check():
        broken = ScriptedResponse(chunks=EVENTS[:1], ends=False)
        forwarding = hedged(RESUMABLE, hanging(), broken, ScriptedResponse())
        error = await forwarding.fail()
        assert error.ran is Ran.UNKNOWN
        assert forwarding.exchange.data == EVENTS[0]
        assert not forwarding.exchange.is_finished
        # The second attempt was the last one that the route allows.
        assert len(forwarding.relay.sent) == 2
        assert forwarding.outcomes == [HedgeOutcome.ABORTED]

    run(check)


def test_winner_that_fails_midway_is_resumed_within_max_attempts():
    async def check():
        route = RESUMABLE._replace(max_attempts=3)
        broken = ScriptedResponse(chunks=EVENTS[:1], ends=False)
        last = ScriptedResponse(chunks=EVENTS[1:])
        forwarding = hedged(route, hanging(), broken, last)
        assert await forwarding.forward() == 200
        assert forwarding.exchange.data == b"".join(EVENTS)
        assert [forwarding.header(n, b"event") for n in range(3)] == [
            b"",
            b"",
            b"1",
        ]
        assert len({each.address for each in forwarding.relay.sent}) == 3

    run(check)


def test_cancellation_ends_both_attempts():
    async def check():
        forwarding = hedged(IDEMPOTENT, hanging(), hanging())
        with anyio.move_on_after(0.5):
            await forwarding.forward()
        assert len(forwarding.relay.closed) == 2
        assert forwarding.outcomes == [HedgeOutcome.CUT]
        assert not forwarding.exchange.is_started
        assert forwarding.progress.ran is Ran.UNKNOWN
        assert not forwarding.progress.open_attempts
        loads = forwarding.policy.load_table.loads.values()
        assert not any(each.in_flight for each in loads)

    run(check)


@pytest.mark.parametrize(
    "failing",
    [
        ConnectionReset(starts_after_s=0.05),
        ScriptedResponse(FAILED),
        ScriptedResponse(REFUSED),
    ],
)
def test_failed_second_attempt_does_not_fail_the_request(failing):
    async def check():
        forwarding = hedged(
            IDEMPOTENT, delayed(0.5), failing, ScriptedResponse()
        )
        assert await forwarding.forward() == 200
        assert forwarding.exchange.data == b"whole"
        assert len(forwarding.relay.sent) == 2
        assert forwarding.outcomes == [HedgeOutcome.FAILED]
        assert forwarding.run.failure is None

    run(check)


@pytest.mark.parametrize("head", [FAILED, REFUSED, OK._replace(status=429)])
def test_failed_first_attempt_does_not_fail_the_request(head):
    async def check():
        forwarding = hedged(
            IDEMPOTENT, delayed(0.2, head), delayed(0.3), ScriptedResponse()
        )
        assert await forwarding.forward() == 200
        assert forwarding.exchange.data == b"whole"
        assert len(forwarding.relay.sent) == 2

    run(check)


def test_large_failed_response_yields_to_the_other_attempt():
    async def check():
        part = b"x" * (BUFFERED_BYTES + 1)
        forwarding = hedged(
            IDEMPOTENT, delayed(0.2, FAILED, [part]), delayed(0.3)
        )
        assert await forwarding.forward() == 200
        assert forwarding.exchange.data == b"whole"

    run(check)


@pytest.mark.parametrize("is_first_refused", [True, False])
def test_one_rejection_of_two_does_not_prove_that_nothing_ran(
    is_first_refused,
):
    """Guards against Ran.NO if one of two attempts may have been executed."""

    async def check():
        refusal, reset = (0.2, REFUSED), ConnectionReset(starts_after_s=0.3)
        scripts = [delayed(*refusal), reset]
        if not is_first_refused:
            scripts = [reset, delayed(*refusal)]
        forwarding = hedged(IDEMPOTENT, *scripts, None, None)
        error = await forwarding.fail()
        assert forwarding.progress.ran is Ran.UNKNOWN
        assert forwarding.run.runs == 1
        assert error.retry_after_ms is None

    run(check)


def test_request_is_resent_after_both_attempts_were_rejected():
    async def check():
        forwarding = hedged(
            IDEMPOTENT,
            delayed(0.2, REFUSED),
            delayed(0.2, REFUSED),
            ScriptedResponse(),
        )
        assert await forwarding.forward() == 200
        assert forwarding.run.runs == 1
        # The second attempt and the send after it.
        assert extra_sends_counted(forwarding) == [1, 2]

    run(check)


def test_request_rejected_by_both_attempts_was_not_executed():
    async def check():
        refusals = [delayed(0.2, REFUSED) for _ in range(2)]
        forwarding = hedged(IDEMPOTENT, *refusals, vms=("v1", "v2"))
        error = await forwarding.fail()
        assert error.ran is Ran.NO
        assert forwarding.progress.ran is Ran.NO
        assert error.retry_after_ms

    run(check)


def test_one_of_two_failed_responses_is_forwarded():
    async def check():
        forwarding = hedged(
            IDEMPOTENT, delayed(0.2, FAILED), delayed(0.3, FAILED)
        )
        assert await forwarding.forward() == 500
        assert forwarding.exchange.headers == FAILED.headers
        assert forwarding.exchange.data == b"whole"

    run(check)


def test_failed_response_is_forwarded_if_the_other_is_reset():
    async def check():
        forwarding = hedged(
            IDEMPOTENT,
            delayed(0.2, FAILED),
            ConnectionReset(starts_after_s=0.3),
        )
        assert await forwarding.forward() == 500
        assert forwarding.progress.ran is Ran.YES

    run(check)


def test_lost_inputs_reported_by_one_attempt_take_precedence():
    async def check():
        forwarding = hedged(
            RESUMABLE,
            ConnectionReset(starts_after_s=0.3),
            delayed(0.1, GONE),
            ScriptedResponse(),
        )
        error = await forwarding.fail()
        assert error.code is Code.UPSTREAM_REJECTED
        assert error.ran is Ran.UNKNOWN
        assert len(forwarding.relay.sent) == 2

    run(check)


def test_client_disconnect_raises_its_own_error():
    """Guards against an exception group, which connections do not handle."""

    async def check():
        forwarding = hedged(IDEMPOTENT, hanging(), ScriptedResponse())

        async def start(status, headers):
            raise BrokenPipeError

        forwarding.exchange.start = start
        with pytest.raises(BrokenPipeError):
            await forwarding.forward()
        assert len(forwarding.relay.closed) == 2

    run(check)


def test_single_lost_attempt_does_not_count_as_a_failure():
    async def check():
        forwarding = hedged(IDEMPOTENT, hanging(), ScriptedResponse())
        await forwarding.forward()
        slow = make_vm(forwarding.relay.sent[0].address.removesuffix(":80"))
        assert not forwarding.policy.ejector.is_ejected(slow)
        replica = forwarding.policy.ejector._find_or_create(slow)
        assert not replica.consecutive_failures

    run(check)


def test_stalled_replica_is_ejected_as_without_second_attempts():
    """Guards against second attempts that hide a stalled replica."""

    async def check():
        loads = [
            SimulatedLoad(share, slow_share=0.0, stalled="v2")
            for share in (0, SHARE)
        ]
        for load in loads:
            await load.play(2200)
            assert load.policy.ejector.is_ejected(make_vm("v2"))
        without, hedged = loads
        assert hedged.stalled_sends <= without.stalled_sends + 1

    run(check)


def test_consecutive_lost_attempts_eject_a_silent_replica():
    async def check():
        forwarding = hedged(IDEMPOTENT)
        vm = make_vm("v1")
        for _ in range(20):
            forwarding.policy.ejector.record_outcome(
                make_vm("v2"), 10.0, is_ok=True
            )
        is_ejected = []
        for _ in range(6):
            forwarding = next_request(
                forwarding, hanging(), ScriptedResponse()
            )
            forwarding.run.work = forwarding.run.work._replace(preferred=vm)
            await forwarding.forward()
            assert forwarding.outcomes == [HedgeOutcome.WON]
            is_ejected.append(forwarding.policy.ejector.is_ejected(vm))
            await anyio.sleep(0.25)
        # From the fourth lost attempt on, it has been silent for 1 s.
        assert is_ejected == [False] * 5 + [True]

    run(check)


def test_early_losing_attempt_does_not_count_as_a_stall():
    """Guards against counting a failure of the second attempt's replica."""

    async def check():
        forwarding = hedged(
            IDEMPOTENT, delayed(DELAY_S + 0.01), hanging(), vms=("v1", "v2")
        )
        other = make_vm("v2")
        forwarding.run.work = forwarding.run.work._replace(
            preferred=make_vm("v1")
        )
        forwarding.hedger.silent_since_s[replica_key(other)] = -99.0
        await forwarding.forward()
        assert forwarding.outcomes == [HedgeOutcome.LOST]
        assert not forwarding.policy.ejector._find_or_create(
            other
        ).consecutive_failures

    run(check)


def test_replica_that_responds_to_others_has_not_stalled():
    async def check():
        hedger = HedgingPolicy(SHARE, make_policy(make_keeper()).budget)
        vm = make_vm("v1")

        def has_stalled():
            return hedger.record_silence(KEY, vm, anyio.current_time(), 1.0)

        assert not has_stalled()
        await anyio.sleep(0.9)
        hedger.record_first_byte(KEY, vm, 10.0)
        await anyio.sleep(0.9)
        assert not has_stalled()
        await anyio.sleep(1.1)
        assert has_stalled()

    run(check)


def test_latency_samples_are_bounded_and_expire():
    async def check():
        hedger = HedgingPolicy(SHARE, make_policy(make_keeper()).budget)
        for number in range(1000):
            hedger.add_latency(KEY, float(number))
        assert len(hedger.times[KEY].samples) == MAX_SAMPLES
        assert hedger.delay_ms(KEY) > 900
        assert hedger.delay_ms(KEY._replace(size_class=3)) is None
        await anyio.sleep(WINDOW_S + 1)
        assert hedger.delay_ms(KEY) is None

    run(check)


def draw_time_s(random, slow_share):
    """Draw 40 to 80 ms, plus 1,000 ms for a share of the responses."""
    is_slow = random.random() < slow_share
    return random.uniform(0.04, 0.08) + is_slow


class SimulatedLoad:
    """Simulate requests with random latencies and maybe a stalled replica."""

    def __init__(self, share=SHARE, slow_share=0.02, stalled=""):
        self.random = random.Random(7)
        self.draw_s = partial(draw_time_s, self.random, slow_share)
        self.stalled = stalled
        names = tuple(f"v{number}" for number in range(1, 7))
        self.policy = make_policy(make_keeper(IDEMPOTENT), names)
        self.hedger = None
        if share:
            self.hedger = HedgingPolicy(share, self.policy.budget)
        self.relay = FakeRelay()
        self.relay.exchange = self.exchange
        self.forwarder = Forwarder(
            self.relay, self.policy, FakeWire(), hedger=self.hedger
        )
        self.sends = 0
        self.stalled_sends = 0
        self.times_ms = []
        self.numbers = count()

    def exchange(self, request, on_sent):
        """Answer with a random latency."""
        self.sends += 1
        after_s = self.draw_s()
        if request.address == f"{self.stalled}:80":
            self.stalled_sends += 1
            after_s = 3600.0
        return FakeRelay(delayed(after_s)).exchange(request, on_sent)

    async def request(self):
        """Send one request and record its latency."""
        exchange = FakeExchange()
        route = IDEMPOTENT._replace(target_ms=1000)
        deadline_s = exchange.received_at_s + 5
        name = f"r{next(self.numbers)}"
        work = RoutedRequest(
            make_request(request_id=name), route, SERVICE, None, deadline_s
        )
        self.policy.budget.record_request(SERVICE)
        await self.forwarder.forward(ForwardRun(work, exchange, Progress()))
        assert exchange.data == b"whole"
        taken_s = anyio.current_time() - exchange.received_at_s
        self.times_ms.append(taken_s * 1000)

    async def play(self, requests):
        """Send requests at a rate of 20 per second."""
        async with anyio.create_task_group() as tasks:
            for _ in range(requests):
                tasks.start_soon(self.request)
                await anyio.sleep(0.05)

    def quantile_ms(self, q):
        """Return a quantile of the recorded latencies."""
        return nearest_rank(sorted(self.times_ms), q)


def test_hedging_reduces_tail_latency_with_two_percent_slow_responses():
    """Measures the benefit and cost of second attempts (run with -s)."""

    async def check():
        loads = {
            share: SimulatedLoad(share) for share in (0.0, 0.02, 0.05, 0.1)
        }
        for load in loads.values():
            await load.play(2000)
        for share, load in loads.items():
            print(  # noqa: T201
                f"share {share}: p50 {load.quantile_ms(0.5):.0f} ms, "
                f"p99 {load.quantile_ms(0.99):.0f} ms, "
                f"{load.sends - 2000} extra sends of 2000"
            )
        without = loads.pop(0.0)
        assert without.sends == 2000
        assert without.quantile_ms(0.99) > 1000
        for share, load in loads.items():
            assert 2000 < load.sends <= 2000 * (1 + share)
            assert load.quantile_ms(0.5) < without.quantile_ms(0.5) + 5
        assert loads[0.05].quantile_ms(0.99) < 500
        assert loads[0.1].quantile_ms(0.99) < 500

    run(check)


def test_second_attempts_that_win_do_not_lower_the_delay():
    """Guards against a delay that falls because slow samples are missing.

    Without the latencies of losing attempts there were 327 extra sends.
    """

    async def check():
        load = SimulatedLoad(share=0.2)
        load.draw_s = partial(load.random.expovariate, 1 / 0.05)
        await load.play(3000)
        assert load.sends <= 3000 * 1.07

    run(check)
