"""Choose the replicas of requests, and retry and hedge attempts."""

from functools import partial

import anyio

from berylcart import events
from berylcart.clock import now_s
from berylcart.coordination.gateway.batch_selection import LARGE_TRANSFER_BYTES
from berylcart.coordination.gateway.crash_watch import (
    BrokenRequest,
    CrashWatch,
)
from berylcart.coordination.gateway.drain import Drain
from berylcart.coordination.gateway.first_event_times import FirstEventTimes
from berylcart.coordination.gateway.forward_run import (
    MAX_SENDS,
    MIN_REMAINING_S,
    ForwardRun,
    ProgressTimeout,
    placement_query,
)
from berylcart.coordination.gateway.gateway_policy import (
    AttemptTiming,
    GatewayPolicy,
)
from berylcart.coordination.gateway.joint_placement import JointPlacement
from berylcart.coordination.gateway.ports import (
    MessageCodec,
    Relay,
    UpstreamContext,
    UpstreamResponse,
)
from berylcart.coordination.gateway.response_checks import (
    HTTP_SERVER_ERRORS,
)
from berylcart.coordination.gateway.response_forwarder import (
    Reply,
    ResponseForwarder,
)
from berylcart.coordination.gateway.response_times import ResponseTimes
from berylcart.coordination.gateway.second_attempts import (
    HedgeOutcome,
    HedgeSkipReason,
    HedgingPolicy,
    merge_failures,
)
from berylcart.coordination.gateway.stalled_stream import (
    StreamMovedError,
    try_elsewhere,
)
from berylcart.coordination.serving.hedging import RaceParticipant, first_reply
from berylcart.state.errors import (
    BerylcartError,
    BrokenConnectionError,
    Code,
    InputsGoneError,
    Ran,
    UnreachableError,
    UpstreamError,
)
from berylcart.state.relay_messages import (
    ResponseHead,
    UpstreamRequest,
)
from berylcart.state.routes import RouteKind
from berylcart.state.vm import Vm

MS_PER_S = 1000


