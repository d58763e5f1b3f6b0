"""Serve attempts over HTTP as any upstream stand-in does."""

from collections.abc import Callable
from functools import partial

import anyio
from anyio.abc import TaskStatus
from berylcart.protocol.json_values import MessageError, to_plain
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

from berylcart_tools.standins.clock import sleep_ms
from berylcart_tools.standins.event_stream import EventStream
from berylcart_tools.standins.faults import Faults, Refuse
from berylcart_tools.standins.load_report import LaggingLoad
from berylcart_tools.standins.registration import (
    Registration,
    UpstreamSettings,
    identify,
    instance_name,
)
from berylcart_tools.standins.replies import (
    STATUS_CLOSED,
    checked,
    json_answer,
    refusal,
    run_until_closed,
)
from berylcart_tools.standins.serve import serve_app
from berylcart_tools.standins.witness import Witness
from berylcart_tools.standins.work import Job, OverloadedError, Work

RETRY_AFTER_MS = 100
IDLE_POLL_MS = 10


class UpstreamStandin:
    """Serve one upstream's attempts and its load report."""

    def __init__(
        self, settings: UpstreamSettings, work: Work, faults: Faults
    ) -> None:
        self.settings = identify(settings)
        self.instance = instance_name(self.settings)
        self.faults = faults
        self.work = work
        self.witness = Witness(settings.place)
        self.shown_load = LaggingLoad(settings.load_lag_ms)
        self.is_draining = False
        self.open_runs = 0

    def app(self, extra_routes: list[Route] | None = None) -> Starlette:
        """Build the application."""
        return Starlette(
            routes=[
                Route("/v1/run", checked(self.run), methods=["POST"]),
                Route("/v1/load", self.load, methods=["GET"]),
                *(extra_routes or []),
                *self.witness.routes(),
                *self.faults.routes(),
            ]
        )

    async def load(self, request: Request) -> Response:
        """Report the load with a lag."""
        as_of_ms, load = self.shown_load.report()
        state = VmState.LEAVING if self.is_draining else VmState.LIVE
        message = LoadMessage(
            instance=self.instance,
            in_flight=load.in_flight,
            queued=load.queued,
            capacity=self.settings.capacity,
            as_of_ms=as_of_ms,
            state=state,
        )
        return json_answer(message)

    async def run(self, request: Request) -> Response:
        """Run one attempt, or say why it did not run."""
        message = read_run(await request.body())
        expected = request.headers.get(INSTANCE_HEADER, self.instance)
        if expected != self.instance:
            return json_answer({"instance": self.instance}, 412)
        reason = self.refusal_reason()
        if reason is not None:
            return refusal(reason, RETRY_AFTER_MS)
        try:
            self.check(message)
        except MessageError as error:
            return json_answer({"detail": error.detail}, 422)
        return await self.accept(request, message)

    def refusal_reason(self) -> RefusalReason | None:
        """Say why no new work is taken now."""
        if self.is_draining or self.faults.refuse == Refuse.DRAINING:
            return RefusalReason.DRAINING
        if self.faults.refuse == Refuse.OVERLOADED:
            return RefusalReason.OVERLOADED
        return None

    def check(self, message: RunMessage) -> None:
        """Raise MessageError on what this upstream does not serve."""
        if message["service"] != self.settings.service:
            raise MessageError("another service is served here")
        self.work.check(message)

    async def accept(self, request: Request, message: RunMessage) -> Response:
        """Run an attempt that was not refused."""
        if message["stream"] and self.work.is_streaming:
            if self.work.is_full():
                return refusal(RefusalReason.OVERLOADED, RETRY_AFTER_MS)
            answer_id = self.answer_id(message)
            return EventStream(
                partial(self.perform, message, answer_id), answer_id
            )
        perform = partial(self.answer, message)
        try:
            if self.work.is_cancelled_by_close:
                reply = await run_until_closed(request, perform)
            else:
                reply = await perform()
        except OverloadedError:
            return refusal(RefusalReason.OVERLOADED, RETRY_AFTER_MS)
        if reply is None:
            return Response(status_code=STATUS_CLOSED)
        return json_answer(to_plain(reply))

    def answer_id(self, message: RunMessage) -> str:
        """Choose the attempt that the answer names."""
        attempt_id = message["attempt_id"]
        if self.faults.take_cross():
            return self.witness.other_attempt(attempt_id)
        return attempt_id

    async def answer(self, message: RunMessage) -> StageReply:
        """Do the work of one attempt that is answered at once."""
        attempt_id = message["attempt_id"]
        reply = await self.perform(message, attempt_id, lambda chunk: None)
        return reply._replace(attempt_id=self.answer_id(message))

    async def perform(
        self,
        message: RunMessage,
        answer_id: str,
        emit: Callable[[StageChunk], None],
    ) -> StageReply:
        """Do the work of one attempt."""

        def began() -> None:
            self.witness.record(message)
            self.note_load()

        self.open_runs += 1
        load = self.work.load()
        self.shown_load.note(load._replace(queued=load.queued + 1))
        try:
            result = await self.work.run(Job(message, began, emit))
        finally:
            self.open_runs -= 1
            self.note_load()
        return StageReply(answer_id, self.instance, *result)

    def note_load(self) -> None:
        """Keep the load of this moment for later reports."""
        self.shown_load.note(self.work.load())

    async def wait_idle(self) -> None:
        """Wait until no attempt is in flight."""
        while self.open_runs > 0:
            await sleep_ms(IDLE_POLL_MS)


async def serve_upstream(
    kind: str,
    standin: UpstreamStandin,
    *,
    extra_routes: list[Route] | None = None,
    stop: anyio.Event | None = None,
    task_status: TaskStatus[str] = anyio.TASK_STATUS_IGNORED,
) -> None:
    """Serve until stop is set, then leave gracefully.

    Starts with the address. Leaving marks the VM, refuses new work as
    draining, finishes what is in flight and removes the VM.
    """
    stop = stop or anyio.Event()
    closing = anyio.Event()
    settings = standin.settings
    async with HttpClient() as client, anyio.create_task_group() as tasks:
        serve = partial(serve_app, kind, standin.app(extra_routes))
        address = await tasks.start(
            partial(serve, standin.faults, settings.address, stop=closing)
        )
        registration = Registration(settings, address, client)
        task_status.started(address)
        await run_registered(standin, registration, stop)
        closing.set()


async def run_registered(
    standin: UpstreamStandin, registration: Registration, stop: anyio.Event
) -> None:
    """Stay registered until stop is set, then leave."""
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(registration.put, VmState.LIVE)
        await stop.wait()
        tasks.cancel_scope.cancel()
    standin.is_draining = True
    await registration.mark_leaving()
    await standin.wait_idle()
    await registration.delete()
