"""Read smaller pages of a log after a page could not be had."""

from collections.abc import Sequence

from berylcart.coordination.ports import Log
from berylcart.state.errors import LogUnavailableError
from berylcart.state.records import LogPage, Record

MAX_PAGE_RECORDS = 64
SHRINK_FACTOR = 4


class PagedLog:
    """Implement the Log port over another log, limiting its pages.

    A page of large records may exceed what one answer can carry, which looks
    like an outage; so the limit shrinks with a failure and slowly grows again.
    """

    def __init__(self, log: Log) -> None:
        self.log = log
        self.limit = MAX_PAGE_RECORDS

    async def append(self, stream: str, records: Sequence[Record]) -> int:
        """Append records in order and return the first one's offset.

        Raises LogUnavailableError and LogAmbiguousError.
        """
        return await self.log.append(stream, records)

    async def read(
        self, stream: str, offset: int, *, wait_ms: int, limit: int
    ) -> LogPage:
        """Read a page, trying smaller ones before giving up.

        Raises LogUnavailableError and LogGapError.
        """
        while True:
            try:
                page = await self.log.read(
                    stream,
                    offset,
                    wait_ms=wait_ms,
                    limit=min(limit, self.limit),
                )
            except LogUnavailableError:
                if self.limit == 1:
                    raise
                self.limit = max(1, self.limit // SHRINK_FACTOR)
                continue
            self.limit = min(MAX_PAGE_RECORDS, self.limit + 1)
            return page
