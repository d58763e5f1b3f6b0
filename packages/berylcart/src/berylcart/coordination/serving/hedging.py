"""Run a second attempt beside a slow one; the first whole reply wins."""

from collections.abc import Awaitable, Callable
from typing import Generic, TypeVar

import anyio

from berylcart.state.errors import BerylcartError

Reply = TypeVar("Reply")


class Race(Generic[Reply]):
    """Collect the first reply, or the last failure when all failed."""

    def __init__(self) -> None:
        self.running = 0
        self.reply: Reply | None = None
        self.error: BerylcartError | None = None
        self.ended = anyio.Event()

    async def enter(
        self, attempt: Callable[[], Awaitable[Reply | None]]
    ) -> None:
        """Run one attempt to its reply or failure."""
        self.running += 1
        try:
            reply = await attempt()
            if reply is not None and self.reply is None:
                self.reply = reply
                self.ended.set()
        except BerylcartError as error:
            self.error = error
        finally:
            self.running -= 1
            if self.running == 0:
                self.ended.set()

    def winner(self) -> Reply:
        """Return the reply; raises the failure when there is none."""
        if self.reply is not None:
            return self.reply
        assert self.error is not None
        raise self.error


async def first_reply(
    primary: Callable[[], Awaitable[Reply]],
    hedge: Callable[[], Awaitable[Reply | None]],
    delay_s: float,
) -> Reply:
    """Return the first reply, starting the hedge after a delay.

    A hedge that returns None was not allowed to start. Raises the last
    failure when every attempt failed.
    """
    race: Race[Reply] = Race()
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(race.enter, primary)
        with anyio.move_on_after(delay_s):
            await race.ended.wait()
        if not race.ended.is_set():
            tasks.start_soon(race.enter, hedge)
        await race.ended.wait()
        tasks.cancel_scope.cancel()
    return race.winner()
