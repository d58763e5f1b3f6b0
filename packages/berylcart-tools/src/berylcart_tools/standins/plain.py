"""Simulate a plain service whose calls are not idempotent."""

from typing import NamedTuple

import anyio
from anyio.abc import TaskStatus
from berylcart.protocol.json_codec import MessageError
from berylcart.protocol.upstream_messages import RunMessage

from berylcart_tools.standins.attempt_executor import (
    AttemptContext,
    ConcurrencyLimiter,
    ExecutionResult,
)
from berylcart_tools.standins.faults import Faults
from berylcart_tools.standins.load_report import Load
from berylcart_tools.standins.registration import UpstreamSettings
from berylcart_tools.standins.upstream import UpstreamStandin, serve_upstream

STEP_MS = 5.0


class PlainSettings(NamedTuple):
    """Configure a plain service's VM and the duration of a call."""

    upstream: UpstreamSettings
    step_ms: float = STEP_MS


class PlainExecutor:
    """Execute calls and number them, so that a repeated call is detectable."""

    is_cancelled_on_disconnect = False
    is_streaming_supported = False

    def __init__(self, settings: PlainSettings, faults: Faults) -> None:
        upstream = settings.upstream
        self.calls = 0
        self.limiter = ConcurrencyLimiter(
            upstream.capacity,
            upstream.max_queued,
            settings.step_ms,
            lambda: faults.slow_factor,
        )

    def check(self, message: RunMessage) -> None:
        """Raise MessageError unless the payload is an object."""
        if not isinstance(message["payload"], dict):
            raise MessageError("the payload is an object")

    def load(self) -> Load:
        """Return the number of running and of queued calls."""
        return self.limiter.load()

    def is_full(self) -> bool:
        """Return whether another call would be refused."""
        return self.limiter.is_full()

    async def run(self, context: AttemptContext) -> ExecutionResult:
        """Execute one call and return its number and payload."""
        usage = await self.limiter.run_step(context.on_start)
        self.calls += 1
        return ExecutionResult(
            {"call": self.calls, "done": context.message["payload"]}, usage
        )


async def serve_plain(
    settings: PlainSettings,
    *,
    stop: anyio.Event | None = None,
    task_status: TaskStatus[str] = anyio.TASK_STATUS_IGNORED,
) -> None:
    """Serve until stop is set; reports the address once started."""
    faults = Faults()
    executor = PlainExecutor(settings, faults)
    standin = UpstreamStandin(settings.upstream, executor, faults)
    await serve_upstream("plain", standin, stop=stop, task_status=task_status)
