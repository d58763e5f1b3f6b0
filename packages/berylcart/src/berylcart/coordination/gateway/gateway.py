"""Serve gateway requests: resolve the route, run the stages, forward."""

from collections.abc import Callable

import anyio

from berylcart import events
from berylcart.clock import now_s
from berylcart.coordination.gateway.batch_selection import MAX_PIECES
from berylcart.coordination.gateway.completed_request import (
    CompletedRequest,
    RequestLabels,
)
from berylcart.coordination.gateway.drain import draining_error
from berylcart.coordination.gateway.first_event_timeout import (
    first_event_timeout_s,
)
from berylcart.coordination.gateway.forward_run import (
    ForwardRun,
    RoutedRequest,
)
from berylcart.coordination.gateway.forwarder import (
    Forwarder,
)
from berylcart.coordination.gateway.gateway_policy import (
    GatewayPolicy,
    RouteTableSource,
)
from berylcart.coordination.gateway.ports import CallerExchange, MessageCodec
from berylcart.coordination.gateway.request_ages import RequestAgeEstimator
from berylcart.coordination.gateway.request_target import (
    RequestTarget,
    resolve_target,
)
from berylcart.coordination.gateway.response_checks import HTTP_OK
from berylcart.coordination.gateway.response_times import ResponseTime
from berylcart.coordination.gateway.stage_executor import (
    StageExecutor,
    StagePlan,
)
from berylcart.coordination.gateway.stage_times import remaining_times_s
from berylcart.state.errors import (
    BerylcartError,
    Code,
    InputsGoneError,
    Ran,
)
from berylcart.state.relay_messages import RelayRequest
from berylcart.state.request import Progress, strongest
from berylcart.state.routes import (
    Route,
)
from berylcart.state.vm import Vm

MS_PER_S = 1000
# How often the stages of a request run if their results are lost.
MAX_STAGE_RUNS = 2
RETRY_AFTER_MS = 500


class OpenRequest:
    """A request in progress, which can be withdrawn until it is answered."""

    def __init__(self, exchange: CallerExchange, deadline_s: float) -> None:
        self.exchange = exchange
        self.scope = anyio.CancelScope(deadline=deadline_s)
        self.is_withdrawn = False

    def withdraw(self) -> bool:
        """Cancel the request unless its response has begun; tell if so."""
        if not self.exchange.is_started:
            self.is_withdrawn = True
            self.scope.cancel()
        return self.is_withdrawn


