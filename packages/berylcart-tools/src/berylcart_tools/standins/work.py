"""Define the work that an upstream does for one attempt."""

from collections.abc import Callable
from typing import Any, NamedTuple, Protocol

import anyio
from berylcart.protocol.json_values import MessageError
from berylcart.protocol.upstream_messages import RunMessage
from berylcart.state.stage import StageChunk, Usage

from berylcart_tools.standins.clock import MS_PER_S, sleep_ms
from berylcart_tools.standins.load_report import Load


class OverloadedError(Exception):
    """Report that the queue is full and that the attempt did not run."""


class Result(NamedTuple):
    """Hold what an attempt gave and cost."""

    output: Any
    usage: Usage


class Job(NamedTuple):
    """Describe one attempt to the work.

    Call began when it leaves the queue, and emit for each token.
    """

    message: RunMessage
    began: Callable[[], None]
    emit: Callable[[StageChunk], None]


class Work(Protocol):
    """Run attempts of one kind of service."""

    is_cancelled_by_close: bool
    is_streaming: bool

    def check(self, message: RunMessage) -> None:
        """Raise MessageError on a payload that this work rejects."""
        ...

    def load(self) -> Load:
        """Count the attempts that run and those that wait."""
        ...

    def is_full(self) -> bool:
        """Say whether a further attempt would be refused."""
        ...

    async def run(self, job: Job) -> Result:
        """Run one attempt; raises OverloadedError when the queue is full."""
        ...


class Slots:
    """Run a bounded number of attempts at once, each for a step."""

    def __init__(
        self,
        capacity: int,
        max_queued: int,
        step_ms: float,
        slow_factor: Callable[[], float],
    ) -> None:
        self.limiter = anyio.CapacityLimiter(capacity)
        self.max_queued = max_queued
        self.step_ms = step_ms
        self.slow_factor = slow_factor
        self.queued = 0

    def load(self) -> Load:
        """Count the attempts that run and those that wait."""
        return Load(int(self.limiter.borrowed_tokens), self.queued)

    def is_full(self) -> bool:
        """Say whether every slot and the queue are taken."""
        is_busy = self.limiter.available_tokens <= 0
        return is_busy and self.queued >= self.max_queued

    async def hold(self, began: Callable[[], None]) -> Usage:
        """Wait for a slot, hold it for one step, and count the cost.

        Raises OverloadedError when the queue is full.
        """
        if self.is_full():
            raise OverloadedError
        self.queued += 1
        try:
            await self.limiter.acquire()
        finally:
            self.queued -= 1
        try:
            began()
            duration_ms = self.step_ms * self.slow_factor()
            await sleep_ms(duration_ms)
            return Usage(1, 0, duration_ms / MS_PER_S)
        finally:
            self.limiter.release()


def payload_field(message: RunMessage, name: str, kind: type) -> Any:
    """Take one field of the payload; raises MessageError."""
    payload = message["payload"]
    value = payload.get(name) if isinstance(payload, dict) else None
    if not isinstance(value, kind):
        raise MessageError(f"the payload lacks {name}")
    return value
