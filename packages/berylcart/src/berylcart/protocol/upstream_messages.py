"""Encode and decode the messages between daemons and upstreams."""

from enum import StrEnum
from typing import Annotated, Any

from pydantic import Field, TypeAdapter
from typing_extensions import TypedDict

from berylcart.protocol.json_codec import (
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
    """Define the request body of one attempt."""

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
    """Define the resource usage of one attempt."""

    steps: Count
    tokens: Count
    seconds: Seconds


class ReplyMessage(TypedDict):
    """Define the response body of one attempt."""

    attempt_id: str
    instance: str
    output: Any
    usage: UsageMessage


class TokenMessage(TypedDict):
    """Define the data of a token event."""

    attempt_id: str
    text: str


class RefusalReason(StrEnum):
    """List the reasons to refuse an attempt without running it."""

    OVERLOADED = "overloaded"
    DRAINING = "draining"


class RefusalMessage(TypedDict, total=False):
    """Define a refusal; retry_after_ms is finer than Retry-After."""

    reason: RefusalReason
    retry_after_ms: Count


class LoadMessage(TypedDict):
    """Define a load report of an upstream, measured at as_of_ms."""

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
    """Serialize the request body of an attempt."""
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
    """Parse the request body of an attempt."""
    return read_message(RUN, body)


def read_reply(body: bytes | str) -> StageReply:
    """Parse the reply of an attempt."""
    message = read_message(REPLY, body)
    usage = Usage(**message["usage"])
    return StageReply(
        message["attempt_id"], message["instance"], message["output"], usage
    )


def read_token(event: ServerEvent) -> tuple[str, StageChunk]:
    """Parse a token event; returns its attempt id and its chunk."""
    offset_text = event.event_id
    if not (
        offset_text.isascii()
        and offset_text.isdigit()
        and len(offset_text) < 16
    ):
        raise MessageError("a token's id is not an offset")
    message = read_message(TOKEN, event.data)
    return message["attempt_id"], StageChunk(int(offset_text), message["text"])


def read_refusal(body: bytes) -> RefusalMessage:
    """Parse a refusal; raises MessageError when it gives no reason."""
    message = read_message(REFUSAL, body)
    if "reason" not in message:
        raise MessageError("a refusal names its reason")
    return message


def read_load(body: bytes) -> LoadMessage:
    """Parse a load report."""
    return read_message(LOAD, body)