class Forwarder:
    """Send requests to replicas, with retries and hedged attempts.

    hedger is None if hedging is disabled, crash_watch if requests are not
    checked for what replicas crash on.
    """

    def __init__(
        self,
        relay: Relay,
        policy: GatewayPolicy,
        wire: MessageCodec,
        engines: JointPlacement | None = None,
        hedger: HedgingPolicy | None = None,
        crash_watch: CrashWatch | None = None,
    ) -> None:
        self.relay = relay
        self.policy = policy
        self.wire = wire
        self.engines = engines
        self.hedger = hedger
        self.crash_watch = crash_watch
        self.drain = Drain()
        self.first_event_times = FirstEventTimes()
        self.response_times = ResponseTimes()
        self.responses = ResponseForwarder(self)

    async def forward(self, run: ForwardRun) -> int:
        """Forward a request and return the status of the response.

        Raises UpstreamError of the last failure.
        """
        while True:
            self.check_traits(run)
            vm = await self.place(run) or self.choose(run)
            self.check_traits(run)
            self.check_drain(run, vm)
            try:
                if self.hedger is not None and run.may_hedge:
                    return await self.send_hedged(run, vm, self.hedger)
                return await self.attempt(run, vm)
            except StreamMovedError as moved:
                return moved.status
            except UpstreamError as error:
                run.failure = error
                if not self.may_send_again(run, error):
                    return await self.send_fallback(run, error)

    def check_drain(self, run: ForwardRun, vm: Vm) -> None:
        """Raise DRAINING if the response may not end before the stop."""
        if run.exchange.is_started:
            return
        try:
            self.drain.check_end(
                run.work.deadline_s, self.expected_time_s(run)
            )
        except BerylcartError:
            self.report_placement(run, vm, is_begun=False)
            raise

    def expected_time_s(self, run: ForwardRun) -> float | None:
        """Predict an attempt's longest time, None if it is unknown.

        The home daemon of a service knows how long a placed request waits in
        its replica's queue.
        """
        slowest = self.response_times.slowest(
            run.work.route.name, run.work.request.prompt.output_tokens
        )
        if slowest is None:
            return None
        placed = run.placed
        queue_s = placed.placement.expected_ms / MS_PER_S if placed else 0.0
        return max(slowest.first_s, queue_s) + slowest.rest_s

    def check_traits(self, run: ForwardRun) -> None:
        """Raise PART_BLOCKED or REQUEST_BLOCKED if replicas crash on it."""
        if self.crash_watch is not None:
            self.crash_watch.faults.check(run.traits, run.progress.ran)

    def is_placed(self, run: ForwardRun) -> bool:
        """Return whether the service's home daemon chooses the first replica.

        It does not choose for requests restricted to certain places, as it
        does not know the restrictions.
        """
        work = run.work
        is_free = not run.sends and work.places is None
        if self.engines is None or not is_free:
            return False
        is_stream = work.route.kind is RouteKind.STREAM
        return is_stream and self.engines.uses_joint_placement(work.service)

    async def predict_placement(self, run: ForwardRun) -> Vm | None:
        """Predict the replica of a request whose stages have yet to run.

        No prediction is requested if the results that it reads are small, as
        stages then need not run near the replica.
        """
        work = run.work
        read_bytes = work.route.final_input_bytes(work.request.piece_counts)
        if read_bytes < LARGE_TRANSFER_BYTES or not self.is_placed(run):
            return None
        assert self.engines is not None
        placement = await self.engines.predict_placement(placement_query(work))
        if placement is None:
            return None
        return self.policy.find(placement, work.service, work.places)

    async def place(self, run: ForwardRun) -> Vm | None:
        """Ask the home daemon of an engine service for the first replica."""
        work = run.work
        if self.engines is None or not self.is_placed(run):
            return None
        run.placed = await self.engines.place(placement_query(work))
        if run.placed is None:
            return None
        placement, home = run.placed.placement, run.placed.home
        vm = self.policy.find(placement, work.service, work.places)
        events.info(
            "request.placed",
            request_id=work.request.request_id,
            service=work.service,
            vm_id=placement.vm_id,
            home="" if home is None else home.daemon_id,
            expected_ms=placement.expected_ms,
            is_usable=vm is not None,
        )
        if vm is None:
            self.engines.report_outcome(run.placed, is_begun=False)
        return vm

    def report_placement(
        self,
        run: ForwardRun,
        vm: Vm,
        *,
        is_begun: bool,
        is_failed: bool = False,
    ) -> None:
        """Report the progress of a placed request to the home daemon."""
        placed = run.placed
        if placed is None or self.engines is None:
            return
        if placed.placement.vm_id == vm.vm_id:
            self.engines.report_outcome(
                placed, is_begun=is_begun, is_failed=is_failed
            )

    def choose(self, run: ForwardRun) -> Vm:
        """Choose the next replica; raises the last failure if none."""
        work = run.work
        preferred = work.preferred
        if (
            preferred is not None
            and not run.sends
            and self.policy.accepts_now(preferred, work.service, work.places)
        ):
            return preferred
        try:
            return self.policy.choose(
                work.service,
                work.request.prompt.affinity,
                run.tried,
                work.places,
            )
        except BerylcartError as error:
            if run.failure is None:
                raise
            if run.failure.retry_after_ms and error.retry_after_ms:
                # If all replicas are paused, the pause is longer than the
                # replica's own retry delay.
                run.failure.retry_after_ms = error.retry_after_ms
            raise run.failure from None

    def record_stream_begun(
        self, run: ForwardRun, timing: AttemptTiming
    ) -> None:
        """Record the first event of a stream."""
        started_s = run.exchange.received_at_s
        run.first_event_at_s = now_s()
        self.first_event_times.record(
            run.work.route.name, timing.latency_ms / MS_PER_S
        )
        events.info(
            "stream.begun",
            request_id=run.work.request.request_id,
            service=run.work.service,
            vm_id=timing.vm.vm_id,
            latency_ms=int((now_s() - started_s) * MS_PER_S),
            attempt_ms=int(timing.latency_ms),
            target_ms=run.work.route.target_ms,
        )

    def record_event(self, run: ForwardRun, timing: AttemptTiming) -> None:
        """Record that an answer has begun; partial events do not count."""
        if not timing.has_event:
            timing.has_event = True
            if self.crash_watch is not None:
                self.crash_watch.faults.record_answer(run.traits)

    def record_survival(self, run: ForwardRun) -> None:
        """Record that a replica ran the request to a failure of its own."""
        if self.crash_watch is not None:
            self.crash_watch.faults.record_answer(run.traits)

    def record_break(self, run: ForwardRun, vm: Vm, sent_s: float) -> None:
        """Record a connection that broke before its answer began."""
        if self.crash_watch is not None:
            request_id = run.work.request.request_id
            broken = BrokenRequest(request_id, run.traits, sent_s)
            self.crash_watch.record_break(vm, broken)

    def log_failure(
        self, run: ForwardRun, vm: Vm, number: int, error: UpstreamError
    ) -> None:
        """Log a failed attempt."""
        events.warning(
            "attempt.failed",
            request_id=run.work.request.request_id,
            service=vm.service,
            vm_id=vm.vm_id,
            send=number,
            ran=error.ran,
            last_event_id=run.splitter.last_id,
            detail=error.detail,
        )

    def may_send_again(self, run: ForwardRun, error: UpstreamError) -> bool:
        """Return whether the request may be sent to another replica."""
        work = run.work
        if isinstance(error, InputsGoneError):
            return False
        if run.exchange.is_started and not work.route.is_resumable:
            return False
        if not self.has_time_for_attempt(run):
            return False
        if error.ran is not Ran.NO:
            if not work.route.is_repeatable:
                return False
            if run.runs >= work.route.max_attempts:
                return False
        if isinstance(error, UnreachableError):
            return True
        return self.policy.budget.try_take(work.service)

    def has_time_for_attempt(self, run: ForwardRun) -> bool:
        """Return whether another attempt is allowed and may end in time."""
        work = run.work
        if run.sends >= MAX_SENDS or work.remaining_s < MIN_REMAINING_S:
            return False
        return run.exchange.is_started or self.drain.may_end_in_time(
            work.deadline_s, self.expected_time_s(run)
        )

    async def send_fallback(
        self, run: ForwardRun, error: UpstreamError
    ) -> int:
        """Send the kept failed response, if any; else raise the error."""
        kept = None if run.exchange.is_started else run.take_fallback()
        if kept is None:
            raise error
        head, body = kept
        await run.exchange.start(head.status, head.headers)
        await self.responses.flush_buffer(run, body)
        await run.exchange.finish()
        return head.status

    async def send_hedged(
        self, run: ForwardRun, vm: Vm, hedger: HedgingPolicy
    ) -> int:
        """Send the request, with a hedged attempt if the first one is slow."""
        delay_ms = hedger.delay_ms(run.time_key)
        if delay_ms is None:
            return await self.attempt(run, vm)
        started_s = now_s()
        run.has_response_started = False

        async def first(entrant: RaceParticipant) -> int:
            return await self.attempt(run, vm, entrant)

        async def second(entrant: RaceParticipant) -> int | None:
            other = self.choose_hedge_replica(run, vm, hedger)
            if other is None:
                return None
            hedger.consume_budget(run.work.service)
            events.info(
                "attempt.second_started",
                request_id=run.work.request.request_id,
                service=other.service,
                vm_id=other.vm_id,
                first_vm_id=vm.vm_id,
                delay_ms=int((now_s() - started_s) * MS_PER_S),
                quantile_ms=int(delay_ms),
            )
            return await self.attempt_hedged(run, other, entrant, hedger)

        return await first_reply(
            first, second, delay_ms / MS_PER_S, merge_failures
        )

    def is_refused(self, run: ForwardRun) -> bool:
        """Return whether replicas crash on the request or a part of it."""
        if self.crash_watch is None:
            return False
        return self.crash_watch.faults.is_refused(run.traits)

    def choose_hedge_replica(
        self, run: ForwardRun, first: Vm, hedger: HedgingPolicy
    ) -> Vm | None:
        """Choose the replica of a hedged attempt, None if it is not allowed.

        Another place is preferred, as the cause of the delay may affect all
        replicas of a place. Ejected replicas are not used.
        """
        if not run.may_start_hedge or self.is_refused(run):
            return None
        service = run.work.service
        affinity = run.work.request.prompt.affinity
        reason = hedger.skip_reason(service)
        if reason is None:
            pool = self.policy.pool(service)
            near = {vm.vm_id for vm in pool if vm.place == first.place}
            tried = run.tried | {first.vm_id}
            for excluded in (tried | near, tried):
                try:
                    vm = self.policy.choose(
                        service, affinity, excluded, run.work.places
                    )
                except BerylcartError:
                    continue
                if not self.policy.ejector.is_ejected(vm):
                    return vm
            reason = HedgeSkipReason.NO_REPLICA
        hedger.on_hedge_skipped(service, reason)
        return None

    async def attempt_hedged(
        self,
        run: ForwardRun,
        vm: Vm,
        entrant: RaceParticipant,
        hedger: HedgingPolicy,
    ) -> int:
        """Send a hedged attempt and record its outcome."""
        started_s = now_s()
        outcome = HedgeOutcome.CUT
        try:
            status = await self.attempt(run, vm, entrant)
            outcome = HedgeOutcome.WON
        except UpstreamError:
            has_won = entrant.has_won
            outcome = HedgeOutcome.ABORTED if has_won else HedgeOutcome.FAILED
            raise
        finally:
            if entrant.has_lost:
                outcome = HedgeOutcome.LOST
            hedger.on_outcome(vm.service, outcome)
            events.info(
                "attempt.second_ended",
                request_id=run.work.request.request_id,
                service=vm.service,
                vm_id=vm.vm_id,
                outcome=outcome,
                latency_ms=int((now_s() - started_s) * MS_PER_S),
            )
        return status

    async def attempt(
        self, run: ForwardRun, vm: Vm, entrant: RaceParticipant | None = None
    ) -> int:
        """Send the request to one replica and forward its response.

        With an entrant, the attempt must claim the client first, as another
        attempt may be running.
        """
        work = run.work
        run.sends += 1
        number = run.sends
        run.tried.add(vm.vm_id)
        facts = UpstreamContext(
            vm,
            left_ms=max(1, int(work.remaining_s * MS_PER_S)),
            workspace=work.workspace,
            inputs=work.inputs,
            last_event_id=run.splitter.last_id,
        )
        request = self.wire.build_upstream_request(work.request, facts)
        ran = Ran.UNKNOWN
        run.progress.begin()
        try:
            with self.policy.in_flight(vm) as timing:
                run.runs += 1
                status = await self.exchange(run, vm, request, timing, entrant)
            ran = Ran.YES
            is_failed = status in HTTP_SERVER_ERRORS
            self.report_placement(run, vm, is_begun=False, is_failed=is_failed)
        except UpstreamError as error:
            ran = error.ran
            # A replica that rejects a request with missing inputs has not
            # failed.
            is_failed = not isinstance(error, InputsGoneError)
            self.report_placement(run, vm, is_begun=False, is_failed=is_failed)
            if ran is Ran.NO:
                run.runs -= 1
            self.log_failure(run, vm, number, error)
            is_broken = isinstance(error, BrokenConnectionError)
            if is_broken and not timing.has_event:
                self.record_break(run, vm, timing.started_s)
            if self.hedger is not None and error.retry_after_ms is not None:
                self.hedger.record_refusal(vm)
            raise
        finally:
            run.progress.end(ran)
            self.report_placement(run, vm, is_begun=False)
        return status

    async def exchange(
        self,
        run: ForwardRun,
        vm: Vm,
        request: UpstreamRequest,
        timing: AttemptTiming,
        entrant: RaceParticipant | None,
    ) -> int:
        """Send a request and forward the response; fail if progress stalls."""
        progress_timeout = ProgressTimeout(run.first_progress_timeout_s())
        attempt = anyio.CancelScope()

        def record_sent() -> None:
            run.on_sent(attempt)

        try:
            with progress_timeout.scope:
                async with self.relay.exchange(request, record_sent) as answer:
                    head = answer.head
                    self.policy.apply_notice(vm, head.notice)
                    reply = Reply(
                        run, answer, timing, progress_timeout, entrant
                    )
                    return await self.responses.forward(reply)
        finally:
            attempt.cancel()
            self.record_lost_attempt(run, timing, entrant)
        if self.hedger is not None and timing.first_byte_s is None:
            self.hedger.record_silence(
                run.time_key, vm, timing.started_s, run.silence_timeout_s
            )
        raise UpstreamError(
            Code.UPSTREAM_FAILED,
            f"no progress for {progress_timeout.limit_s} s",
            ran=Ran.UNKNOWN,
        )

    def record_lost_attempt(
        self,
        run: ForwardRun,
        timing: AttemptTiming,
        entrant: RaceParticipant | None,
    ) -> None:
        """Record the latency of an attempt that lost before its first byte."""
        if entrant is None or self.hedger is None:
            return
        if timing.first_byte_s is None and entrant.has_lost:
            timing.has_lost_race = True
            timing.has_stalled = self.hedger.record_silence(
                run.time_key,
                timing.vm,
                timing.started_s,
                run.silence_timeout_s,
            )

    def record_first_byte(
        self, run: ForwardRun, head: ResponseHead, timing: AttemptTiming
    ) -> None:
        """Record the time to the first byte of a response."""
        if timing.first_byte_s is not None:
            return
        timing.record_first_byte()
        run.has_response_started = True
        if self.hedger is None:
            return
        if head.status in HTTP_SERVER_ERRORS:
            self.hedger.record_response(timing.vm)
        else:
            self.hedger.record_first_byte(
                run.time_key, timing.vm, timing.latency_ms
            )

    async def move_stream(
        self, run: ForwardRun, answer: UpstreamResponse
    ) -> None:
        """Try the other replicas; return if none of them takes the stream."""
        stalled = UpstreamError(
            Code.UPSTREAM_FAILED, "the stream stalled", ran=Ran.UNKNOWN
        )
        while True:
            try:
                vm = self.choose(run)
            except BerylcartError:
                return
            if not self.may_send_again(run, stalled):
                return
            events.info(
                "stream.stalled",
                request_id=run.work.request.request_id,
                service=vm.service,
                next_vm_id=vm.vm_id,
                last_event_id=run.splitter.last_id,
            )
            await try_elsewhere(answer, partial(self.attempt, run, vm))
