"""Forward a request to a replica and its answer to the caller."""

from collections.abc import Callable, Iterator
from contextlib import contextmanager
from functools import cached_property
from math import inf
from typing import NamedTuple

import anyio

from berylcart import events
from berylcart.clock import now_s
from berylcart.coordination.gateway.caller_patience import first_event_s
from berylcart.coordination.gateway.engine_home import EngineHome, Placed
from berylcart.coordination.gateway.event_splitter import EventSplitter
from berylcart.coordination.gateway.gateway_policy import (
    AttemptClock,
    GatewayPolicy,
)
from berylcart.coordination.gateway.permitted import Places
from berylcart.coordination.gateway.piece_queue import LARGE_MOVE_BYTES
from berylcart.coordination.gateway.ports import (
    CallerExchange,
    Relay,
    UpstreamAnswer,
    UpstreamFacts,
    Wire,
)
from berylcart.coordination.gateway.second_attempts import (
    Held,
    Outcome,
    SecondAttempts,
    TimeKey,
    merge_failures,
    size_class,
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
from berylcart.state.peer_messages import PlacementQuery
from berylcart.state.relayed import (
    AnswerHead,
    Headers,
    RelayRequest,
    UpstreamRequest,
)
from berylcart.state.request import Progress
from berylcart.state.routes import Route, RouteKind
from berylcart.state.vm import Vm

MS_PER_S = 1000
HTTP_OK = range(200, 300)
HTTP_CONFLICT = 409
HTTP_SERVER_ERRORS = range(500, 600)
# Statuses by which an answer promises that the request did not run.
HTTP_PROMISES = (408, 421, 429, 503)
# Larger answers are passed on while they arrive.
BUFFERED_BYTES = 2**20
# Sends in all: those that certainly did not run included.
MAX_SENDS = 4
REFUSED_RETRY_AFTER_MS = 500
# Too little time to be worth another send.
MIN_LEFT_S = 0.02
# A replica that is silent for this many targets is given up on, where
# another one may run the request too.
PATIENCE_TARGETS = 2.0
MIN_PATIENCE_S = 0.3
MAX_TIME_SHARE = 0.5
GAP_PATIENCE = 6.0
MIN_GAP_PATIENCE_S = 1.0


class Work(NamedTuple):
    """Hold a request and what was decided on it."""

    request: RelayRequest
    route: Route
    service: str
    workspace: str | None
    deadline_s: float
    inputs: tuple[str, ...] = ()
    preferred: Vm | None = None
    places: Places = None
    inputs_place: str = ""
    input_bytes: int = 0

    @property
    def left_s(self) -> float:
        """Give the time until the request must be answered."""
        return self.deadline_s - now_s()


class KeptAnswer(NamedTuple):
    """Hold a replica's whole answer that another attempt may better."""

    head: AnswerHead
    body: bytes


class Patience:
    """Bound the time for which a replica may be silent."""

    def __init__(self, limit_s: float | None) -> None:
        self.scope = anyio.CancelScope()
        self.renew(limit_s)

    def renew(self, limit_s: float | None) -> None:
        """Wait for this long from now, None without end."""
        self.limit_s = limit_s
        self.scope.deadline = inf if limit_s is None else now_s() + limit_s

    @contextmanager
    def suspended(self) -> Iterator[None]:
        """Stop the time while the caller is written to.

        A caller that reads slowly is no silent replica.
        """
        deadline_s, self.scope.deadline = self.scope.deadline, inf
        begun_s = now_s()
        try:
            yield
        finally:
            self.scope.deadline = deadline_s + now_s() - begun_s


class ForwardRun:
    """Hold what one request has tried so far."""

    def __init__(
        self, work: Work, exchange: CallerExchange, progress: Progress
    ) -> None:
        self.work = work
        self.exchange = exchange
        self.progress = progress
        self.on_begun: Callable[[], None] = lambda: None
        # Called with a scope that the attempt cancels at its end.
        self.on_sent: Callable[[anyio.CancelScope], None] = lambda _: None
        # Tells whether the results that the request reads still exist.
        self.has_inputs: Callable[[], bool] = lambda: True
        # Tells whether an attempt's answer has begun to arrive.
        self.is_answering = False
        self.tried: set[str] = set()
        self.sends = 0
        self.runs = 0
        self.splitter = EventSplitter()
        self.failure: UpstreamError | None = None
        self.kept: KeptAnswer | None = None
        self.placed: Placed | None = None

    @property
    def may_run_once_more(self) -> bool:
        """Tell whether a replica may run the request after this one."""
        route = self.work.route
        return route.is_repeatable and self.runs < route.max_attempts

    @property
    def may_race(self) -> bool:
        """Tell whether the next attempt may get another one beside it."""
        route = self.work.route
        is_unsent = not self.exchange.is_started and self.has_inputs()
        runs_left = route.max_attempts - self.runs
        return route.is_repeatable and runs_left > 1 and is_unsent

    @property
    def may_send_beside(self) -> bool:
        """Tell whether another attempt may start beside the running one."""
        is_unsent = not self.is_answering and self.has_inputs()
        is_worth_it = self.work.left_s >= MIN_LEFT_S
        is_allowed = self.may_run_once_more and self.sends < MAX_SENDS
        return is_unsent and is_allowed and is_worth_it

    @cached_property
    def time_key(self) -> TimeKey:
        """Name the requests that take about as long as this one."""
        work = self.work
        is_stream = work.route.kind is RouteKind.STREAM
        tokens = work.request.prompt.input_tokens
        return TimeKey(work.service, is_stream, size_class(tokens))

    @property
    def silence_s(self) -> float:
        """Say how long a replica is silent that is given up on."""
        target_s = self.work.route.target_ms / MS_PER_S
        return max(MIN_PATIENCE_S, PATIENCE_TARGETS * target_s)

    def patience_s(self) -> float | None:
        """Say how long a silent replica is waited for, None without end."""
        if not self.may_run_once_more:
            return None
        return min(self.silence_s, MAX_TIME_SHARE * self.work.left_s)

    def gap_patience_s(self) -> float | None:
        """Say how long a stream's next event is waited for.

        Where no other replica may go on with it, the caller is let wait for
        as long as it does by itself. None, where the route names no gap,
        leaves only the deadline.
        """
        route = self.work.route
        if self.may_run_once_more:
            gap_s = GAP_PATIENCE * route.gap_ms / MS_PER_S
            return max(MIN_GAP_PATIENCE_S, gap_s)
        return first_event_s(route) if route.gap_ms else None

    def hold(self, count_bytes: int) -> None:
        """Count bytes that are buffered, or fewer, for the caller."""
        if count_bytes:
            self.exchange.hold(count_bytes)

    def keep(self, kept: KeptAnswer) -> None:
        """Keep an answer in place of an earlier one."""
        known_bytes = 0 if self.kept is None else len(self.kept.body)
        self.hold(len(kept.body) - known_bytes)
        self.kept = kept

    @contextmanager
    def buffering(self) -> Iterator[bytearray]:
        """Give a buffer, the rest of which is no longer held at its end."""
        buffer = bytearray()
        try:
            yield buffer
        finally:
            self.hold(-len(buffer))

    @contextmanager
    def splitting(self, entrant: Entrant | None) -> Iterator[EventSplitter]:
        """Give what splits the stream of an attempt.

        A race runs only before the first event. Each of its attempts has a
        splitter of its own, and only the winner's one becomes the run's.
        """
        splitter = self.splitter if entrant is None else EventSplitter()
        self.drop_partial(splitter)
        try:
            yield splitter
        finally:
            if splitter is not self.splitter:
                self.drop_partial(splitter)

    def use_splitter(self, splitter: EventSplitter) -> None:
        """Go on with the splitter of a race's winner."""
        self.drop_partial(self.splitter)
        self.splitter = splitter

    def drop_partial(self, splitter: EventSplitter) -> None:
        """Forget the beginning of an event that is not passed on."""
        self.hold(-len(splitter.partial))
        splitter.drop_partial()

    def take_stream(self, splitter: EventSplitter, data: bytes) -> bytes:
        """Take bytes of a stream and give those to pass on.

        Raises UpstreamError where an event that is held back is too large.
        """
        if self.work.route.is_resumable:
            known_bytes = len(splitter.partial)
            try:
                return splitter.feed(data)
            finally:
                self.hold(len(splitter.partial) - known_bytes)
        if self.work.route.gap_ms:
            splitter.scanner.feed(data)
        return data


class Forwarder:
    """Send requests to replicas, again where that is allowed.

    seconds is None where no request gets a second attempt beside its first.
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
        """Answer a request from a replica and give the answer's status.

        Raises UpstreamError with the last failure.
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
        """Tell whether the home of the service chooses a request's replica.

        The home doesn't know where a restricted request may run.
        """
        work = run.work
        is_free = not run.sends and work.places is None
        if self.engines is None or not is_free:
            return False
        is_stream = work.route.kind is RouteKind.STREAM
        return is_stream and self.engines.is_asked(work.service)

    async def foresee(self, run: ForwardRun) -> Vm | None:
        """Ask where a request will run once its stages are made.

        Nothing is asked where the results that it reads are small, as these
        are then made anywhere.
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
        """Have the home of an engine service choose the first replica."""
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
        """Tell the home that placed a request how it went on there."""
        placed = run.placed
        if placed is None or self.engines is None:
            return
        if placed.placement.vm_id == vm.vm_id:
            self.engines.tell(placed, is_begun=is_begun, is_failed=is_failed)

    def choose(self, run: ForwardRun) -> Vm:
        """Choose the next replica; raises the last failure without one."""
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
                # All replicas may be paused, which lasts longer.
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
        """Tell whether another replica may be sent the request."""
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
        """Pass on a replica's own failure where there is one."""
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
        """Send the request, and once more beside it where it takes long."""
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
                "attempt.second",
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
        """Choose where a second attempt runs, None where it may not.

        Another place is preferred, as what slows one replica may slow those
        beside it. A replica that is taken out is no help.
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
        """Send the request beside its first attempt and note the outcome."""
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
        """Send the request to one replica and pass on its answer.

        One with an entrant first claims the caller, as another may run.
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
            # A replica that refuses for want of inputs is at no fault.
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
        """Send a request and pass on its answer, up to a silence."""
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
            f"no progress for {patience.limit_s} s",
            ran=Ran.UNKNOWN,
        )

    def note_end(
        self, run: ForwardRun, clock: AttemptClock, entrant: Entrant | None
    ) -> None:
        """Learn from an attempt that lost before its first byte."""
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
        """Take the time to the first part of an answer."""
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
        """Pass on one answer."""
        check_answer(answer.head, run.work.route)
        is_ok = answer.head.status in HTTP_OK
        if run.work.route.kind is RouteKind.STREAM and is_ok:
            await self.pass_stream(run, answer, clock, patience, entrant)
        elif run.exchange.is_started:
            # Its text would end the stream that has begun as if it were whole.
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
        """Read a whole answer before the caller gets any of it."""
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
        """Read a body into a buffer, whose bytes count as held."""
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
                # Once it has begun, no other replica may take its place.
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
        """Send what was buffered, without holding it twice."""
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
        """Pass on a stream while it arrives."""
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
        """Pass on whole events, whose beginnings count as held."""
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
        """Write the head of a stream once, of its first replica."""
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
    """Take the caller for a whole answer and write its head once.

    One that lost a race ends here; raises UpstreamError on a failed answer
    that another attempt may better.
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
    """Take the caller for a stream; one that lost a race ends here."""
    if entrant is not None and not entrant.has_won:
        await entrant.claim()
        run.use_splitter(splitter)
        run.on_begun()


def has_better_rival(entrant: Entrant | None, head: AnswerHead) -> bool:
    """Tell whether a failed answer leaves the caller to another attempt."""
    if entrant is None or not entrant.has_rival:
        return False
    return head.status in HTTP_SERVER_ERRORS or head.status in HTTP_PROMISES


def failed_answer(head: AnswerHead) -> UpstreamError:
    """Describe a replica's own failure, which another may better."""
    return UpstreamError(
        Code.UPSTREAM_FAILED,
        f"the replica answered {head.status}",
        ran=Ran.YES,
    )


