"""Serialize responses and server-sent events for callers."""

import json
from typing import Any, TypedDict

from berylcart.protocol.problem import to_problem
from berylcart.protocol.sse import ServerEvent, write_event
from berylcart.state.errors import BerylcartError
from berylcart.state.request import ServeReply, StageReport
from berylcart.state.stage import StageChunk


class StageResponse(TypedDict):
    """Describe how one stage of a request ran."""

    service: str
    vm_id: str
    place: str
    latency_ms: float
    attempts: int
    steps: int
    tokens: int
    seconds: float


class ServeResponse(TypedDict):
    """Define the JSON body of a response."""

    request_id: str
    output: Any
    stages: list[StageResponse]


def to_stage_response(report: StageReport) -> StageResponse:
    """Convert a stage report to its JSON fields."""
    return StageResponse(
        service=report.service,
        vm_id=report.vm_id,
        place=report.place,
        latency_ms=round(report.latency_ms, 3),
        attempts=report.attempts,
        steps=report.usage.steps,
        tokens=report.usage.tokens,
        seconds=report.usage.seconds,
    )


def to_serve_response(reply: ServeReply) -> ServeResponse:
    """Convert a reply to its JSON fields."""
    return ServeResponse(
        request_id=reply.request_id,
        output=reply.output,
        stages=[to_stage_response(report) for report in reply.stages],
    )


def serve_response_bytes(reply: ServeReply) -> bytes:
    """Serialize a reply as JSON."""
    return json.dumps(to_serve_response(reply)).encode()


def token_event(chunk: StageChunk) -> bytes:
    """Serialize a token event; its id is the token's offset."""
    data = json.dumps({"text": chunk.text})
    return write_event(ServerEvent("token", str(chunk.offset), data))


def done_event(reply: ServeReply) -> bytes:
    """Serialize the final event of a successful stream."""
    data = json.dumps(to_serve_response(reply))
    return write_event(ServerEvent("done", "", data))


def error_event(error: BerylcartError) -> bytes:
    """Serialize the final event of a failed stream."""
    data = json.dumps(to_problem(error))
    return write_event(ServerEvent("error", "", data))
