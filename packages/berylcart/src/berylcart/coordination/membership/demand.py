"""Sum the requests in flight of workspaces across daemons."""

from collections.abc import Iterable, Sequence
from typing import NamedTuple

from berylcart.state.peer_messages import Demand

MS_PER_S = 1000


class _TimedDemand(NamedTuple):
    in_flight: int
    at: float


class DemandTable:
    """Hold the newest demand that each daemon reported per workspace.

    Times are in seconds of the runtime's clock.

    >>> table = DemandTable(keep_ms=1000)
    >>> table.add([Demand("d2", "w", 4), Demand("d3", "w", 2)], now=5.0)
    >>> table.total("w", now=5.0), table.total("w", now=7.0)
    (6, 0)
    """

    def __init__(self, keep_ms: int) -> None:
        self._retention_s = keep_ms / MS_PER_S
        self._reports: dict[str, dict[str, _TimedDemand]] = {}

    def add(self, reports: Iterable[Demand], now: float) -> None:
        """Merge reports, keeping each daemon's newest per workspace."""
        for report in reports:
            timed_demand = _TimedDemand(
                report.in_flight, now - report.age_ms / MS_PER_S
            )
            daemons = self._reports.setdefault(report.workspace, {})
            known = daemons.get(report.daemon_id)
            if known is None or known.at < timed_demand.at:
                daemons[report.daemon_id] = timed_demand

    def prune(self, now: float) -> None:
        """Drop reports older than the retention time."""
        for workspace, daemons in list(self._reports.items()):
            for daemon_id, timed_demand in list(daemons.items()):
                if now - timed_demand.at > self._retention_s:
                    del daemons[daemon_id]
            if not daemons:
                del self._reports[workspace]

    def newest(self, limit: int, now: float) -> Sequence[Demand]:
        """Return up to limit reports to send on, newest first."""
        reports = [
            Demand(
                daemon_id,
                workspace,
                timed_demand.in_flight,
                int((now - timed_demand.at) * MS_PER_S),
            )
            for workspace, daemons in self._reports.items()
            for daemon_id, timed_demand in daemons.items()
            if now - timed_demand.at <= self._retention_s
        ]
        return sorted(reports, key=lambda report: report.age_ms)[:limit]

    def total(self, workspace: str, now: float) -> int:
        """Sum the unexpired reports on a workspace.

        A daemon reports only the workspaces with its highest demand, so one
        without a report on a workspace counts as 0.
        """
        daemons = self._reports.get(workspace, {})
        return sum(
            timed_demand.in_flight
            for timed_demand in daemons.values()
            if now - timed_demand.at <= self._retention_s
        )
