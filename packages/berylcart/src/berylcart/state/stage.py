"""Describe one attempt at one stage and its reply."""

from typing import Any, NamedTuple

from berylcart.state.vm import Vm


class Usage(NamedTuple):
    """Count what an attempt cost the upstream."""

    steps: int = 0
    tokens: int = 0
    seconds: float = 0.0


class StageCall(NamedTuple):
    """Ask one upstream to run one attempt of a stage."""

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
    """Carry one token of a streamed reply at its offset."""

    offset: int
    text: str


class StageReply(NamedTuple):
    """Carry the whole reply of one attempt."""

    attempt_id: str
    instance: str
    output: Any
    usage: Usage
