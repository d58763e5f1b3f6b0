"""Track the attempts to forward one request."""

from collections.abc import Callable, Iterator
from contextlib import contextmanager
from functools import cached_property
from math import inf
from typing import NamedTuple

import anyio

from berylcart.clock import now_s
from berylcart.coordination.gateway.body_buffer import BodyBuffer
from berylcart.coordination.gateway.crash_traits import (
    Traits,
    request_traits,
)
from berylcart.coordination.gateway.event_splitter import EventSplitter
from berylcart.coordination.gateway.first_event_timeout import (
    first_event_timeout_s,
)
from berylcart.coordination.gateway.joint_placement import PlacedRequest
from berylcart.coordination.gateway.permitted_places import Places
from berylcart.coordination.gateway.ports import (
    CallerExchange,
)
from berylcart.coordination.gateway.second_attempts import (
    TimeKey,
    size_class,
)
from berylcart.coordination.serving.hedging import RaceParticipant
from berylcart.state.errors import (
    UpstreamError,
)
from berylcart.state.peer_messages import PlacementQuery
from berylcart.state.relay_messages import (
    RelayRequest,
    ResponseHead,
)
from berylcart.state.request import Progress
from berylcart.state.routes import Route, RouteKind
from berylcart.state.vm import Vm

MS_PER_S = 1000
# Maximum sends of a request, including those known not to have executed.
MAX_SENDS = 4
# With less time before the deadline, a request is not sent again.
MIN_REMAINING_S = 0.02
# If another replica may execute the request, an attempt is abandoned after
# this many target latencies without progress.
SILENCE_TARGET_FACTOR = 2.0
MIN_SILENCE_S = 0.3
MAX_DEADLINE_SHARE = 0.5
GAP_TIMEOUT_FACTOR = 6.0
MIN_GAP_TIMEOUT_S = 1.0


class RoutedRequest(NamedTuple):
    """A request with its routing decisions."""

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
    def remaining_s(self) -> float:
        """Return the time until the request's deadline."""
        return self.deadline_s - now_s()


class FallbackResponse(NamedTuple):
    """A complete failed response, sent only if no other attempt succeeds."""

    head: ResponseHead
    body: BodyBuffer


class ProgressTimeout:
    """Cancel an attempt whose replica makes no progress for a given time."""

    def __init__(self, limit_s: float | None) -> None:
        self.scope = anyio.CancelScope()
        self.restart(limit_s)

    def restart(self, limit_s: float | None) -> None:
        """Restart the timeout from now; None disables it."""
        self.limit_s = limit_s
        self.scope.deadline = inf if limit_s is None else now_s() + limit_s

    @contextmanager
    def suspended(self) -> Iterator[None]:
        """Suspend the timeout while data is written to the client.

        A client that reads slowly must not count as a silent replica.
        """
        deadline_s, self.scope.deadline = self.scope.deadline, inf
        begun_s = now_s()
        try:
            yield
        finally:
            self.scope.deadline = deadline_s + now_s() - begun_s


