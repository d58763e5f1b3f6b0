"""Forward the response of one attempt to the client."""

from typing import NamedTuple, Protocol

import anyio

from berylcart.coordination.gateway.body_buffer import BodyBuffer
from berylcart.coordination.gateway.event_splitter import EventSplitter
from berylcart.coordination.gateway.forward_run import (
    FallbackResponse,
    ForwardRun,
    ProgressTimeout,
)
from berylcart.coordination.gateway.gateway_policy import AttemptTiming
from berylcart.coordination.gateway.ports import UpstreamResponse
from berylcart.coordination.gateway.response_checks import (
    HTTP_NOT_EXECUTED,
    HTTP_OK,
    HTTP_SERVER_ERRORS,
    check_response,
    check_resumed,
    content_type,
    response_error,
)
from berylcart.coordination.gateway.stalled_stream import StallTimer
from berylcart.coordination.serving.hedging import RaceParticipant
from berylcart.state.errors import Code, Ran, UpstreamError
from berylcart.state.relay_messages import ResponseHead
from berylcart.state.routes import RouteKind
from berylcart.state.vm import Vm

# Larger responses are forwarded while they arrive, as are all when memory is
# scarce.
BUFFERED_BYTES = 2**20


class Reply(NamedTuple):
    """One attempt's response and what bounds and follows its forwarding.

    entrant is None if no other attempt may run at the same time.
    """

    run: ForwardRun
    answer: UpstreamResponse
    timing: AttemptTiming
    progress_timeout: ProgressTimeout
    entrant: RaceParticipant | None


class Attempts(Protocol):
    """Follow the progress of attempts, and move a stalled stream."""

    def record_first_byte(
        self, run: ForwardRun, head: ResponseHead, timing: AttemptTiming
    ) -> None:
        """Record the time to the first byte of a response."""
        ...

    def record_event(self, run: ForwardRun, timing: AttemptTiming) -> None:
        """Record that an answer has begun."""
        ...

    def record_stream_begun(
        self, run: ForwardRun, timing: AttemptTiming
    ) -> None:
        """Record the first event of a stream."""
        ...

    def record_survival(self, run: ForwardRun) -> None:
        """Record that a replica ran the request to a failure of its own."""
        ...

    def report_placement(
        self,
        run: ForwardRun,
        vm: Vm,
        *,
        is_begun: bool,
        is_failed: bool = False,
    ) -> None:
        """Report the progress of a placed request."""
        ...

    async def move_stream(
        self, run: ForwardRun, answer: UpstreamResponse
    ) -> None:
        """Try the other replicas; return if none of them takes the stream."""
        ...


