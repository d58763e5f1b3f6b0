"""Test which requests a stopping daemon takes and how it ends the others."""

import random
from types import SimpleNamespace

import anyio
import pytest
from berylcart.clock import now_s
from berylcart.coordination.gateway.drain import Drain, drain_schedule
from berylcart.coordination.gateway.response_times import ResponseTime
from berylcart.state.errors import BerylcartError, Code, Ran
from berylcart.state.relay_messages import Prompt
from berylcart_daemon.gateway_stop import GatewayStop

from ..gateway_fakes import (
    BOOKING,
    OK,
    REFUSED,
    RESUMABLE,
    STAGED,
    STREAM,
    FakeExchange,
    ScriptedResponse,
    make_request,
)
from ..serving_fakes import run
from .test_gateway import Rig

GRACE_S = 8.0
EVENT = b"id: 1\ndata: x\n\n"
HANGING = {"starts_after_s": 60.0}


@pytest.mark.parametrize("grace_s", [0.1, 1.0, 3.0, 8.0, 300.0])
def test_stop_ends_within_any_grace_period(grace_s):
    schedule = drain_schedule(0.0, grace_s, 1.0)
    assert 0 < schedule.late_s <= schedule.refuse_s <= schedule.answer_s
    assert schedule.answer_s < schedule.end_s < grace_s


def test_running_daemon_takes_requests_of_unknown_duration():
    Drain().check_arrival(100.0, None)


@pytest.mark.parametrize(
    ("deadline_s", "expected_s", "is_taken"),
    [
        (15.0, None, False),
        (7.0, None, True),
        (15.0, 6.0, True),
        (15.0, 7.2, False),
        (7.0, 60.0, True),
    ],
)
def test_stopping_daemon_takes_what_may_end_in_time(
    deadline_s, expected_s, is_taken
):
    async def check():
        drain = Drain()
        started_s = now_s()
        drain.begin(drain_schedule(started_s, GRACE_S, 1.0))
        deadline_at_s = started_s + deadline_s
        if is_taken:
            drain.check_arrival(deadline_at_s, expected_s)
            return
        with pytest.raises(BerylcartError) as raised:
            drain.check_arrival(deadline_at_s, expected_s)
        assert raised.value.code is Code.DRAINING
        assert raised.value.ran is Ran.NO
        assert raised.value.retry_after_ms

    run(check)


class QuietServer:
    """Stand in for the server of callers without incomplete requests."""

    def close_idle(self):
        """Close nothing."""

    def refuse_incomplete(self):
        """Refuse nothing."""

    async def wait_quiet(self):
        """Return at once."""


class StoppingRig(Rig):
    """Stop a gateway with scripted replicas."""

    def __init__(self, route, *scripts):
        super().__init__(route._replace(timeout_ms=15_000), *scripts)
        self.wire.request = make_request(
            api_key="k1",
            piece_counts=(1,) * len(route.stages),
            deadline_ms=15_000,
        )
        self.exchanges = []
        self.started_s = 0.0
        self.router = SimpleNamespace(
            foreign_orders=0, wait_idle=anyio.lowlevel.checkpoint
        )

    async def send(self, delay_s=0.0):
        """Serve one request that arrives after a delay."""
        await anyio.sleep(delay_s)
        exchange = FakeExchange()
        self.exchanges.append(exchange)
        await self.gateway.handle(exchange)
        return exchange

    async def stop(self, delay_s=0.0):
        """Stop after a delay, closing all connections at the end."""
        await anyio.sleep(delay_s)
        self.started_s = now_s()
        schedule = drain_schedule(self.started_s, GRACE_S, 1.0)
        stop = GatewayStop(self.gateway, QuietServer(), self.router)
        await stop.run(schedule)
        self.tasks.cancel_scope.cancel()

    async def play(self, *sends_s, stop_s=0.1):
        """Send requests at some times and stop; return the exchanges."""
        async with anyio.create_task_group() as self.tasks:
            for delay_s in sends_s:
                self.tasks.start_soon(self.send, delay_s)
            self.tasks.start_soon(self.stop, stop_s)
        return self.exchanges

    def record_time(self, *parts):
        """Record a response time of the route."""
        self.gateway.forwarder.response_times.record(
            "route", 0, ResponseTime(*parts)
        )


def test_request_in_a_replicas_queue_gets_an_error_before_the_exit():
    async def check():
        rig = StoppingRig(STREAM, ScriptedResponse(**HANGING))
        (exchange,) = await rig.play(0.0)
        assert exchange.is_finished
        assert exchange.status == Code.DRAINING
        assert exchange.data == b"unknown"
        assert len(rig.relay.closed) == 1

    run(check)


def test_request_in_a_stage_queue_is_said_not_to_have_run():
    async def check():
        rig = StoppingRig(STAGED)

        async def never(order):
            await anyio.sleep_forever()

        rig.home.make_pieces = never
        (exchange,) = await rig.play(0.0)
        assert exchange.is_finished
        assert exchange.data == b"no"

    run(check)


def test_request_whose_stages_end_too_late_is_not_sent():
    async def check():
        rig = StoppingRig(STAGED, ScriptedResponse())
        rig.record_time(0.0, 4.0, 0.0)
        make_pieces = rig.home.make_pieces

        async def late(order):
            await anyio.sleep(4.0)
            return await make_pieces(order)

        rig.home.make_pieces = late
        (exchange,) = await rig.play(0.0)
        assert exchange.data == b"no"
        assert not rig.relay.sent
        assert now_s() < rig.started_s + 4.5

    run(check)


