"""Stand in for a plain service whose calls may not be repeated."""

from typing import NamedTuple

import anyio
from anyio.abc import TaskStatus
from berylcart.protocol.json_values import MessageError
from berylcart.protocol.upstream_messages import RunMessage

from berylcart_tools.standins.faults import Faults
from berylcart_tools.standins.load_report import Load
from berylcart_tools.standins.registration import UpstreamSettings
from berylcart_tools.standins.upstream import UpstreamStandin, serve_upstream
from berylcart_tools.standins.work import Job, Result, Slots

STEP_MS = 5.0


class PlainSettings(NamedTuple):
    """Set a plain service's VM and how long a call takes."""

    upstream: UpstreamSettings
    step_ms: float = STEP_MS


class PlainWork:
    """Number each call, so that a repeated call shows."""

    is_cancelled_by_close = False
    is_streaming = False

    def __init__(self, settings: PlainSettings, faults: Faults) -> None:
        upstream = settings.upstream
        self.calls = 0
        self.slots = Slots(
            upstream.capacity,
            upstream.max_queued,
            settings.step_ms,
            lambda: faults.slow_factor,
        )

    def check(self, message: RunMessage) -> None:
        """Take any object."""
        if not isinstance(message["payload"], dict):
            raise MessageError("the payload is an object")

    def load(self) -> Load:
        """Count the calls that run and those that wait."""
        return self.slots.load()

    def is_full(self) -> bool:
        """Say whether a further call would be refused."""
        return self.slots.is_full()

    async def run(self, job: Job) -> Result:
        """Do one call and give its number with the payload."""
        usage = await self.slots.hold(job.began)
        self.calls += 1
        return Result(
            {"call": self.calls, "done": job.message["payload"]}, usage
        )


async def serve_plain(
    settings: PlainSettings,
    *,
    stop: anyio.Event | None = None,
    task_status: TaskStatus[str] = anyio.TASK_STATUS_IGNORED,
) -> None:
    """Serve a plain service until stop is set; starts with its address."""
    faults = Faults()
    work = PlainWork(settings, faults)
    standin = UpstreamStandin(settings.upstream, work, faults)
    await serve_upstream("plain", standin, stop=stop, task_status=task_status)