def write_query(work: Work) -> PlacementQuery:
    """Describe a request to the home of its service."""
    prompt = work.request.prompt
    shared = prompt.parts[:-1]
    return PlacementQuery(
        work.service,
        shared,
        max(0, prompt.input_tokens - sum(part.tokens for part in shared)),
        prompt.output_tokens,
        max(1, int(work.left_s * MS_PER_S)),
        work.inputs_place,
        work.input_bytes,
    )


def check_answer(head: AnswerHead, route: Route) -> None:
    """Raise UpstreamError on an answer that must not be passed on."""
    if head.did_not_run:
        if head.status == HTTP_CONFLICT:
            raise InputsGoneError
        raise UpstreamError(
            Code.NO_UPSTREAM,
            f"the replica refused with {head.status}",
            ran=Ran.NO,
            retry_after_ms=REFUSED_RETRY_AFTER_MS,
        )
    is_false_promise = head.status in HTTP_PROMISES
    if is_false_promise and not route.is_repeatable:
        raise UpstreamError(
            Code.UPSTREAM_FAILED,
            f"{head.status} without a promise that it did not run",
            ran=Ran.UNKNOWN,
        )
    if head.status in HTTP_OK and not head.is_sealed:
        raise UpstreamError(
            Code.UPSTREAM_FAILED,
            "an answer without the replica's proof",
            ran=Ran.UNKNOWN,
        )
