"""Forward a request to a replica and its response to the client."""

import anyio

from berylcart import events
from berylcart.clock import now_s
from berylcart.coordination.gateway.answer_checks import (
    HTTP_OK,
    HTTP_PROMISES,
    HTTP_SERVER_ERRORS,
    check_answer,
    failed_answer,
)
from berylcart.coordination.gateway.engine_home import EngineHome
from berylcart.coordination.gateway.event_splitter import EventSplitter
from berylcart.coordination.gateway.forward_run import (
    MAX_SENDS,
    MIN_LEFT_S,
    ForwardRun,
    KeptAnswer,
    Patience,
    write_query,
)
from berylcart.coordination.gateway.gateway_policy import (
    AttemptClock,
    GatewayPolicy,
)
from berylcart.coordination.gateway.piece_queue import LARGE_MOVE_BYTES
from berylcart.coordination.gateway.ports import (
    Relay,
    UpstreamAnswer,
    UpstreamFacts,
    Wire,
)
from berylcart.coordination.gateway.second_attempts import (
    Held,
    Outcome,
    SecondAttempts,
    merge_failures,
)
from berylcart.coordination.serving.hedging import Entrant, first_reply
from berylcart.state.errors import (
    BerylcartError,
    Code,
    InputsGoneError,
    Ran,
    UnreachableError,
    UpstreamError,
)
from berylcart.state.relayed import (
    AnswerHead,
    Headers,
    UpstreamRequest,
)
from berylcart.state.routes import RouteKind
from berylcart.state.vm import Vm

MS_PER_S = 1000
# Larger responses are forwarded while they arrive.
BUFFERED_BYTES = 2**20


