"""Serve the HTTP API for callers."""

from collections.abc import Callable
from typing import NamedTuple

import anyio
from berylcart import events
from berylcart.clock import now_s
from berylcart.coordination.serving.server import Server
from berylcart.protocol.serve_responses import serve_response_bytes
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
    large_head_bytes,
    parse_request,
)
from berylcart_daemon.facade import UNKNOWN, DaemonFacade
from berylcart_daemon.info_endpoints import InfoEndpoints, handle_unknown_path
from berylcart_daemon.metrics import Metrics
from berylcart_daemon.reply_stream import ReplyStream
from berylcart_daemon.settings import LimitSettings


class ApiContext(NamedTuple):
    """Hold the dependencies of the HTTP endpoints."""

    server: Server
    facade: DaemonFacade
    metrics: Metrics
    limits: LimitSettings
    bodies: BodyBudget


class ServeEndpoint:
    """Serve POST /v1/pipelines/NAME or POST /v1/services/NAME."""

    def __init__(self, context: ApiContext, *, is_pipeline: bool) -> None:
        self.context = context
        self.is_pipeline = is_pipeline
        self.bodies = context.bodies

    async def __call__(
        self, scope: Scope, receive: Receive, send: Send
    ) -> None:
        """Handle one HTTP request and count its body against the budget."""
        with self.bodies.open_share() as share:
            await self.handle(Request(scope, receive), share, send)

    async def handle(
        self, caller: Request, share: BodyShare, send: Send
    ) -> None:
        """Parse one request, then serve it or send an error."""
        reply = ReplyStream(send)
        try:
            self.context.facade.check_open()
            share.add(large_head_bytes(caller.scope["headers"]))
            request = await parse_request(
                caller,
                share,
                is_pipeline=self.is_pipeline,
                limits=self.context.limits,
            )
        except BerylcartError as error:
            self.count_rejected(error)
            await reply.send_error(error)
            return
        self.context.metrics.in_flight.inc()
        try:
            await self.answer(request, reply, caller.receive)
        finally:
            self.context.metrics.in_flight.dec()

    def count_rejected(self, error: BerylcartError) -> None:
        """Count a request that was refused before it was fully parsed."""
        self.context.facade.count_error(error)
        self.context.metrics.record_error(UNKNOWN, UNKNOWN, 0.0, error)

    async def answer(
        self, request: ServeRequest, reply: ReplyStream, receive: Receive
    ) -> None:
        """Serve a request; without idempotency key, cancel on disconnect."""
        async with anyio.create_task_group() as tasks:
            if not request.idempotency_key:
                tasks.start_soon(
                    cancel_on_disconnect, receive, tasks.cancel_scope.cancel
                )
            await self.serve(request, reply)
            tasks.cancel_scope.cancel()

    async def serve(self, request: ServeRequest, reply: ReplyStream) -> None:
        """Serve a request, send its result or error, and record metrics."""
        reply.request_id = request.request_id
        started_at_s = now_s()
        tier, target = self.context.facade.labels(request)
        metrics = self.context.metrics
        sink = FirstTokenTimer(reply, metrics, tier, target).send_chunk
        try:
            result = await self.context.server.serve(
                request, sink if request.is_stream else None
            )
        except BerylcartError as error:
            latency_s = now_s() - started_at_s
            self.context.facade.count_error(error)
            metrics.record_error(tier, target, latency_s, error)
            log_answer(request, latency_s, int(error.code), error.ran)
            await reply.send_error(error)
            return
        except Exception as exception:
            await self.send_internal_error(request, reply, exception)
            return
        latency_s = now_s() - started_at_s
        metrics.record_answer(tier, target, latency_s)
        for report in result.stages:
            metrics.record_stage(tier, report)
        log_answer(request, latency_s, 0, Ran.YES)
        await send_result(request, reply, result)

    async def send_internal_error(
        self, request: ServeRequest, reply: ReplyStream, exception: Exception
    ) -> None:
        """Log an unexpected exception and send INTERNAL without details."""
        events.error(
            "request.fault",
            request_id=request.request_id,
            fault=type(exception).__name__,
            detail=str(exception),
        )
        error = BerylcartError(
            Code.INTERNAL, "an internal fault", ran=Ran.UNKNOWN
        )
        await reply.send_error(error)


class FirstTokenTimer:
    """Record the time to the first token of a stream."""

    def __init__(
        self, reply: ReplyStream, metrics: Metrics, tier: str, target: str
    ) -> None:
        self.reply = reply
        self.histogram = metrics.first_token_seconds.labels(tier, target)
        self.started_at_s = now_s()

    async def send_chunk(self, chunk: StageChunk) -> None:
        """Send one chunk; observe the elapsed time if it is the first."""
        if not self.reply.has_begun:
            elapsed_s = now_s() - self.started_at_s
            self.histogram.observe(elapsed_s)
        await self.reply.send_chunk(chunk)


async def send_result(
    request: ServeRequest, reply: ReplyStream, result: ServeReply
) -> None:
    """Send a result as JSON, or end the stream with it."""
    if request.is_stream:
        await reply.finish(result)
        return
    await reply.start(200, {"Content-Type": "application/json"})
    await reply.write(serve_response_bytes(result), is_last=True)


def log_answer(
    request: ServeRequest, latency_s: float, code: int, ran: Ran
) -> None:
    """Log the outcome and latency of a request."""
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
    """Call cancel when the caller closes its connection."""
    while True:
        message = await receive()
        if message["type"] == "http.disconnect":
            cancel()
            return


def make_app(context: ApiContext) -> Starlette:
    """Build the ASGI application of an entry daemon."""
    pipelines = ServeEndpoint(context, is_pipeline=True)
    services = ServeEndpoint(context, is_pipeline=False)
    return Starlette(
        routes=[
            Route("/v1/pipelines/{name}", pipelines, methods=["POST"]),
            Route("/v1/services/{name}", services, methods=["POST"]),
            *InfoEndpoints(context.facade, context.metrics).routes(),
        ],
        exception_handlers={
            404: handle_unknown_path,
            405: handle_unknown_path,
        },
    )
