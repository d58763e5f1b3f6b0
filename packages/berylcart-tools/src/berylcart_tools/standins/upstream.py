"""Serve attempts over HTTP, as common to all upstream stand-ins."""

from collections.abc import Callable
from functools import partial

import anyio
from anyio.abc import TaskStatus
from berylcart.protocol.json_codec import MessageError, to_builtins
from berylcart.protocol.upstream_messages import (
    INSTANCE_HEADER,
    LoadMessage,
    RefusalReason,
    RunMessage,
    read_run,
)
from berylcart.state.stage import StageChunk, StageReply
from berylcart.state.vm import VmState
from berylcart.transport.http_client import HttpClient
from starlette.applications import Starlette
from starlette.requests import Request
from starlette.responses import Response
from starlette.routing import Route

from berylcart_tools.standins.attempt_executor import (
    AttemptContext,
    AttemptExecutor,
    OverloadedError,
)
from berylcart_tools.standins.clock import sleep_ms
from berylcart_tools.standins.event_stream import EventStreamResponse
from berylcart_tools.standins.faults import Faults, RefusalMode
from berylcart_tools.standins.http_responses import (
    STATUS_CLIENT_CLOSED,
    json_response,
    refusal_response,
    reject_malformed,
    run_until_disconnect,
)
from berylcart_tools.standins.load_report import DelayedLoad
from berylcart_tools.standins.registration import (
    Registration,
    UpstreamSettings,
    instance_name,
    with_incarnation,
)
from berylcart_tools.standins.run_recorder import RunRecorder
from berylcart_tools.standins.serve import serve_app

RETRY_AFTER_MS = 100
IDLE_POLL_MS = 10


