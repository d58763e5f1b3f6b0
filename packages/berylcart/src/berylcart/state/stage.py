"""Calls of a stage at an upstream and their replies."""

from typing import Any, NamedTuple

from berylcart.state.vm import Vm


class Usage(NamedTuple):
    """Hold the resources that an attempt used at the upstream."""

    steps: int = 0
    tokens: int = 0
    seconds: float = 0.0


class StageCall(NamedTuple):
    """Describe one attempt of a stage, to be run by one upstream."""

    attempt_id: str
    request_id: str
    vm: Vm
    service: str
    workspace: str
    payload: Any
    deadline_ms: int
    is_stream: bool = False
    start_offset: int = 0
    priority: int = 0
    idempotency_key: str = ""


class StageChunk(NamedTuple):
    """Hold one token of a streamed reply and its offset."""

    offset: int
    text: str


class StageReply(NamedTuple):
    """Hold the complete reply of one attempt."""

    attempt_id: str
    instance: str
    output: Any
    usage: Usage
