"""Define how upstreams execute attempts, and limit their concurrency."""

from collections.abc import Callable
from typing import Any, NamedTuple, Protocol

import anyio
from berylcart.protocol.json_codec import MessageError
from berylcart.protocol.upstream_messages import RunMessage
from berylcart.state.stage import StageChunk, Usage

from berylcart_tools.standins.clock import MS_PER_S, sleep_ms
from berylcart_tools.standins.load_report import Load


class OverloadedError(Exception):
    """Report that the queue is full and the attempt was not run."""


class ExecutionResult(NamedTuple):
    """Hold the output and the cost of an attempt."""

    output: Any
    usage: Usage


class AttemptContext(NamedTuple):
    """Carry one attempt and its callbacks to an executor.

    The executor calls on_start when the attempt leaves the queue, and
    emit for each token.
    """

    message: RunMessage
    on_start: Callable[[], None]
    emit: Callable[[StageChunk], None]


class AttemptExecutor(Protocol):
    """Execute the attempts of one kind of service."""

    is_cancelled_on_disconnect: bool
    is_streaming_supported: bool

    def check(self, message: RunMessage) -> None:
        """Raise MessageError if the payload is not valid for the service."""
        ...

    def load(self) -> Load:
        """Return the number of running and of queued attempts."""
        ...

    def is_full(self) -> bool:
        """Return whether another attempt would be refused."""
        ...

    async def run(self, context: AttemptContext) -> ExecutionResult:
        """Run one attempt; raises OverloadedError if the queue is full."""
        ...


class ConcurrencyLimiter:
    """Limit the number of attempts that run at once, and queue others."""

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
        """Return the number of running and of queued attempts."""
        return Load(int(self.limiter.borrowed_tokens), self.queued)

    def is_full(self) -> bool:
        """Return whether all slots are in use and the queue is full."""
        is_busy = self.limiter.available_tokens <= 0
        return is_busy and self.queued >= self.max_queued

    async def run_step(self, on_start: Callable[[], None]) -> Usage:
        """Wait for a slot, occupy it for one step, and return the cost.

        Raises OverloadedError if the queue is full.
        """
        if self.is_full():
            raise OverloadedError
        self.queued += 1
        try:
            await self.limiter.acquire()
        finally:
            self.queued -= 1
        try:
            on_start()
            duration_ms = self.step_ms * self.slow_factor()
            await sleep_ms(duration_ms)
            return Usage(1, 0, duration_ms / MS_PER_S)
        finally:
            self.limiter.release()


def payload_field(message: RunMessage, name: str, kind: type) -> Any:
    """Return a payload field; raises MessageError if absent or mistyped."""
    payload = message["payload"]
    value = payload.get(name) if isinstance(payload, dict) else None
    if not isinstance(value, kind):
        raise MessageError(f"the payload lacks {name}")
    return value
