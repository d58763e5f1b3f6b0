"""Fold duty claims in log order into the current holder per pool."""

from typing import NamedTuple

from berylcart.state.records import DutyClaim, LogEntry


class Duty(NamedTuple):
    """Describe the holder of a pool's duty.

    fencing is the log offset of the holder's claim: the fencing token.
    """

    pool: str
    holder: str
    fencing: int
    time_ms: int


class DutyLedger:
    """Track the duty of each pool; the newest claim in the log wins."""

    def __init__(self) -> None:
        self.duties: dict[str, Duty] = {}
        self.log_time_ms = 0

    def fold(self, entry: LogEntry) -> None:
        """Apply one entry; an older claim than the current is ignored."""
        self.log_time_ms = max(self.log_time_ms, entry.time_ms)
        claim = entry.record
        if not isinstance(claim, DutyClaim):
            return
        known = self.duties.get(claim.pool)
        if known is None or known.fencing < entry.offset:
            self.duties[claim.pool] = Duty(
                claim.pool, claim.holder, entry.offset, entry.time_ms
            )

    def duty(self, pool: str) -> Duty | None:
        """Return the duty of a pool, None if it was never claimed."""
        return self.duties.get(pool)
