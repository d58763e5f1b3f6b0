"""Decide which requests a stopping daemon still takes and sends on."""

from typing import NamedTuple

from berylcart.clock import now_s
from berylcart.state.errors import BerylcartError, Code, Ran

# Some callers keep an entry list for this many times its stated lifetime.
MAX_ENTRY_LIST_LIFETIMES = 3
# Time for the other daemons to learn that this one has left the entry lists.
GOSSIP_MARGIN_S = 0.3
# Longest delay between the signal, when callers get the last entry lists that
# name the daemon, and its handling by a busy process.
SIGNAL_MARGIN_S = 0.2
# Part of the grace period that is reserved for leaving the membership and for
# the exit of the process.
EXIT_MARGIN_S = 0.6
# Time to write the errors for requests that are left, to slow callers as well.
ANSWER_MARGIN_S = 0.3
# Largest share of a short grace period that each margin may take.
MAX_MARGIN_SHARE = 0.25
RETRY_AFTER_MS = 100


class DrainSchedule(NamedTuple):
    """Times of a planned stop, in seconds of the runtime's clock.

    From late_s, when the entry lists that name the daemon expire, a request is
    taken only if its deadline ends it in time. From refuse_s every new request
    is refused. At answer_s the requests whose response has not begun get an
    error. At end_s all connections are closed.
    """

    late_s: float
    refuse_s: float
    answer_s: float
    end_s: float


def drain_schedule(
    started_s: float, grace_s: float, entry_lifetime_s: float
) -> DrainSchedule:
    """Return the times of a stop that must be over after grace_s.

    >>> [round(time_s, 1) for time_s in drain_schedule(0.0, 10.0, 1.0)]
    [2.8, 3.3, 9.1, 9.4]
    >>> [round(time_s, 1) for time_s in drain_schedule(0.0, 2.0, 1.0)]
    [1.2, 1.2, 1.2, 1.5]
    """
    max_margin_s = MAX_MARGIN_SHARE * grace_s
    end_s = started_s + grace_s - min(EXIT_MARGIN_S, max_margin_s)
    answer_s = end_s - min(ANSWER_MARGIN_S, max_margin_s)
    unlisted_s = started_s + MAX_ENTRY_LIST_LIFETIMES * entry_lifetime_s
    return DrainSchedule(
        min(unlisted_s - SIGNAL_MARGIN_S, answer_s),
        min(unlisted_s + GOSSIP_MARGIN_S, answer_s),
        answer_s,
        end_s,
    )


def draining_error(detail: str, ran: Ran = Ran.NO) -> BerylcartError:
    """Return the error for a request that a stopping daemon does not serve."""
    return BerylcartError(
        Code.DRAINING, detail, ran=ran, retry_after_ms=RETRY_AFTER_MS
    )


class Drain:
    """Refuse requests that may not end before the daemon stops."""

    def __init__(self) -> None:
        self.schedule: DrainSchedule | None = None

    def begin(self, schedule: DrainSchedule) -> None:
        """Apply the schedule from now on."""
        self.schedule = schedule

    def check_arrival(
        self, deadline_s: float, expected_s: float | None
    ) -> None:
        """Raise DRAINING if a new request is not to be taken.

        expected_s is the longest time that it is expected to take, None if
        unknown. Its deadline bounds that time. Expectations, which can fail,
        do not count from late_s on.
        """
        schedule = self.schedule
        if schedule is not None and now_s() >= schedule.refuse_s:
            raise draining_error("this entry is stopping")
        is_late = schedule is not None and now_s() >= schedule.late_s
        self.check_end(deadline_s, None if is_late else expected_s)

    def check_end(self, deadline_s: float, expected_s: float | None) -> None:
        """Raise DRAINING if a request may not end before the stop."""
        if not self.may_end_in_time(deadline_s, expected_s):
            raise draining_error(
                "this entry stops before the response is expected to end"
            )

    def may_end_in_time(
        self, deadline_s: float, expected_s: float | None
    ) -> bool:
        """Return whether a request is expected to end before the stop."""
        if self.schedule is None or deadline_s <= self.schedule.answer_s:
            return True
        if expected_s is None:
            return False
        return now_s() + expected_s <= self.schedule.answer_s
