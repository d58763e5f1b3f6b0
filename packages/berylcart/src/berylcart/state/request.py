"""Requests to be served, their replies and whether they ran."""

from typing import Any, NamedTuple

from berylcart.state.errors import Ran
from berylcart.state.stage import Usage


class ServeRequest(NamedTuple):
    """Hold one request, independent of its wire format.

    deadline_at_s is an absolute time of anyio.current_time().
    """

    request_id: str
    workspace: str
    target: str
    is_pipeline: bool
    payload: dict[str, Any]
    deadline_ms: int
    deadline_at_s: float
    idempotency_key: str = ""
    ordering_key: str = ""
    is_stream: bool = False


class StageReport(NamedTuple):
    """Report where one stage of a request ran and at what cost."""

    service: str
    vm_id: str
    place: str
    latency_ms: float
    attempts: int
    usage: Usage


class ServeReply(NamedTuple):
    """Hold the complete reply to one request."""

    request_id: str
    output: Any
    stages: tuple[StageReport, ...]


class Progress:
    """Track whether a request may have reached an upstream.

    >>> progress = Progress()
    >>> progress.begin()
    >>> progress.ran
    <Ran.UNKNOWN: 'unknown'>
    >>> progress.end(Ran.NO)
    >>> progress.ran
    <Ran.NO: 'no'>
    """

    def __init__(self) -> None:
        self.open_attempts = 0
        self.settled = Ran.NO

    @property
    def ran(self) -> Ran:
        """Return whether the request ran, as far as known."""
        if self.open_attempts:
            return strongest(self.settled, Ran.UNKNOWN)
        return self.settled

    def begin(self) -> None:
        """Record the start of an attempt, which may reach an upstream."""
        self.open_attempts += 1

    def end(self, ran: Ran) -> None:
        """Record the end of an attempt and whether it ran."""
        self.open_attempts -= 1
        self.record_outcome(ran)

    def record_outcome(self, ran: Ran) -> None:
        """Combine a finding with the previous ones."""
        self.settled = strongest(self.settled, ran)


def strongest(first: Ran, second: Ran) -> Ran:
    """Combine two findings: YES prevails over UNKNOWN, UNKNOWN over NO.

    >>> strongest(Ran.NO, Ran.UNKNOWN), strongest(Ran.YES, Ran.UNKNOWN)
    (<Ran.UNKNOWN: 'unknown'>, <Ran.YES: 'yes'>)
    """
    order = (Ran.NO, Ran.UNKNOWN, Ran.YES)
    return max(first, second, key=order.index)
