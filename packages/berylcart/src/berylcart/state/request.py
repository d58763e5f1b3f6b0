"""Describe a caller's request and its whole answer."""

from typing import Any, NamedTuple

from berylcart.state.errors import Ran
from berylcart.state.stage import Usage


class ServeRequest(NamedTuple):
    """Carry one request in canonical form.

    deadline_at_s is a time of the runtime's clock.
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
    """Report what one stage of a request took."""

    service: str
    vm_id: str
    place: str
    latency_ms: float
    attempts: int
    usage: Usage


class ServeReply(NamedTuple):
    """Carry the whole answer of one request."""

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
        """Say whether the request ran, as far as is known."""
        if self.open_attempts:
            return strongest(self.settled, Ran.UNKNOWN)
        return self.settled

    def begin(self) -> None:
        """Note that bytes may reach an upstream from now on."""
        self.open_attempts += 1

    def end(self, ran: Ran) -> None:
        """Settle one attempt."""
        self.open_attempts -= 1
        self.settle(ran)

    def settle(self, ran: Ran) -> None:
        """Add what became known."""
        self.settled = strongest(self.settled, ran)


def strongest(first: Ran, second: Ran) -> Ran:
    """Combine two findings, the more cautious one winning.

    >>> strongest(Ran.NO, Ran.UNKNOWN), strongest(Ran.YES, Ran.UNKNOWN)
    (<Ran.UNKNOWN: 'unknown'>, <Ran.YES: 'yes'>)
    """
    order = (Ran.NO, Ran.UNKNOWN, Ran.YES)
    return max(first, second, key=order.index)
