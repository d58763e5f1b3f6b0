"""Notice when the platform's store answers again after it lost calls."""

from collections.abc import Awaitable, Callable
from itertools import count
from math import inf
from typing import TypeVar

import anyio

from berylcart import events
from berylcart.clock import now_s
from berylcart.state.errors import LogUnavailableError

# Replicas whose entries expired while the store was unavailable register again
# within this time after its return.
REREGISTRATION_GRACE_S = 2.0
# Several times the round trip to a store of another region.
MIN_REPEAT_S = 0.1

Answer = TypeVar("Answer")


def repeat_interval_s(contact_s: float) -> float:
    """Return after what time without an answer to repeat a call.

    A removal takes effect after the grace period, which counts from the return
    of the store, and within contact_s of that return. Half of the difference
    is left for the next call after the return.

    >>> repeat_interval_s(3.0), repeat_interval_s(1.5)
    (0.5, 0.1)
    """
    return max(MIN_REPEAT_S, (contact_s - REREGISTRATION_GRACE_S) / 2)


def do_nothing() -> None:
    """Do nothing; the default of on_returned."""


class StoreContact:
    """Follow whether the store answers the calls that are sent through this.

    Answers to other calls may be recorded too, as they show a return sooner.
    Their failures are not, as only their timeout shows these: a long poll may
    fail when the store has long returned. on_returned is called at the first
    answer after a failure.
    """

    def __init__(self, repeat_s: float = inf) -> None:
        self.repeat_s = repeat_s
        self.is_lost = False
        self.answered_s = -inf
        # An upper bound of the time of the last return.
        self.returned_s = -inf
        self.on_returned: Callable[[], None] = do_nothing

    def record_answer(self) -> None:
        """Record an answer; the first one after a lost call is the return."""
        self.answered_s = now_s()
        if not self.is_lost:
            return
        self.is_lost = False
        self.returned_s = self.answered_s
        events.info("store.returned")
        self.on_returned()

    def record_failure(self, started_s: float) -> None:
        """Record a failed call, unless the store has answered since."""
        if started_s >= self.answered_s:
            self.is_lost = True

    async def first_answer(
        self, send: Callable[[], Awaitable[Answer]]
    ) -> Answer:
        """Send a call, and again while no answer comes; return the first one.

        Only the timeout of a call shows that its answer was lost, which is too
        late to know when the store returned. Raises the first error.
        LogUnavailableError counts as a failure, other errors do not.
        """
        ended: list[tuple[int, Answer | Exception]] = []
        pending: set[int] = set()
        has_ended = anyio.Event()

        async def attempt(number: int) -> None:
            result: Answer | Exception
            started_s = now_s()
            try:
                result = await send()
                self.record_answer()
            except LogUnavailableError as error:
                self.record_failure(started_s)
                result = error
            except Exception as error:
                result = error
            pending.discard(number)
            ended.append((number, result))
            has_ended.set()

        async with anyio.create_task_group() as tasks:
            for number in count():
                pending.add(number)
                tasks.start_soon(attempt, number)
                with anyio.move_on_after(self.repeat_s):
                    await has_ended.wait()
                if ended:
                    break
            tasks.cancel_scope.cancel()
        number, result = ended[0]
        if isinstance(result, Exception):
            raise result
        if min(pending, default=number) < number:
            # The answer to an earlier call was lost.
            self.is_lost = True
            self.record_answer()
        return result
