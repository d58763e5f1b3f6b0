"""Forward a request to a replica and its answer to the caller."""

from collections.abc import Callable, Iterator
from contextlib import contextmanager
from math import inf
from typing import NamedTuple

import anyio

from berylcart import events
from berylcart.clock import now_s
from berylcart.coordination.gateway.caller_patience import first_event_s
from berylcart.coordination.gateway.event_splitter import EventSplitter
from berylcart.coordination.gateway.gateway_policy import (
    AttemptClock,
    GatewayPolicy,
)
from berylcart.coordination.gateway.ports import (
    CallerExchange,
    Relay,
    UpstreamAnswer,
    UpstreamFacts,
    Wire,
)
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
        self.tried: set[str] = set()
        self.newest_vm_id = ""
        self.sends = 0
        self.runs = 0
        self.splitter = EventSplitter()
        self.failure: UpstreamError | None = None
        self.kept: KeptAnswer | None = None

    @property
    def may_run_once_more(self) -> bool:
        """Tell whether a replica may run the request after this one."""
        route = self.work.route
        return route.is_repeatable and self.runs < route.max_attempts

    def patience_s(self) -> float | None:
        """Say how long a silent replica is waited for, None without end."""
        if not self.may_run_once_more:
            return None
        route = self.work.route
        target_s = route.target_ms / MS_PER_S
        patience_s = max(MIN_PATIENCE_S, PATIENCE_TARGETS * target_s)
        return min(patience_s, MAX_TIME_SHARE * self.work.left_s)

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

    def drop_partial(self) -> None:
        """Forget the beginning of an event that another run sends again."""
        self.hold(-len(self.splitter.partial))
        self.splitter.drop_partial()

    def take_stream(self, data: bytes) -> bytes:
        """Take bytes of a stream and give those to pass on.

        Raises UpstreamError where an event that is held back is too large.
        """
        if self.work.route.is_resumable:
            known_bytes = len(self.splitter.partial)
            try:
                return self.splitter.feed(data)
            finally:
                self.hold(len(self.splitter.partial) - known_bytes)
        if self.work.route.gap_ms:
            self.splitter.scanner.feed(data)
        return data


class Forwarder:
    """Send requests to replicas, again where that is allowed."""

    def __init__(
        self, relay: Relay, policy: GatewayPolicy, wire: Wire
    ) -> None:
        self.relay = relay
        self.policy = policy
        self.wire = wire

    async def forward(self, run: ForwardRun) -> int:
        """Answer a request from a replica and give the answer's status.

        Raises UpstreamError with the last failure.
        """
        while True:
            vm = self.choose(run)
            try:
                return await self.attempt(run, vm)
            except UpstreamError as error:
                self.note_failure(run, vm, error)
                run.failure = error
                if not self.may_send_again(run, error):
                    return await self.give_up(run, error)

    def choose(self, run: ForwardRun) -> Vm:
        """Choose the next replica; raises the last failure without one."""
        work = run.work
        preferred = work.preferred
        if (
            preferred is not None
            and not run.sends
            and self.policy.takes_now(preferred, work.service)
        ):
            return preferred
        try:
            return self.policy.choose(
                work.service, work.request.prompt.affinity, run.tried
            )
        except BerylcartError:
            if run.failure is None:
                raise
            raise run.failure from None

    def note_failure(
        self, run: ForwardRun, vm: Vm, error: UpstreamError
    ) -> None:
        """Log a failed attempt."""
        events.warning(
            "attempt.failed",
            request_id=run.work.request.request_id,
            service=vm.service,
            vm_id=vm.vm_id,
            send=run.sends,
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

    async def attempt(self, run: ForwardRun, vm: Vm) -> int:
        """Send the request to one replica and pass on its answer."""
        work = run.work
        run.sends += 1
        run.tried.add(vm.vm_id)
        run.newest_vm_id = vm.vm_id
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
                status = await self.exchange(run, vm, request, clock)
            ran = Ran.YES
        except UpstreamError as error:
            ran = error.ran
            if ran is Ran.NO:
                run.runs -= 1
            raise
        finally:
            run.progress.end(ran)
        return status

    async def exchange(
        self,
        run: ForwardRun,
        vm: Vm,
        request: UpstreamRequest,
        clock: AttemptClock,
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
                    self.policy.limits.note_answer(vm, head.limit_per_s)
                    return await self.pass_on(run, answer, clock, patience)
        finally:
            attempt.cancel()
        raise UpstreamError(
            Code.UPSTREAM_FAILED,
            f"no progress for {patience.limit_s} s",
            ran=Ran.UNKNOWN,
        )

    async def pass_on(
        self,
        run: ForwardRun,
        answer: UpstreamAnswer,
        clock: AttemptClock,
        patience: Patience,
    ) -> int:
        """Pass on one answer."""
        check_answer(answer.head, run.work.route)
        is_ok = answer.head.status in HTTP_OK
        if run.work.route.kind is RouteKind.STREAM and is_ok:
            await self.pass_stream(run, answer, clock, patience)
        else:
            await self.pass_whole(run, answer, clock, patience)
        return answer.head.status

    async def pass_whole(
        self,
        run: ForwardRun,
        answer: UpstreamAnswer,
        clock: AttemptClock,
        patience: Patience,
    ) -> None:
        """Read a whole answer before the caller gets any of it."""
        body = bytearray()
        try:
            await self.pass_body(run, answer, clock, patience, body)
        finally:
            run.hold(-len(body))

    async def pass_body(
        self,
        run: ForwardRun,
        answer: UpstreamAnswer,
        clock: AttemptClock,
        patience: Patience,
        body: bytearray,
    ) -> None:
        """Read a body into a buffer, whose bytes count as held."""
        head = answer.head
        while True:
            data = await answer.read()
            clock.note_answer()
            if data is None:
                break
            body += data
            run.hold(len(data))
            if len(body) > BUFFERED_BYTES:
                with patience.suspended():
                    if not run.exchange.is_started:
                        await run.exchange.start(head.status, head.headers)
                    await self.pass_buffer(run, body)
        if head.status in HTTP_SERVER_ERRORS and run.may_run_once_more:
            run.keep(KeptAnswer(head, bytes(body)))
            raise UpstreamError(
                Code.UPSTREAM_FAILED,
                f"the replica answered {head.status}",
                ran=Ran.YES,
            )
        patience.renew(None)
        if not run.exchange.is_started:
            await run.exchange.start(head.status, head.headers)
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
    ) -> None:
        """Pass on a stream while it arrives."""
        run.drop_partial()
        scanner = run.splitter.scanner
        if patience.limit_s is None:
            patience.renew(run.gap_patience_s())
        while (data := await answer.read()) is not None:
            clock.note_answer()
            run.on_begun()
            known_events = scanner.count
            data = run.take_stream(data)
            if scanner.count > known_events:
                patience.renew(run.gap_patience_s())
            if data:
                with patience.suspended():
                    await self.begin(run, answer.head.headers, clock)
                    await run.exchange.send(data)
        patience.renew(None)
        await self.begin(run, answer.head.headers, clock)
        if run.splitter.held:
            await run.exchange.send(run.splitter.held)
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
                vm_id=run.newest_vm_id,
                latency_ms=int((now_s() - started_s) * MS_PER_S),
                attempt_ms=int(clock.latency_ms),
                target_ms=run.work.route.target_ms,
            )
            await run.exchange.start(HTTP_OK[0], headers)


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
