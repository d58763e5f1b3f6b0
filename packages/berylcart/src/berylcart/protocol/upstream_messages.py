"""Encode and decode the messages between daemons and upstreams."""

from enum import StrEnum
from typing import Annotated, Any

from pydantic import Field, TypeAdapter
from typing_extensions import TypedDict

from berylcart.protocol.json_values import (
    MessageError,
    read_message,
    write_json,
)
from berylcart.protocol.sse import ServerEvent
from berylcart.state.stage import StageCall, StageChunk, StageReply, Usage
from berylcart.state.vm import VmState

TOKEN_EVENT = "token"
DONE_EVENT = "done"
INSTANCE_HEADER = "Expected-Instance"

Count = Annotated[int, Field(ge=0)]
Seconds = Annotated[float, Field(ge=0, allow_inf_nan=False)]
Name = Annotated[str, Field(min_length=1, max_length=400)]


class RunMessage(TypedDict):
    """Carry one attempt to an upstream."""

    attempt_id: Name
    request_id: Name
    workspace: Name
    service: Name
    payload: Any
    deadline_ms: Count
    stream: bool
    start_offset: Count
    priority: int
    idempotency_key: str


class UsageMessage(TypedDict):
    """Carry what an attempt cost."""

    steps: Count
    tokens: Count
    seconds: Seconds


class ReplyMessage(TypedDict):
    """Carry the whole reply of an attempt."""

    attempt_id: str
    instance: str
    output: Any
    usage: UsageMessage


class TokenMessage(TypedDict):
    """Carry one token of a stream."""

    attempt_id: str
    text: str


class RefusalReason(StrEnum):
    """List why an upstream refuses an attempt that did not run."""

    OVERLOADED = "overloaded"
    DRAINING = "draining"


class RefusalMessage(TypedDict, total=False):
    """Carry a refusal; retry_after_ms is finer than the header."""

    reason: RefusalReason
    retry_after_ms: Count


class LoadMessage(TypedDict):
    """Carry an upstream's load as of an earlier time."""

    instance: str
    in_flight: Count
    queued: Count
    capacity: Count
    as_of_ms: int
    state: VmState


RUN = TypeAdapter(RunMessage)
REPLY = TypeAdapter(ReplyMessage)
TOKEN = TypeAdapter(TokenMessage)
REFUSAL = TypeAdapter(RefusalMessage)
LOAD = TypeAdapter(LoadMessage)


def write_run(call: StageCall) -> bytes:
    """Write the body of an attempt."""
    message = RunMessage(
        attempt_id=call.attempt_id,
        request_id=call.request_id,
        workspace=call.workspace,
        service=call.service,
        payload=call.payload,
        deadline_ms=call.deadline_ms,
        stream=call.is_stream,
        start_offset=call.start_offset,
        priority=call.priority,
        idempotency_key=call.idempotency_key,
    )
    return write_json(message)


def read_run(body: bytes) -> RunMessage:
    """Read the body of an attempt."""
    return read_message(RUN, body)


def read_reply(body: bytes | str) -> StageReply:
    """Read a whole reply."""
    message = read_message(REPLY, body)
    usage = Usage(**message["usage"])
    return StageReply(
        message["attempt_id"], message["instance"], message["output"], usage
    )


def read_token(event: ServerEvent) -> tuple[str, StageChunk]:
    """Read a token event as the attempt that it names and its chunk."""
    digits = event.event_id
    if not (digits.isascii() and digits.isdigit() and len(digits) < 16):
        raise MessageError("a token's id is not an offset")
    message = read_message(TOKEN, event.data)
    return message["attempt_id"], StageChunk(int(digits), message["text"])


def read_refusal(body: bytes) -> RefusalMessage:
    """Read why an attempt was refused; raises MessageError without reason."""
    message = read_message(REFUSAL, body)
    if "reason" not in message:
        raise MessageError("a refusal names its reason")
    return message


def read_load(body: bytes) -> LoadMessage:
    """Read a load report."""
    return read_message(LOAD, body)
