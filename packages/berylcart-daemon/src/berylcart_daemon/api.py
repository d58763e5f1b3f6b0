"""Answer callers over HTTP."""

from collections.abc import Callable
from typing import NamedTuple

import anyio
from berylcart import events
from berylcart.clock import now_s
from berylcart.coordination.serving.server import Server
from berylcart.protocol.answers import answer_bytes
from berylcart.state.errors import BerylcartError, Code, Ran
from berylcart.state.request import ServeReply, ServeRequest
from berylcart.state.stage import StageChunk
from starlette.applications import Starlette
from starlette.requests import Request
from starlette.routing import Route
from starlette.types import Receive, Scope, Send

from berylcart_daemon.caller_request import (
    BodyBudget,
    BodyShare,
    parse_request,
)
from berylcart_daemon.door import UNKNOWN, Door
from berylcart_daemon.info_pages import InfoPages, unknown_path
from berylcart_daemon.metrics import Metrics
from berylcart_daemon.reply_stream import ReplyStream
from berylcart_daemon.settings import LimitSettings


class Parts(NamedTuple):
    """Hold what the endpoints need."""

    server: Server
    door: Door
    metrics: Metrics
    limits: LimitSettings
    bodies: BodyBudget


class ServeEndpoint:
    """Serve POST /v1/pipelines/NAME and /v1/services/NAME."""

    def __init__(self, parts: Parts, *, is_pipeline: bool) -> None:
        self.parts = parts
        self.is_pipeline = is_pipeline
        self.bodies = parts.bodies

    async def __call__(
        self, scope: Scope, receive: Receive, send: Send
    ) -> None:
        """Answer one request whole, or with one problem."""
        with self.bodies.holding() as share:
            await self.handle(Request(scope, receive), share, send)

    async def handle(
        self, caller: Request, share: BodyShare, send: Send
    ) -> None:
        """Read one request and answer it."""
        reply = ReplyStream(send)
        try:
            self.parts.door.check_open()
            request = await parse_request(
                caller,
                share,
                is_pipeline=self.is_pipeline,
                limits=self.parts.limits,
            )
        except BerylcartError as error:
            self.count_unparsed(error)
            await reply.fail(error)
            return
        self.parts.metrics.in_flight.inc()
        try:
            await self.answer(request, reply, caller.receive)
        finally:
            self.parts.metrics.in_flight.dec()

    def count_unparsed(self, error: BerylcartError) -> None:
        """Count a request that was refused before it was read whole."""
        self.parts.door.note_refused(error)
        self.parts.metrics.note_error(UNKNOWN, UNKNOWN, 0.0, error)

    async def answer(
        self, request: ServeRequest, reply: ReplyStream, receive: Receive
    ) -> None:
        """Serve a request, giving up when its caller has gone."""
        async with anyio.create_task_group() as tasks:
            if not request.idempotency_key:
                tasks.start_soon(
                    cancel_on_disconnect, receive, tasks.cancel_scope.cancel
                )
            await self.serve(request, reply)
            tasks.cancel_scope.cancel()

    async def serve(self, request: ServeRequest, reply: ReplyStream) -> None:
        """Serve a request and send its answer."""
        reply.request_id = request.request_id
        started_at_s = now_s()
        tier, target = self.parts.door.labels(request)
        metrics = self.parts.metrics
        sink = FirstTokenTimer(reply, metrics, tier, target).chunk
        try:
            result = await self.parts.server.serve(
                request, sink if request.is_stream else None
            )
        except BerylcartError as error:
            latency_s = now_s() - started_at_s
            self.parts.door.note_refused(error)
            metrics.note_error(tier, target, latency_s, error)
            log_answer(request, latency_s, int(error.code), error.ran)
            await reply.fail(error)
            return
        except Exception as fault:
            await self.fail_internally(request, reply, fault)
            return
        latency_s = now_s() - started_at_s
        metrics.note_answer(tier, target, latency_s)
        for report in result.stages:
            metrics.note_stage(tier, report)
        log_answer(request, latency_s, 0, Ran.YES)
        await send_whole(request, reply, result)

    async def fail_internally(
        self, request: ServeRequest, reply: ReplyStream, fault: Exception
    ) -> None:
        """Answer a fault of our own without showing its insides."""
        events.error(
            "request.fault",
            request_id=request.request_id,
            fault=type(fault).__name__,
            detail=str(fault),
        )
        error = BerylcartError(
            Code.INTERNAL, "an internal fault", ran=Ran.UNKNOWN
        )
        await reply.fail(error)


class FirstTokenTimer:
    """Time a stream's first token on its way to the caller."""

    def __init__(
        self, reply: ReplyStream, metrics: Metrics, tier: str, target: str
    ) -> None:
        self.reply = reply
        self.histogram = metrics.first_token_seconds.labels(tier, target)
        self.started_at_s = now_s()

    async def chunk(self, chunk: StageChunk) -> None:
        """Pass one token on."""
        if not self.reply.has_begun:
            elapsed_s = now_s() - self.started_at_s
            self.histogram.observe(elapsed_s)
        await self.reply.chunk(chunk)


async def send_whole(
    request: ServeRequest, reply: ReplyStream, result: ServeReply
) -> None:
    """Send a whole answer in the form that the caller accepts."""
    if request.is_stream:
        await reply.done(result)
        return
    await reply.start(200, {"Content-Type": "application/json"})
    await reply.write(answer_bytes(result), is_last=True)


def log_answer(
    request: ServeRequest, latency_s: float, code: int, ran: Ran
) -> None:
    """Log one line for one answer."""
    events.info(
        "request.answered",
        request_id=request.request_id,
        workspace=request.workspace,
        target=request.target,
        code=code,
        ran=ran,
        latency_ms=round(latency_s * 1000, 1),
    )


async def cancel_on_disconnect(
    receive: Receive, cancel: Callable[[], None]
) -> None:
    """Cancel when the caller closes its connection."""
    while True:
        message = await receive()
        if message["type"] == "http.disconnect":
            cancel()
            return


def make_app(parts: Parts) -> Starlette:
    """Build the ASGI application of an entry."""
    pipelines = ServeEndpoint(parts, is_pipeline=True)
    services = ServeEndpoint(parts, is_pipeline=False)
    return Starlette(
        routes=[
            Route("/v1/pipelines/{name}", pipelines, methods=["POST"]),
            Route("/v1/services/{name}", services, methods=["POST"]),
            *InfoPages(parts.door, parts.metrics).routes(),
        ],
        exception_handlers={404: unknown_path, 405: unknown_path},
    )
