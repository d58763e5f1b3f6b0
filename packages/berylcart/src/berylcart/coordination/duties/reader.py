"""Read the duty stream to its end on demand."""

from berylcart.coordination.ports import Log
from berylcart.state.duty_ledger import Duty, DutyLedger
from berylcart.state.errors import LogGapError
from berylcart.state.records import DUTY_STREAM

READ_LIMIT = 1000


class DutyReader:
    """Fold the duty stream into a ledger, up to the last refresh."""

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
        """Refresh and return a pool's duty; raises LogUnavailableError."""
        await self.refresh()
        return self.ledger.duty(pool)

    async def _read_page(self) -> bool:
        """Fold the next page; return True at the end of the stream.

        After a gap the ledger starts empty, since a newer duty than the ones
        folded may have expired from the log.
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
