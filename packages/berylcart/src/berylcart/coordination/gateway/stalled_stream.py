"""Keep a stalled stream's replica until another one takes the request."""

from collections.abc import Awaitable, Callable, Iterator
from contextlib import contextmanager
from math import inf

import anyio

from berylcart.clock import now_s
from berylcart.coordination.gateway.ports import UpstreamResponse
from berylcart.state.errors import Code, Ran, UpstreamError

# A full replica refuses a request within a few round trips. One that has not
# refused it by then may work on it, and only one may.
REFUSAL_WAIT_S = 0.2

Attempt = Callable[[], Awaitable[int]]


class StreamMovedError(UpstreamError):
    """A stream stalled and was completed by another replica.

    status is that of the other replica's response.
    """

    def __init__(self, status: int) -> None:
        super().__init__(
            Code.UPSTREAM_FAILED,
            "the stream stalled and went on at another replica",
            ran=Ran.UNKNOWN,
        )
        self.status = status


class StallTimer:
    """Tell when a stream counts as stalled."""

    def __init__(self) -> None:
        self.deadline_s = inf

    @property
    def is_running(self) -> bool:
        """Return whether the stream can stall."""
        return self.deadline_s < inf

    def restart(self, limit_s: float | None) -> None:
        """Restart the timer from now; None stops it."""
        self.deadline_s = inf if limit_s is None else now_s() + limit_s

    @contextmanager
    def suspended(self) -> Iterator[None]:
        """Stop the time while data is written to the client."""
        begun_s = now_s()
        try:
            yield
        finally:
            self.deadline_s += now_s() - begun_s


async def try_elsewhere(stalled: UpstreamResponse, attempt: Attempt) -> bool:
    """Have another replica go on with a stalled stream.

    Returns false if that replica refused the request while the connection to
    the stalled one was still kept. Raises StreamMovedError once the stream has
    ended elsewhere, and the attempt's error if it failed.
    """
    outcome: int | Exception
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(abandon_later, stalled)
        try:
            outcome = await attempt()
        except Exception as error:
            outcome = error
        tasks.cancel_scope.cancel()
    if isinstance(outcome, int):
        raise StreamMovedError(outcome)
    is_refused = isinstance(outcome, UpstreamError) and outcome.ran is Ran.NO
    if is_refused and not stalled.is_abandoned:
        return False
    raise outcome


async def abandon_later(stalled: UpstreamResponse) -> None:
    """Close the connection once the other replica may be working."""
    await anyio.sleep(REFUSAL_WAIT_S)
    stalled.abandon()