class Gateway:
    """Serve the requests of one entry point."""

    def __init__(
        self,
        tables: RouteTableSource,
        wire: MessageCodec,
        policy: GatewayPolicy,
        forwarder: Forwarder,
        stages: StageExecutor,
    ) -> None:
        self.tables = tables
        self.wire = wire
        self.policy = policy
        self.forwarder = forwarder
        self.stages = stages
        self.drain = forwarder.drain
        self.age_estimator = RequestAgeEstimator()
        self.open_requests: set[OpenRequest] = set()
        self.in_flight = 0
        self.ended = anyio.Event()
        self.on_completed: Callable[[CompletedRequest], None] = lambda _: None

    async def handle(self, exchange: CallerExchange) -> None:
        """Serve a request; a response that fails midway is left truncated."""
        progress = Progress()
        labels = RequestLabels()
        status = 0
        code: Code | None = Code.INTERNAL
        self.in_flight += 1
        try:
            status = await self.serve(exchange, progress, labels)
            code = None
            if status in HTTP_OK:
                self.record_response_time(exchange, labels.run)
        except BerylcartError as error:
            error.ran = strongest(error.ran, progress.ran)
            code = error.code
            status = await self.refuse(exchange, error)
            events.info(
                "request.failed",
                request_id=labels.request_id,
                route=labels.route,
                config_version=labels.config_version,
                config_era=labels.config_origin.era,
                config_source=labels.config_origin.source,
                code=int(error.code),
                ran=error.ran,
                detail=error.detail,
            )
        except anyio.get_cancelled_exc_class():
            code = Code.CALLER_GONE
            raise
        finally:
            self.in_flight -= 1
            self.ended.set()
            elapsed_s = now_s() - exchange.received_at_s
            self.on_completed(
                CompletedRequest(
                    labels.request_id,
                    labels.route,
                    labels.workspace,
                    status,
                    0 if code is None else int(code),
                    progress.ran,
                    elapsed_s * MS_PER_S,
                    labels.timing(exchange),
                    labels.config_version,
                    labels.config_origin,
                )
            )

    async def wait_idle(self) -> None:
        """Wait until no request is in flight."""
        while self.in_flight:
            self.ended = anyio.Event()
            await self.ended.wait()

    def withdraw_unanswered(self) -> int:
        """Withdraw the requests whose response has not begun; count them.

        Each gets an error that tells whether it may have run.
        """
        return sum(each.withdraw() for each in list(self.open_requests))

    def record_response_time(
        self, exchange: CallerExchange, run: ForwardRun | None
    ) -> None:
        """Record the time of a complete response."""
        if run is None or run.attempt_at_s is None:
            return
        end_s = now_s()
        first_s = run.first_event_at_s or end_s
        self.forwarder.response_times.record(
            run.work.route.name,
            run.work.request.prompt.output_tokens,
            ResponseTime(
                run.attempt_at_s - exchange.received_at_s,
                first_s - run.attempt_at_s,
                end_s - first_s,
            ),
        )

    async def refuse(
        self, exchange: CallerExchange, error: BerylcartError
    ) -> int:
        """Send an error response unless a response has been started."""
        if exchange.is_started:
            return 0
        if error.ran is Ran.NO and error.retry_after_ms is None:
            error.retry_after_ms = RETRY_AFTER_MS
        refusal = self.wire.refuse(error)
        await exchange.answer(refusal)
        return refusal.status

    async def serve(
        self,
        exchange: CallerExchange,
        progress: Progress,
        labels: RequestLabels,
    ) -> int:
        """Serve a request within its deadline; raises BerylcartError."""
        request = self.wire.parse_request(exchange.head, exchange.body)
        labels.request_id = request.request_id
        table = self.tables.require()
        labels.config_version = table.version
        labels.config_origin = table.origin
        target = resolve_target(table, request)
        labels.set_target(target)
        limit_ms = min(request.deadline_ms, target.route.timeout_ms)
        deadline_s = exchange.received_at_s + limit_ms / MS_PER_S
        self.drain.check_arrival(
            deadline_s, self.expected_time_s(request, target.route)
        )
        opened = OpenRequest(exchange, deadline_s)
        self.open_requests.add(opened)
        try:
            with opened.scope:
                return await self.run(
                    exchange, request, target, deadline_s, progress, labels
                )
        finally:
            self.open_requests.discard(opened)
        if opened.is_withdrawn:
            raise draining_error(
                "this entry stopped before the response began", progress.ran
            )
        raise BerylcartError(
            Code.DEADLINE_EXCEEDED,
            f"no whole answer within {limit_ms} ms",
            ran=progress.ran,
        )

    def expected_time_s(
        self, request: RelayRequest, route: Route
    ) -> float | None:
        """Predict a new request's longest time, None if it is unknown."""
        slowest = self.forwarder.response_times.slowest(
            route.name, request.prompt.output_tokens
        )
        return None if slowest is None else sum(slowest)

    async def run(
        self,
        exchange: CallerExchange,
        request: RelayRequest,
        target: RequestTarget,
        deadline_s: float,
        progress: Progress,
        labels: RequestLabels,
    ) -> int:
        """Run a request's stages and forward it."""
        route = target.route
        places = self.policy.places_of(route, target.owner)
        service = self.policy.service_of(route, places)
        self.policy.budget.record_request(service)
        work = RoutedRequest(
            request,
            route,
            service,
            target.owner.workspace if target.owner else None,
            deadline_s,
            places=places,
        )
        run = ForwardRun(work, exchange, progress)
        labels.run = run
        self.forwarder.check_traits(run)
        if not route.stages:
            return await self.forwarder.forward(run)
        for number in range(1, MAX_STAGE_RUNS + 1):
            try:
                return await self.run_staged(run, target.rank, labels)
            except InputsGoneError:
                events.warning(
                    "request.inputs_lost",
                    request_id=request.request_id,
                    route=route.name,
                    stage_run=number,
                )
                if number == MAX_STAGE_RUNS or not self.may_resend(run):
                    raise
        raise AssertionError

    def may_resend(self, run: ForwardRun) -> bool:
        """Return whether the retry budget allows a resend, if it is one."""
        return not run.sends or self.policy.budget.try_take(run.work.service)

    async def run_staged(
        self, run: ForwardRun, rank: int, labels: RequestLabels
    ) -> int:
        """Run the stages of a request, then forward it."""
        work = run.work
        vm = await self.forwarder.predict_placement(run) or self.policy.choose(
            work.service,
            work.request.prompt.affinity,
            run.tried,
            work.places,
        )
        plan = self.plan(run, rank, vm)
        labels.plan = plan
        for index, stage in enumerate(work.route.stages):
            if plan.count(index):
                self.policy.check_stage(stage.service, work.places)
        self.stages.home.backlogs.check(
            work.route,
            self.tables.require().services,
            plan.deadline_s - now_s(),
        )
        try:
            inputs = await self.stages.run_all_stages(plan)
            run.work = work._replace(
                inputs=inputs,
                preferred=vm,
                inputs_place=self.stages.most_common_place(inputs),
                input_bytes=work.route.final_input_bytes(
                    work.request.piece_counts
                ),
            )
            run.has_inputs = lambda: not inputs or bool(plan.results)
            # Once its response begins, the replica has read its inputs.
            run.on_response_started = lambda: self.stages.free_all_results(
                plan
            )
            run.on_sent = lambda attempt: self.stages.schedule_free_after_read(
                plan, attempt
            )
            return await self.forwarder.forward(run)
        finally:
            self.stages.free_all_results(plan)

    def plan(self, run: ForwardRun, rank: int, vm: Vm) -> StagePlan:
        """Plan the stages of a request; raises BAD_REQUEST."""
        work = run.work
        route = work.route
        received_s = run.exchange.received_at_s
        leaves_s = received_s + first_event_timeout_s(route)
        if len(work.request.piece_counts) != len(route.stages):
            raise BerylcartError(
                Code.BAD_REQUEST,
                f"{len(work.request.piece_counts)} piece counts for "
                f"{len(route.stages)} stages",
            )
        deadline_ms = int(work.request.deadline_ms)
        age_ms = self.age_estimator.age_ms(route.name, deadline_ms)
        if age_ms:
            events.info(
                "request.retry_detected",
                request_id=work.request.request_id,
                route=route.name,
                deadline_ms=deadline_ms,
                age_ms=age_ms,
            )
        if sum(work.request.piece_counts) > MAX_PIECES:
            raise BerylcartError(
                Code.BAD_REQUEST,
                f"{sum(work.request.piece_counts)} pieces; {MAX_PIECES} at "
                "most",
            )
        return StagePlan(
            work.request,
            route,
            rank,
            due_s=received_s + (route.target_ms - age_ms) / MS_PER_S,
            deadline_s=min(work.deadline_s, leaves_s),
            place=vm.place,
            remaining_times_s=remaining_times_s(
                route,
                work.request.piece_counts,
                self.tables.require().services,
                lambda service: len(
                    self.policy.permitted_pool(service, work.places)
                ),
                self.forwarder.first_event_times.expected_s(route.name),
            ),
            link_mbps=self.link_mbps(route),
            places=work.places,
        )

    def link_mbps(self, route: Route) -> float:
        """Return the bandwidth of the slowest link that transfers inputs."""
        services = self.tables.require().services
        infos = [
            services.get(route.stages[index].service)
            for index in route.final_stages
        ]
        limits = [info.batches for info in infos if info is not None]
        return min((each.link_mbps for each in limits if each), default=0.0)
