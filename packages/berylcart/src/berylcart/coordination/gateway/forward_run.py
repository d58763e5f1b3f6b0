"""Hold what one request that is forwarded has tried so far."""

from collections.abc import Callable, Iterator
from contextlib import contextmanager
from functools import cached_property
from math import inf
from typing import NamedTuple

import anyio

from berylcart.clock import now_s
from berylcart.coordination.gateway.caller_patience import first_event_s
from berylcart.coordination.gateway.engine_home import Placed
from berylcart.coordination.gateway.event_splitter import EventSplitter
from berylcart.coordination.gateway.permitted import Places
from berylcart.coordination.gateway.ports import (
    CallerExchange,
)
from berylcart.coordination.gateway.second_attempts import (
    TimeKey,
    size_class,
)
from berylcart.coordination.serving.hedging import Entrant
from berylcart.state.errors import (
    UpstreamError,
)
from berylcart.state.peer_messages import PlacementQuery
from berylcart.state.relayed import (
    AnswerHead,
    RelayRequest,
)
from berylcart.state.request import Progress
from berylcart.state.routes import Route, RouteKind
from berylcart.state.vm import Vm

MS_PER_S = 1000
# Sends in all: those that certainly did not run included.
MAX_SENDS = 4
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