class ForwardRun:
    """The attempts of one request and their state."""

    def __init__(
        self, work: RoutedRequest, exchange: CallerExchange, progress: Progress
    ) -> None:
        self.work = work
        self.exchange = exchange
        self.progress = progress
        self.on_response_started: Callable[[], None] = lambda: None
        # Called when the request is sent, with a scope that the attempt
        # cancels when it ends.
        self.on_sent: Callable[[anyio.CancelScope], None] = lambda _: None
        # Returns whether the stage results that the request reads still exist.
        self.has_inputs: Callable[[], bool] = lambda: True
        # Whether part of a response has arrived.
        self.has_response_started = False
        self.tried: set[str] = set()
        self.sends = 0
        self.runs = 0
        self.splitter = EventSplitter()
        # The content type of the stream that was begun.
        self.content_type: bytes | None = None
        self.failure: UpstreamError | None = None
        self.kept: FallbackResponse | None = None
        self.placed: PlacedRequest | None = None
        self.first_event_at_s: float | None = None
        # Start of the attempt whose response was forwarded first.
        self.attempt_at_s: float | None = None

    @property
    def may_execute_again(self) -> bool:
        """Return whether another replica may execute the request later."""
        route = self.work.route
        return route.is_repeatable and self.runs < route.max_attempts

    @property
    def may_hedge(self) -> bool:
        """Return whether the next attempt may be hedged by a second one."""
        route = self.work.route
        is_unsent = not self.exchange.is_started and self.has_inputs()
        runs_left = route.max_attempts - self.runs
        return route.is_repeatable and runs_left > 1 and is_unsent

    @property
    def may_start_hedge(self) -> bool:
        """Return whether a hedged attempt may start now."""
        is_unsent = not self.has_response_started and self.has_inputs()
        is_worth_it = self.work.remaining_s >= MIN_REMAINING_S
        is_allowed = self.may_execute_again and self.sends < MAX_SENDS
        return is_unsent and is_allowed and is_worth_it

    @cached_property
    def time_key(self) -> TimeKey:
        """Return the key of requests with similar latency."""
        work = self.work
        is_stream = work.route.kind is RouteKind.STREAM
        tokens = work.request.prompt.input_tokens
        return TimeKey(work.service, is_stream, size_class(tokens))

    @cached_property
    def traits(self) -> Traits:
        """Return what replicas may crash on in this request."""
        return request_traits(self.work.request, self.work.workspace)

    @property
    def silence_timeout_s(self) -> float:
        """Return the silence after which a replica counts as stalled."""
        target_s = self.work.route.target_ms / MS_PER_S
        return max(MIN_SILENCE_S, SILENCE_TARGET_FACTOR * target_s)

    def first_progress_timeout_s(self) -> float | None:
        """Return the timeout for a replica's first progress, if any."""
        if not self.may_execute_again:
            return None
        return min(
            self.silence_timeout_s, MAX_DEADLINE_SHARE * self.work.remaining_s
        )

    def event_timeout_s(self) -> float | None:
        """Return the timeout for a stream's next event, None for no timeout.

        It is the time after which callers disconnect by themselves. For a
        route without an event gap only the deadline applies.
        """
        route = self.work.route
        return first_event_timeout_s(route) if route.gap_ms else None

    def stall_timeout_s(self) -> float | None:
        """Return the time without an event after which a stream stalls.

        None if no other replica may resume it.
        """
        if not self.may_execute_again:
            return None
        gap_s = GAP_TIMEOUT_FACTOR * self.work.route.gap_ms / MS_PER_S
        return max(MIN_GAP_TIMEOUT_S, gap_s)

    def add_buffered(self, count_bytes: int) -> None:
        """Account for buffered bytes; a negative count releases them."""
        if count_bytes:
            self.exchange.add_buffered(count_bytes)

    def store_fallback(self, kept: FallbackResponse) -> None:
        """Keep a failed response, replacing an earlier one.

        Its bytes already count as buffered.
        """
        if self.kept is not None:
            self.add_buffered(-len(self.kept.body))
        self.kept = kept

    def take_fallback(self) -> FallbackResponse | None:
        """Remove and return the failed response that is kept, if any."""
        kept, self.kept = self.kept, None
        return kept

    @contextmanager
    def buffering(self) -> Iterator[BodyBuffer]:
        """Yield a buffer and release its remaining bytes on exit."""
        buffer = BodyBuffer()
        try:
            yield buffer
        finally:
            self.add_buffered(-len(buffer))

    @contextmanager
    def splitting(
        self, entrant: RaceParticipant | None
    ) -> Iterator[EventSplitter]:
        """Yield the event splitter of an attempt.

        Hedged attempts run in parallel only before the first event. Each has
        its own splitter; that of the winner becomes the splitter of the
        request.
        """
        splitter = self.splitter if entrant is None else EventSplitter()
        self.discard_partial(splitter)
        try:
            yield splitter
        finally:
            if splitter is not self.splitter:
                self.discard_partial(splitter)

    def adopt_splitter(self, splitter: EventSplitter) -> None:
        """Adopt the event splitter of the winning attempt."""
        self.discard_partial(self.splitter)
        self.splitter = splitter

    def discard_partial(self, splitter: EventSplitter) -> None:
        """Discard an incomplete event and release its bytes."""
        self.add_buffered(-len(splitter.partial))
        splitter.discard_partial()

    def split_stream(self, splitter: EventSplitter, data: bytes) -> bytes:
        """Process bytes of a stream and return those to forward.

        Raises UpstreamError if an incomplete event is too large to buffer.
        """
        if self.work.route.is_resumable:
            known_bytes = len(splitter.partial)
            try:
                return splitter.feed(data)
            finally:
                self.add_buffered(len(splitter.partial) - known_bytes)
        splitter.scanner.feed(data)
        return data


def placement_query(work: RoutedRequest) -> PlacementQuery:
    """Build the placement query for the home daemon of the service."""
    prompt = work.request.prompt
    shared = prompt.parts[:-1]
    return PlacementQuery(
        work.service,
        shared,
        max(0, prompt.input_tokens - sum(part.tokens for part in shared)),
        prompt.output_tokens,
        max(1, int(work.remaining_s * MS_PER_S)),
        work.inputs_place,
        work.input_bytes,
    )