def test_begun_stream_goes_on_until_the_exit():
    async def check():
        route = STREAM._replace(gap_ms=1500)
        rig = StoppingRig(route, ScriptedResponse(OK, (EVENT,), hangs=True))
        (exchange,) = await rig.play(0.0)
        assert exchange.data == EVENT
        assert not exchange.is_finished
        assert now_s() == pytest.approx(rig.started_s + 7.4)

    run(check)


def test_long_streams_are_refused_from_the_signal_on():
    async def check():
        rig = StoppingRig(STREAM, *[ScriptedResponse(**HANGING)] * 12)
        rig.record_time(0.0, 0.3, 10.0)
        exchanges = await rig.play(0.5, 1.5, 2.5, 2.9, 3.05, 3.28, stop_s=0.1)
        assert not rig.relay.sent
        assert {exchange.data for exchange in exchanges} == {b"no"}

    run(check)


def test_expected_duration_follows_the_output_tokens():
    async def check():
        rig = StoppingRig(STREAM, ScriptedResponse(OK, (EVENT,)))
        times = rig.gateway.forwarder.response_times
        times.record("route", 10, ResponseTime(0.0, 0.3, 1.0))
        rig.wire.request = rig.wire.request._replace(
            prompt=Prompt(output_tokens=90)
        )
        assert (await rig.play(0.2))[0].data == b"no"

    run(check)


def test_rejected_request_is_not_sent_again_too_late():
    async def check():
        refusal = ScriptedResponse(REFUSED, starts_after_s=5.0)
        rig = StoppingRig(RESUMABLE._replace(target_ms=5000), refusal)
        rig.record_time(0.0, 3.0, 0.0)
        (exchange,) = await rig.play(0.2)
        assert exchange.data == b"no"
        assert len(rig.relay.sent) == 1

    run(check)


@pytest.mark.parametrize(
    ("deadline_ms", "statuses"),
    [(3_500, [200, 200, 200, 2003]), (15_000, [200, 200, 2003])],
)
def test_short_requests_are_served_until_lists_have_expired(
    deadline_ms, statuses
):
    async def check():
        slow = ScriptedResponse(starts_after_s=0.5)
        rig = StoppingRig(BOOKING, *[ScriptedResponse()] * 2, slow)
        rig.record_time(0.0, 0.5)
        rig.wire.request = rig.wire.request._replace(deadline_ms=deadline_ms)
        exchanges = await rig.play(0.2, 2.8, 3.3, 3.6)
        assert [each.status for each in exchanges] == statuses
        assert now_s() < rig.started_s + 4

    run(check)


def events_every(interval_s, count):
    """Script a stream of events at a fixed pace."""
    return ScriptedResponse(OK, (interval_s, EVENT) * count)


@pytest.mark.parametrize("sent_s", [2.85, 3.0, 3.1, 3.25])
@pytest.mark.parametrize("route", [STREAM, RESUMABLE])
def test_stop_cuts_no_late_stream_that_outlasts_the_earlier_ones(
    route, sent_s
):
    """Long late streams were expected to end as early as short ones."""

    async def check():
        short = [events_every(0.1, 4) for _ in range(3)]
        rig = StoppingRig(route, *short, events_every(0.1, 50))
        exchanges = await rig.play(0.0, 0.5, 1.0, 4 + sent_s, stop_s=4.0)
        assert [each.is_finished for each in exchanges] == [True] * 4
        assert exchanges[-1].data == b"no"

    run(check)


class RandomStop(StoppingRig):
    """Send random requests around a stop at a random time."""

    def __init__(self, route, seed):
        self.random = random.Random(seed)
        scripts = [self.draw_script() for _ in range(400)]
        super().__init__(route, *scripts)

    def draw_script(self):
        """Draw a response that may be slow, endless, refused or broken."""
        wait_s = self.random.choice((0.05, 0.5, 3.0, 30.0))
        head = self.random.choice((OK, OK, OK, REFUSED))
        return ScriptedResponse(
            head,
            (EVENT,) * self.random.choice((1, 1, 0)),
            ends=self.random.random() < 0.8,
            hangs=self.random.random() < 0.1,
            starts_after_s=wait_s,
        )

    def draw_times_s(self):
        """Draw the arrival times of requests."""
        return [self.random.uniform(0, 12) for _ in range(40)]


@pytest.mark.parametrize("route", [STREAM, RESUMABLE, BOOKING, STAGED])
@pytest.mark.parametrize("seed", range(15))
def test_every_request_around_a_random_stop_is_answered(route, seed):
    """Only streams that have begun may be cut, at the end of the stop."""

    async def check():
        rig = RandomStop(route, seed)
        times_s = rig.draw_times_s()
        exchanges = await rig.play(*times_s, stop_s=rig.random.uniform(0.5, 4))
        stopped_s = rig.started_s + GRACE_S
        assert now_s() < stopped_s
        for exchange in exchanges:
            if not exchange.is_finished:
                assert exchange.data.startswith(EVENT)
        assert rig.gateway.in_flight == 0
        assert not rig.gateway.open_requests

    run(check)