class UpstreamStandin:
    """Serve the attempts and the load report of one upstream."""

    def __init__(
        self,
        settings: UpstreamSettings,
        executor: AttemptExecutor,
        faults: Faults,
    ) -> None:
        self.settings = with_incarnation(settings)
        self.instance = instance_name(self.settings)
        self.faults = faults
        self.executor = executor
        self.recorder = RunRecorder(settings.place)
        self.reported_load = DelayedLoad(settings.load_lag_ms)
        self.is_draining = False
        self.attempts_in_flight = 0

    def app(self, extra_routes: list[Route] | None = None) -> Starlette:
        """Build the ASGI application."""
        return Starlette(
            routes=[
                Route("/v1/run", reject_malformed(self.run), methods=["POST"]),
                Route("/v1/load", self.load, methods=["GET"]),
                *(extra_routes or []),
                *self.recorder.routes(),
                *self.faults.routes(),
            ]
        )

    async def load(self, request: Request) -> Response:
        """Report the load as it was load_lag_ms ago."""
        as_of_ms, load = self.reported_load.report()
        state = VmState.LEAVING if self.is_draining else VmState.LIVE
        message = LoadMessage(
            instance=self.instance,
            in_flight=load.in_flight,
            queued=load.queued,
            capacity=self.settings.capacity,
            as_of_ms=as_of_ms,
            state=state,
        )
        return json_response(message)

    async def run(self, request: Request) -> Response:
        """Run one attempt, or answer why it was refused or rejected."""
        message = read_run(await request.body())
        expected_instance = request.headers.get(INSTANCE_HEADER, self.instance)
        if expected_instance != self.instance:
            return json_response({"instance": self.instance}, 412)
        reason = self.refusal_reason()
        if reason is not None:
            return refusal_response(reason, RETRY_AFTER_MS)
        try:
            self.check(message)
        except MessageError as error:
            return json_response({"detail": error.detail}, 422)
        return await self.run_accepted(request, message)

    def refusal_reason(self) -> RefusalReason | None:
        """Return why new attempts are refused now, or None if they are not."""
        if self.is_draining or self.faults.refuse == RefusalMode.DRAINING:
            return RefusalReason.DRAINING
        if self.faults.refuse == RefusalMode.OVERLOADED:
            return RefusalReason.OVERLOADED
        return None

    def check(self, message: RunMessage) -> None:
        """Raise MessageError for another service or an invalid payload."""
        if message["service"] != self.settings.service:
            raise MessageError("another service is served here")
        self.executor.check(message)

    async def run_accepted(
        self, request: Request, message: RunMessage
    ) -> Response:
        """Run an accepted attempt, streamed if requested and supported."""
        if message["stream"] and self.executor.is_streaming_supported:
            if self.executor.is_full():
                return refusal_response(
                    RefusalReason.OVERLOADED, RETRY_AFTER_MS
                )
            attempt_id = self.choose_attempt_id(message)
            return EventStreamResponse(
                partial(self.perform, message, attempt_id), attempt_id
            )
        run_attempt = partial(self.run_unstreamed, message)
        try:
            if self.executor.is_cancelled_on_disconnect:
                reply = await run_until_disconnect(request, run_attempt)
            else:
                reply = await run_attempt()
        except OverloadedError:
            return refusal_response(RefusalReason.OVERLOADED, RETRY_AFTER_MS)
        if reply is None:
            return Response(status_code=STATUS_CLIENT_CLOSED)
        return json_response(to_builtins(reply))

    def choose_attempt_id(self, message: RunMessage) -> str:
        """Return the attempt id to answer with: a wrong one if crossed."""
        attempt_id = message["attempt_id"]
        if self.faults.consume_cross():
            return self.recorder.other_attempt_id(attempt_id)
        return attempt_id

    async def run_unstreamed(self, message: RunMessage) -> StageReply:
        """Run one attempt whose reply is sent as a whole."""
        attempt_id = message["attempt_id"]
        reply = await self.perform(message, attempt_id, lambda chunk: None)
        return reply._replace(attempt_id=self.choose_attempt_id(message))

    async def perform(
        self,
        message: RunMessage,
        response_attempt_id: str,
        emit: Callable[[StageChunk], None],
    ) -> StageReply:
        """Run one attempt, tracking its load and recording its start."""

        def on_start() -> None:
            self.recorder.record(message)
            self.record_load()

        self.attempts_in_flight += 1
        load = self.executor.load()
        self.reported_load.add_sample(load._replace(queued=load.queued + 1))
        try:
            result = await self.executor.run(
                AttemptContext(message, on_start, emit)
            )
        finally:
            self.attempts_in_flight -= 1
            self.record_load()
        return StageReply(response_attempt_id, self.instance, *result)

    def record_load(self) -> None:
        """Add the current load as a sample for later reports."""
        self.reported_load.add_sample(self.executor.load())

    async def wait_until_idle(self) -> None:
        """Wait until no attempt is in flight."""
        while self.attempts_in_flight > 0:
            await sleep_ms(IDLE_POLL_MS)


async def serve_upstream(
    kind: str,
    standin: UpstreamStandin,
    *,
    extra_routes: list[Route] | None = None,
    stop: anyio.Event | None = None,
    task_status: TaskStatus[str] = anyio.TASK_STATUS_IGNORED,
) -> None:
    """Serve until stop is set, then drain and deregister the VM.

    Reports the address once started. Draining marks the VM as leaving,
    refuses new attempts as draining, completes those in flight and then
    removes the VM from the list.
    """
    stop = stop or anyio.Event()
    stop_server = anyio.Event()
    settings = standin.settings
    async with HttpClient() as client, anyio.create_task_group() as tasks:
        serve = partial(serve_app, kind, standin.app(extra_routes))
        address = await tasks.start(
            partial(serve, standin.faults, settings.address, stop=stop_server)
        )
        registration = Registration(settings, address, client)
        task_status.started(address)
        await register_until_stopped(standin, registration, stop)
        stop_server.set()


async def register_until_stopped(
    standin: UpstreamStandin, registration: Registration, stop: anyio.Event
) -> None:
    """Stay registered until stop is set, then drain and deregister."""
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(registration.put, VmState.LIVE)
        await stop.wait()
        tasks.cancel_scope.cancel()
    standin.is_draining = True
    await registration.mark_leaving()
    await standin.wait_until_idle()
    await registration.delete()
