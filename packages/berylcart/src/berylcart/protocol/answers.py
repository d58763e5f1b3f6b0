"""Write whole answers and streamed events for callers."""

import json
from typing import Any, TypedDict

from berylcart.protocol.problem import problem_of
from berylcart.protocol.sse import ServerEvent, write_event
from berylcart.state.errors import BerylcartError
from berylcart.state.request import ServeReply, StageReport
from berylcart.state.stage import StageChunk


class StageAnswer(TypedDict):
    """Show one stage's part in an answer."""

    service: str
    vm_id: str
    place: str
    latency_ms: float
    attempts: int
    steps: int
    tokens: int
    seconds: float


class Answer(TypedDict):
    """Show a whole answer."""

    request_id: str
    output: Any
    stages: list[StageAnswer]


def stage_answer(report: StageReport) -> StageAnswer:
    """Describe one stage's part."""
    return StageAnswer(
        service=report.service,
        vm_id=report.vm_id,
        place=report.place,
        latency_ms=round(report.latency_ms, 3),
        attempts=report.attempts,
        steps=report.usage.steps,
        tokens=report.usage.tokens,
        seconds=report.usage.seconds,
    )


def answer_of(reply: ServeReply) -> Answer:
    """Describe a whole answer."""
    return Answer(
        request_id=reply.request_id,
        output=reply.output,
        stages=[stage_answer(report) for report in reply.stages],
    )


def answer_bytes(reply: ServeReply) -> bytes:
    """Write a whole answer as JSON."""
    return json.dumps(answer_of(reply)).encode()


def chunk_event(chunk: StageChunk) -> bytes:
    """Write one token at its offset."""
    data = json.dumps({"text": chunk.text})
    return write_event(ServerEvent("token", str(chunk.offset), data))


def done_event(reply: ServeReply) -> bytes:
    """Write the last event of a stream that is whole."""
    data = json.dumps(answer_of(reply))
    return write_event(ServerEvent("done", "", data))


def error_event(error: BerylcartError) -> bytes:
    """Write the last event of a stream that broke off."""
    data = json.dumps(problem_of(error))
    return write_event(ServerEvent("error", "", data))
