"""Run a second attempt beside a slow one; only one of them wins."""

from collections.abc import Awaitable, Callable, Sequence
from typing import Any, Generic, TypeVar

import anyio

from berylcart import events
from berylcart.state.errors import BerylcartError

Reply = TypeVar("Reply")


class Entrant:
    """Let one attempt of a race win it before its reply is whole."""

    def __init__(self, race: "Race[Any]") -> None:
        self.race = race
        self.scope = anyio.CancelScope()

    @property
    def has_won(self) -> bool:
        """Tell whether this attempt has won."""
        return self.race.winner is self

    @property
    def has_lost(self) -> bool:
        """Tell whether another attempt has won."""
        return self.race.winner not in (None, self)

    @property
    def has_rival(self) -> bool:
        """Tell whether another attempt may still win."""
        is_open = self.race.winner is None
        return is_open and any(each is not self for each in self.race.running)

    async def claim(self) -> None:
        """Win and cancel the others; never returns to a loser.

        A loser may get here before its cancellation reaches it.
        """
        if not self.race.claim(self):
            await anyio.sleep_forever()


class Race(Generic[Reply]):
    """Collect the winner's reply or failure, else every failure."""

    def __init__(self) -> None:
        self.running: list[Entrant] = []
        self.winner: Entrant | None = None
        self.reply: Reply | None = None
        self.failures: list[BerylcartError] = []
        self.fault: Exception | None = None
        # Set once an attempt has won or all have failed.
        self.decided = anyio.Event()

    def claim(self, entrant: Entrant) -> bool:
        """Let an attempt win unless another one has, and cancel the rest."""
        if self.winner is None:
            self.winner = entrant
            self.decided.set()
            for other in self.running:
                if other is not entrant:
                    other.scope.cancel()
        return self.winner is entrant

    async def enter(
        self, attempt: Callable[[Entrant], Awaitable[Reply | None]]
    ) -> None:
        """Run one attempt to its reply or failure."""
        if self.decided.is_set():
            return
        entrant = Entrant(self)
        self.running.append(entrant)
        try:
            with entrant.scope:
                reply = await attempt(entrant)
                if reply is not None and self.claim(entrant):
                    self.reply = reply
        except BerylcartError as error:
            self.note_failure(entrant, error)
        except Exception as error:
            self.note_fault(entrant, error)
        finally:
            self.running.remove(entrant)
            if not self.running:
                self.decided.set()

    def note_failure(self, entrant: Entrant, error: BerylcartError) -> None:
        """Take a failure; that of a winner is the only one that counts."""
        if entrant.has_won:
            self.failures = [error]
        elif not entrant.has_lost:
            self.failures.append(error)

    def note_fault(self, entrant: Entrant, error: Exception) -> None:
        """End the race by an error that is no failure of an upstream."""
        if self.claim(entrant):
            self.fault = error
        else:
            events.warning("attempt.fault", detail=repr(error))

    def outcome(
        self, merge: Callable[[Sequence[BerylcartError]], BerylcartError]
    ) -> Reply:
        """Return the reply; raises the fault or the merged failures."""
        if self.fault is not None:
            raise self.fault
        if self.reply is not None:
            return self.reply
        raise merge(self.failures)


def last_failure(failures: Sequence[BerylcartError]) -> BerylcartError:
    """Give the failure that came last."""
    return failures[-1]


async def first_reply(
    primary: Callable[[Entrant], Awaitable[Reply]],
    hedge: Callable[[Entrant], Awaitable[Reply | None]],
    delay_s: float,
    merge: Callable[[Sequence[BerylcartError]], BerylcartError] = last_failure,
) -> Reply:
    """Return the winner's reply, starting the hedge after a delay.

    An attempt wins by its reply, or before it by its entrant's claim; the
    other one is cancelled at once. A hedge that returns None was not allowed
    to start. Raises what merge makes of the failures when every attempt
    failed, and any other exception as it is.
    """
    race: Race[Reply] = Race()
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(race.enter, primary)
        with anyio.move_on_after(delay_s):
            await race.decided.wait()
        await race.enter(hedge)
    return race.outcome(merge)