class Forwarder:
    """Send requests to replicas, with retries and hedged attempts.

    seconds is None if hedging is disabled.
    """

    def __init__(
        self,
        relay: Relay,
        policy: GatewayPolicy,
        wire: Wire,
        engines: EngineHome | None = None,
        seconds: SecondAttempts | None = None,
    ) -> None:
        self.relay = relay
        self.policy = policy
        self.wire = wire
        self.engines = engines
        self.seconds = seconds

    async def forward(self, run: ForwardRun) -> int:
        """Forward a request and return the status of the response.

        Raises UpstreamError of the last failure.
        """
        while True:
            vm = await self.place(run) or self.choose(run)
            try:
                if self.seconds is not None and run.may_race:
                    return await self.race(run, vm, self.seconds)
                return await self.attempt(run, vm)
            except UpstreamError as error:
                run.failure = error
                if not self.may_send_again(run, error):
                    return await self.give_up(run, error)

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
        return is_stream and self.engines.is_asked(work.service)

    async def foresee(self, run: ForwardRun) -> Vm | None:
        """Predict the replica of a request whose stages have yet to run.

        No prediction is requested if the results that it reads are small, as
        stages then need not run near the replica.
        """
        work = run.work
        read_bytes = work.route.last_bytes(work.request.piece_counts)
        if read_bytes < LARGE_MOVE_BYTES or not self.is_placed(run):
            return None
        assert self.engines is not None
        placement = await self.engines.foresee(write_query(work))
        if placement is None:
            return None
        return self.policy.find(placement, work.service, work.places)

    async def place(self, run: ForwardRun) -> Vm | None:
        """Ask the home daemon of an engine service for the first replica."""
        work = run.work
        if self.engines is None or not self.is_placed(run):
            return None
        run.placed = await self.engines.place(write_query(work))
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
            self.engines.tell(run.placed, is_begun=False)
        return vm

    def note_placed(
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
            self.engines.tell(placed, is_begun=is_begun, is_failed=is_failed)

    def choose(self, run: ForwardRun) -> Vm:
        """Choose the next replica; raises the last failure if none."""
        work = run.work
        preferred = work.preferred
        if (
            preferred is not None
            and not run.sends
            and self.policy.takes_now(preferred, work.service, work.places)
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

    def note_failure(
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
        if run.sends >= MAX_SENDS or work.left_s < MIN_LEFT_S:
            return False
        if error.ran is not Ran.NO:
            if not work.route.is_repeatable:
                return False
            if run.runs >= work.route.max_attempts:
                return False
        if isinstance(error, UnreachableError):
            return True
        return self.policy.budget.try_take(work.service)

    async def give_up(self, run: ForwardRun, error: UpstreamError) -> int:
        """Send the kept failed response, if any; else raise the error."""
        if run.kept is None or run.exchange.is_started:
            raise error
        head, body = run.kept
        await run.exchange.start(head.status, head.headers)
        await run.exchange.send(body)
        await run.exchange.finish()
        return head.status

    async def race(
        self, run: ForwardRun, vm: Vm, seconds: SecondAttempts
    ) -> int:
        """Send the request, with a hedged attempt if the first one is slow."""
        delay_ms = seconds.delay_ms(run.time_key)
        if delay_ms is None:
            return await self.attempt(run, vm)
        started_s = now_s()
        run.is_answering = False

        async def first(entrant: Entrant) -> int:
            return await self.attempt(run, vm, entrant)

        async def second(entrant: Entrant) -> int | None:
            other = self.choose_second(run, vm, seconds)
            if other is None:
                return None
            seconds.take(run.work.service)
            events.info(
                "attempt.second_started",
                request_id=run.work.request.request_id,
                service=other.service,
                vm_id=other.vm_id,
                first_vm_id=vm.vm_id,
                delay_ms=int((now_s() - started_s) * MS_PER_S),
                quantile_ms=int(delay_ms),
            )
            return await self.attempt_second(run, other, entrant, seconds)

        return await first_reply(
            first, second, delay_ms / MS_PER_S, merge_failures
        )

    def choose_second(
        self, run: ForwardRun, first: Vm, seconds: SecondAttempts
    ) -> Vm | None:
        """Choose the replica of a hedged attempt, None if it is not allowed.

        Another place is preferred, as the cause of the delay may affect all
        replicas of a place. Ejected replicas are not used.
        """
        if not run.may_send_beside:
            return None
        service = run.work.service
        affinity = run.work.request.prompt.affinity
        held = seconds.held(service)
        if held is None:
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
            held = Held.NO_REPLICA
        seconds.on_held(service, held)
        return None

    async def attempt_second(
        self,
        run: ForwardRun,
        vm: Vm,
        entrant: Entrant,
        seconds: SecondAttempts,
    ) -> int:
        """Send a hedged attempt and record its outcome."""
        started_s = now_s()
        outcome = Outcome.CUT
        try:
            status = await self.attempt(run, vm, entrant)
            outcome = Outcome.WON
        except UpstreamError:
            has_won = entrant.has_won
            outcome = Outcome.ABORTED if has_won else Outcome.FAILED
            raise
        finally:
            if entrant.has_lost:
                outcome = Outcome.LOST
            seconds.on_outcome(vm.service, outcome)
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
        self, run: ForwardRun, vm: Vm, entrant: Entrant | None = None
    ) -> int:
        """Send the request to one replica and forward its response.

        A hedged attempt (with an entrant) first claims the client, as another
        attempt may be running.
        """
        work = run.work
        run.sends += 1
        number = run.sends
        run.tried.add(vm.vm_id)
        facts = UpstreamFacts(
            vm,
            left_ms=max(1, int(work.left_s * MS_PER_S)),
            workspace=work.workspace,
            inputs=work.inputs,
            last_event_id=run.splitter.last_id,
        )
        request = self.wire.upstream_request(work.request, facts)
        ran = Ran.UNKNOWN
        run.progress.begin()
        try:
            with self.policy.in_flight(vm) as clock:
                run.runs += 1
                status = await self.exchange(run, vm, request, clock, entrant)
            ran = Ran.YES
            is_failed = status in HTTP_SERVER_ERRORS
            self.note_placed(run, vm, is_begun=False, is_failed=is_failed)
        except UpstreamError as error:
            ran = error.ran
            # A replica that rejects a request with missing inputs has not
            # failed.
            is_failed = not isinstance(error, InputsGoneError)
            self.note_placed(run, vm, is_begun=False, is_failed=is_failed)
            if ran is Ran.NO:
                run.runs -= 1
            self.note_failure(run, vm, number, error)
            if self.seconds is not None and error.retry_after_ms is not None:
                self.seconds.note_refusal(vm)
            raise
        finally:
            run.progress.end(ran)
            self.note_placed(run, vm, is_begun=False)
        return status

    async def exchange(
        self,
        run: ForwardRun,
        vm: Vm,
        request: UpstreamRequest,
        clock: AttemptClock,
        entrant: Entrant | None,
    ) -> int:
        """Send a request and forward the response; fail if progress stalls."""
        patience = Patience(run.patience_s())
        attempt = anyio.CancelScope()

        def note_sent() -> None:
            run.on_sent(attempt)

        try:
            with patience.scope:
                async with self.relay.exchange(request, note_sent) as answer:
                    head = answer.head
                    self.policy.note_notice(vm, head.notice)
                    return await self.pass_on(
                        run, answer, clock, patience, entrant
                    )
        finally:
            attempt.cancel()
            self.note_end(run, clock, entrant)
        if self.seconds is not None and clock.answered_s is None:
            self.seconds.note_silence(
                run.time_key, vm, clock.started_s, run.silence_s
            )
        raise UpstreamError(
            Code.UPSTREAM_FAILED,
            f"the replica made no progress for {patience.limit_s} s",
            ran=Ran.UNKNOWN,
        )

    def note_end(
        self, run: ForwardRun, clock: AttemptClock, entrant: Entrant | None
    ) -> None:
        """Record the latency of an attempt that lost before its first byte."""
        if entrant is None or self.seconds is None:
            return
        if clock.answered_s is None and entrant.has_lost:
            clock.is_outrun = True
            clock.has_stalled = self.seconds.note_silence(
                run.time_key, clock.vm, clock.started_s, run.silence_s
            )

    def note_answer(
        self, run: ForwardRun, head: AnswerHead, clock: AttemptClock
    ) -> None:
        """Record the time to the first byte of a response."""
        if clock.answered_s is not None:
            return
        clock.note_answer()
        run.is_answering = True
        if self.seconds is None:
            return
        if head.status in HTTP_SERVER_ERRORS:
            self.seconds.note_life(clock.vm)
        else:
            self.seconds.note_answer(run.time_key, clock.vm, clock.latency_ms)

    async def pass_on(
        self,
        run: ForwardRun,
        answer: UpstreamAnswer,
        clock: AttemptClock,
        patience: Patience,
        entrant: Entrant | None,
    ) -> int:
        """Forward one response."""
        check_answer(answer.head, run.work.route)
        is_ok = answer.head.status in HTTP_OK
        if run.work.route.kind is RouteKind.STREAM and is_ok:
            await self.pass_stream(run, answer, clock, patience, entrant)
        elif run.exchange.is_started:
            # Its body would terminate the started stream as if it were
            # complete.
            raise failed_answer(answer.head)
        else:
            await self.pass_whole(run, answer, clock, patience, entrant)
        return answer.head.status

    async def pass_whole(
        self,
        run: ForwardRun,
        answer: UpstreamAnswer,
        clock: AttemptClock,
        patience: Patience,
        entrant: Entrant | None,
    ) -> None:
        """Buffer a response before any of it is sent to the client."""
        with run.buffering() as body:
            await self.pass_body(run, answer, clock, patience, entrant, body)

    async def pass_body(
        self,
        run: ForwardRun,
        answer: UpstreamAnswer,
        clock: AttemptClock,
        patience: Patience,
        entrant: Entrant | None,
        body: bytearray,
    ) -> None:
        """Read a body into a buffer and account for the buffered bytes."""
        head = answer.head
        has_begun = False
        while True:
            data = await answer.read()
            self.note_answer(run, head, clock)
            if data is None:
                break
            body += data
            run.hold(len(data))
            if len(body) > BUFFERED_BYTES:
                has_begun = True
                # Once the response has started, no other replica can replace
                # it.
                patience.renew(None)
                with patience.suspended():
                    await start_whole(run, head, entrant)
                    await self.pass_buffer(run, body)
        may_retry = head.status in HTTP_SERVER_ERRORS and run.may_run_once_more
        if not has_begun and (has_better_rival(entrant, head) or may_retry):
            run.keep(KeptAnswer(head, bytes(body)))
            raise failed_answer(head)
        patience.renew(None)
        await start_whole(run, head, entrant)
        await self.pass_buffer(run, body)
        await run.exchange.finish()

    async def pass_buffer(self, run: ForwardRun, body: bytearray) -> None:
        """Send the buffered bytes and release them."""
        data = bytes(body)
        body.clear()
        try:
            await run.exchange.send(data)
        finally:
            run.hold(-len(data))

    async def pass_stream(
        self,
        run: ForwardRun,
        answer: UpstreamAnswer,
        clock: AttemptClock,
        patience: Patience,
        entrant: Entrant | None,
    ) -> None:
        """Forward a stream while it arrives."""
        with run.splitting(entrant) as splitter:
            await self.pass_events(
                run, answer, clock, patience, entrant, splitter
            )

    async def pass_events(
        self,
        run: ForwardRun,
        answer: UpstreamAnswer,
        clock: AttemptClock,
        patience: Patience,
        entrant: Entrant | None,
        splitter: EventSplitter,
    ) -> None:
        """Forward complete events and account for incomplete ones."""
        scanner = splitter.scanner
        if patience.limit_s is None:
            patience.renew(run.gap_patience_s())
        while (data := await answer.read()) is not None:
            self.note_answer(run, answer.head, clock)
            self.note_placed(run, clock.vm, is_begun=True)
            if entrant is None or entrant.has_won:
                run.on_begun()
            known_events = scanner.count
            data = run.take_stream(splitter, data)
            if scanner.count > known_events:
                patience.renew(run.gap_patience_s())
            if data:
                await claim_stream(run, splitter, entrant)
                with patience.suspended():
                    await self.begin(run, answer.head.headers, clock)
                    await run.exchange.send(data)
        await claim_stream(run, splitter, entrant)
        patience.renew(None)
        await self.begin(run, answer.head.headers, clock)
        if splitter.held:
            await run.exchange.send(splitter.held)
        await run.exchange.finish()

    async def begin(
        self, run: ForwardRun, headers: Headers, clock: AttemptClock
    ) -> None:
        """Write the response head of a stream, unless already written."""
        if not run.exchange.is_started:
            started_s = run.exchange.received_at_s
            events.info(
                "stream.begun",
                request_id=run.work.request.request_id,
                service=run.work.service,
                vm_id=clock.vm.vm_id,
                latency_ms=int((now_s() - started_s) * MS_PER_S),
                attempt_ms=int(clock.latency_ms),
                target_ms=run.work.route.target_ms,
            )
            await run.exchange.start(HTTP_OK[0], headers)


async def start_whole(
    run: ForwardRun, head: AnswerHead, entrant: Entrant | None
) -> None:
    """Claim the client for a response and write its head once.

    An attempt that lost is cancelled here. Raises UpstreamError for a failed
    response that the other attempt may replace.
    """
    if entrant is not None:
        if has_better_rival(entrant, head):
            raise failed_answer(head)
        await entrant.claim()
    if not run.exchange.is_started:
        await run.exchange.start(head.status, head.headers)


async def claim_stream(
    run: ForwardRun, splitter: EventSplitter, entrant: Entrant | None
) -> None:
    """Claim the client for a stream; a losing attempt is cancelled here."""
    if entrant is not None and not entrant.has_won:
        await entrant.claim()
        run.use_splitter(splitter)
        run.on_begun()


def has_better_rival(entrant: Entrant | None, head: AnswerHead) -> bool:
    """Return whether a failed response yields to the other attempt."""
    if entrant is None or not entrant.has_rival:
        return False
    return head.status in HTTP_SERVER_ERRORS or head.status in HTTP_PROMISES
