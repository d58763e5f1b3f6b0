"""Read the duty stream up to its end on demand."""

from berylcart.coordination.ports import Log
from berylcart.state.duty_ledger import Duty, DutyLedger
from berylcart.state.errors import LogGapError
from berylcart.state.records import DUTY_STREAM

READ_LIMIT = 1000


class DutyReader:
    """Hold the duties as of the last refresh."""

    def __init__(self, log: Log) -> None:
        self.log = log
        self.ledger = DutyLedger()
        self.position = -1

    async def refresh(self) -> None:
        """Read to the end of the stream; raises LogUnavailableError."""
        while True:
            try:
                if await self._read_page():
                    return
            except LogGapError:
                self.position = -1

    async def find(self, pool: str) -> Duty | None:
        """Find a pool's duty as of now; raises LogUnavailableError."""
        await self.refresh()
        return self.ledger.duty(pool)

    async def _read_page(self) -> bool:
        """Read on; True once nothing is left to read.

        A duty from before a gap is forgotten: a newer one may have expired.
        """
        if self.position < 0:
            bounds = await self.log.read(DUTY_STREAM, -1, wait_ms=0, limit=1)
            self.ledger = DutyLedger()
            self.position = bounds.start_offset
        page = await self.log.read(
            DUTY_STREAM, self.position, wait_ms=0, limit=READ_LIMIT
        )
        for entry in page.entries:
            self.ledger.fold(entry)
            self.position = entry.offset + 1
        return self.position >= page.end_offset
