"""Fold duty claims in log order into the holder of each pool's duty."""

from typing import NamedTuple

from berylcart.state.records import DutyClaim, LogEntry


class Duty(NamedTuple):
    """Name the holder of a pool's duty; fencing is its claim's offset."""

    pool: str
    holder: str
    fencing: int
    time_ms: int


class DutyLedger:
    """Keep the newest duty of each pool; the newest claim in the log wins."""

    def __init__(self) -> None:
        self.duties: dict[str, Duty] = {}
        self.log_time_ms = 0

    def fold(self, entry: LogEntry) -> None:
        """Apply one entry; an older one changes nothing."""
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
        """Find a pool's duty."""
        return self.duties.get(pool)