class ResponseForwarder:
    """Pass a response on to the client, buffered or as a stream."""

    def __init__(self, attempts: Attempts) -> None:
        self.attempts = attempts

    async def forward(self, reply: Reply) -> int:
        """Forward one response and return its status; raises UpstreamError."""
        run, head = reply.run, reply.answer.head
        check_response(head, run.work.route)
        is_ok = head.status in HTTP_OK
        if head.is_sealed and not is_ok:
            self.attempts.record_survival(run)
        if run.work.route.kind is RouteKind.STREAM and is_ok:
            if run.exchange.is_started:
                check_resumed(head, run.content_type)
            with run.splitting(reply.entrant) as splitter:
                await self.forward_events(reply, splitter)
        elif run.exchange.is_started:
            # Its body would terminate the started stream as if it were
            # complete.
            raise response_error(head)
        else:
            with run.buffering() as body:
                await self.forward_body(reply, body)
        return head.status

    async def forward_body(self, reply: Reply, body: BodyBuffer) -> None:
        """Buffer a body before any of it is sent; count what is held."""
        run, head = reply.run, reply.answer.head
        has_begun = False
        while True:
            data = await reply.answer.read()
            self.attempts.record_first_byte(run, head, reply.timing)
            if data is None:
                break
            is_ok = head.status in HTTP_OK
            must_begin = is_ok and not run.exchange.may_buffer(len(data))
            body.add(data)
            if is_ok:
                self.attempts.record_event(run, reply.timing)
            run.add_buffered(len(data))
            if must_begin or len(body) > BUFFERED_BYTES:
                has_begun = True
                # Once the response has started, no other replica can replace
                # it.
                reply.progress_timeout.restart(None)
                with reply.progress_timeout.suspended():
                    await start_response(run, head, reply.entrant)
                    await self.flush_buffer(run, body)
        may_retry = head.status in HTTP_SERVER_ERRORS and run.may_execute_again
        is_yielding = yields_to_rival(reply.entrant, head) or may_retry
        if not has_begun and is_yielding:
            run.store_fallback(FallbackResponse(head, body.detach()))
            raise response_error(head)
        reply.progress_timeout.restart(None)
        run.attempt_at_s = reply.timing.started_s
        await start_response(run, head, reply.entrant)
        await self.flush_buffer(run, body)
        await run.exchange.finish()

    async def flush_buffer(self, run: ForwardRun, body: BodyBuffer) -> None:
        """Send the buffered bytes piece by piece.

        Each piece is released before, as the exchange counts what of it waits
        for the caller.
        """
        while body:
            data = body.take()
            run.add_buffered(-len(data))
            await run.exchange.send(data)

    async def forward_events(
        self, reply: Reply, splitter: EventSplitter
    ) -> None:
        """Forward events as they arrive and count incomplete ones as held."""
        run, timing, timeout = reply.run, reply.timing, reply.progress_timeout
        scanner = splitter.scanner
        stall = StallTimer()
        if timeout.limit_s is None:
            timeout.restart(run.event_timeout_s())
        while (data := await self.read_stream(reply, stall)) is not None:
            self.attempts.record_first_byte(run, reply.answer.head, timing)
            self.attempts.report_placement(run, timing.vm, is_begun=True)
            if reply.entrant is None or reply.entrant.has_won:
                run.on_response_started()
            known_events = scanner.count
            data = run.split_stream(splitter, data)
            if scanner.count > known_events:
                timeout.restart(run.event_timeout_s())
                stall.restart(run.stall_timeout_s())
                self.attempts.record_event(run, timing)
            if data:
                await claim_stream(run, splitter, reply.entrant)
                with timeout.suspended(), stall.suspended():
                    await self.start_stream(reply)
                    await run.exchange.send(data)
        if scanner.has_field:
            raise UpstreamError(
                Code.UPSTREAM_FAILED,
                "the stream ended inside an event",
                ran=Ran.UNKNOWN,
            )
        await claim_stream(run, splitter, reply.entrant)
        timeout.restart(None)
        await self.start_stream(reply)
        if splitter.buffered:
            await run.exchange.send(splitter.buffered)
        await run.exchange.finish()

    async def read_stream(
        self, reply: Reply, stall: StallTimer
    ) -> bytes | None:
        """Read a stream; have other replicas try to go on if it stalls.

        Raises StreamMovedError if one did. The stalled replica is read on if
        all others refuse, as it may only be reading a long prompt.
        """
        if stall.is_running:
            with anyio.CancelScope(deadline=stall.deadline_s):
                return await reply.answer.read()
            stall.restart(None)
            with reply.progress_timeout.suspended():
                await self.attempts.move_stream(reply.run, reply.answer)
        return await reply.answer.read()

    async def start_stream(self, reply: Reply) -> None:
        """Write the response head of a stream, unless already written."""
        run, head = reply.run, reply.answer.head
        if not run.exchange.is_started:
            self.attempts.record_stream_begun(run, reply.timing)
            run.content_type = content_type(head.headers)
            run.attempt_at_s = reply.timing.started_s
            await run.exchange.start(HTTP_OK[0], head.headers)


async def start_response(
    run: ForwardRun, head: ResponseHead, entrant: RaceParticipant | None
) -> None:
    """Claim the client for a response and write its head once.

    An attempt that lost is cancelled here. Raises UpstreamError for a failed
    response that the other attempt may replace.
    """
    if entrant is not None:
        if yields_to_rival(entrant, head):
            raise response_error(head)
        await entrant.claim()
    if not run.exchange.is_started:
        await run.exchange.start(head.status, head.headers)


async def claim_stream(
    run: ForwardRun, splitter: EventSplitter, entrant: RaceParticipant | None
) -> None:
    """Claim the client for a stream; a losing attempt is cancelled here."""
    if entrant is not None and not entrant.has_won:
        await entrant.claim()
        run.adopt_splitter(splitter)
        run.on_response_started()


def yields_to_rival(
    entrant: RaceParticipant | None, head: ResponseHead
) -> bool:
    """Return whether a failed response yields to the other attempt."""
    if entrant is None or not entrant.has_competitor:
        return False
    return (
        head.status in HTTP_SERVER_ERRORS or head.status in HTTP_NOT_EXECUTED
    )
