"""Sum the fleet's demand for heavy workspaces."""

from collections.abc import Iterable, Sequence
from typing import NamedTuple

from berylcart.state.peer_messages import Demand

MS_PER_S = 1000


class _Heard(NamedTuple):
    in_flight: int
    at: float


class DemandTable:
    """Keep the newest demand that each daemon reported.

    Times are in seconds of the runtime's clock.

    >>> table = DemandTable(keep_ms=1000)
    >>> table.add([Demand("d2", "w", 4), Demand("d3", "w", 2)], now=5.0)
    >>> table.total("w", now=5.0), table.total("w", now=7.0)
    (6, 0)
    """

    def __init__(self, keep_ms: int) -> None:
        self._keep_s = keep_ms / MS_PER_S
        self._heard: dict[str, dict[str, _Heard]] = {}

    def add(self, reports: Iterable[Demand], now: float) -> None:
        """Take in reports, keeping the newest of each daemon."""
        for report in reports:
            heard = _Heard(report.in_flight, now - report.age_ms / MS_PER_S)
            daemons = self._heard.setdefault(report.workspace, {})
            known = daemons.get(report.daemon_id)
            if known is None or known.at < heard.at:
                daemons[report.daemon_id] = heard

    def prune(self, now: float) -> None:
        """Forget what is older than the time it is kept for."""
        for workspace, daemons in list(self._heard.items()):
            for daemon_id, heard in list(daemons.items()):
                if now - heard.at > self._keep_s:
                    del daemons[daemon_id]
            if not daemons:
                del self._heard[workspace]

    def newest(self, limit: int, now: float) -> Sequence[Demand]:
        """Give the newest reports, to pass on."""
        reports = [
            Demand(
                daemon_id,
                workspace,
                heard.in_flight,
                int((now - heard.at) * MS_PER_S),
            )
            for workspace, daemons in self._heard.items()
            for daemon_id, heard in daemons.items()
            if now - heard.at <= self._keep_s
        ]
        return sorted(reports, key=lambda report: report.age_ms)[:limit]

    def total(self, workspace: str, now: float) -> int:
        """Sum the reports heard lately.

        A daemon reports only its heaviest workspaces, so one that is silent
        about a workspace counts as having none of it.
        """
        daemons = self._heard.get(workspace, {})
        return sum(
            heard.in_flight
            for heard in daemons.values()
            if now - heard.at <= self._keep_s
        )
