"""Hedged attempts: the first of two concurrent attempts to reply wins."""

from collections.abc import Awaitable, Callable, Sequence
from typing import Any, Generic, TypeVar

import anyio

from berylcart import events
from berylcart.state.errors import BerylcartError

Reply = TypeVar("Reply")


class RaceParticipant:
    """One attempt in a race, which may win before its reply is complete."""

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
    def has_competitor(self) -> bool:
        """Tell whether the race is open and another attempt is running."""
        is_open = self.race.winner is None
        return is_open and any(each is not self for each in self.race.running)

    async def claim(self) -> None:
        """Win the race and cancel the others; does not return to a loser.

        A loser may call this before its cancellation is delivered, so it
        sleeps until then.
        """
        if not self.race.claim(self):
            await anyio.sleep_forever()


class Race(Generic[Reply]):
    """Collect the winner's reply or failure, or else every failure."""

    def __init__(self) -> None:
        self.running: list[RaceParticipant] = []
        self.winner: RaceParticipant | None = None
        self.reply: Reply | None = None
        self.failures: list[BerylcartError] = []
        self.unexpected_error: Exception | None = None
        # Set when an attempt has won or all have failed.
        self.decided = anyio.Event()

    def claim(self, entrant: RaceParticipant) -> bool:
        """Make an attempt the winner unless there is one; tell if it is."""
        if self.winner is None:
            self.winner = entrant
            self.decided.set()
            for other in self.running:
                if other is not entrant:
                    other.scope.cancel()
        return self.winner is entrant

    async def run_attempt(
        self, attempt: Callable[[RaceParticipant], Awaitable[Reply | None]]
    ) -> None:
        """Run one attempt until it replies, fails or is cancelled."""
        if self.decided.is_set():
            return
        entrant = RaceParticipant(self)
        self.running.append(entrant)
        try:
            with entrant.scope:
                reply = await attempt(entrant)
                if reply is not None and self.claim(entrant):
                    self.reply = reply
        except BerylcartError as error:
            self.record_failure(entrant, error)
        except Exception as error:
            self.record_unexpected_error(entrant, error)
        finally:
            self.running.remove(entrant)
            if not self.running:
                self.decided.set()

    def record_failure(
        self, entrant: RaceParticipant, error: BerylcartError
    ) -> None:
        """Record a failure; a winner's failure replaces all others."""
        if entrant.has_won:
            self.failures = [error]
        elif not entrant.has_lost:
            self.failures.append(error)

    def record_unexpected_error(
        self, entrant: RaceParticipant, error: Exception
    ) -> None:
        """Decide the race by an error other than BerylcartError."""
        if self.claim(entrant):
            self.unexpected_error = error
        else:
            events.warning("attempt.error_ignored", detail=repr(error))

    def outcome(
        self, merge: Callable[[Sequence[BerylcartError]], BerylcartError]
    ) -> Reply:
        """Return the reply; raises the error or the merged failures."""
        if self.unexpected_error is not None:
            raise self.unexpected_error
        if self.reply is not None:
            return self.reply
        raise merge(self.failures)


def last_failure(failures: Sequence[BerylcartError]) -> BerylcartError:
    """Return the most recent failure."""
    return failures[-1]


async def first_reply(
    primary: Callable[[RaceParticipant], Awaitable[Reply]],
    hedge: Callable[[RaceParticipant], Awaitable[Reply | None]],
    delay_s: float,
    merge: Callable[[Sequence[BerylcartError]], BerylcartError] = last_failure,
) -> Reply:
    """Return the winner's reply; the hedge starts after a delay.

    An attempt wins when it replies, or earlier when it calls its entrant's
    claim(); the other attempt is then cancelled. A hedge returns None if it
    was not allowed to start. If every attempt failed, raises the error that
    merge returns for the failures. Any other exception is raised unchanged.
    """
    race: Race[Reply] = Race()
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(race.run_attempt, primary)
        with anyio.move_on_after(delay_s):
            await race.decided.wait()
        await race.run_attempt(hedge)
    return race.outcome(merge)
