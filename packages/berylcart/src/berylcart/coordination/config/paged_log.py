"""Reduce the page size of log reads after a failed read."""

from collections.abc import Sequence

from berylcart.coordination.ports import Log
from berylcart.state.errors import LogUnavailableError
from berylcart.state.records import LogPage, Record

MAX_PAGE_RECORDS = 64
PAGE_SHRINK_FACTOR = 4


class PagedLog:
    """Implement the Log port over another log, with an adaptive page size.

    A page of large records may exceed the size limit of one response, which
    looks like an outage. So each failure divides the page size by
    PAGE_SHRINK_FACTOR, and each success increases it by one record.
    """

    def __init__(self, log: Log) -> None:
        self.log = log
        self.limit = MAX_PAGE_RECORDS

    async def append(self, stream: str, records: Sequence[Record]) -> int:
        """Append records in order and return the offset of the first.

        Raises LogUnavailableError and LogAmbiguousError.
        """
        return await self.log.append(stream, records)

    async def read(
        self, stream: str, offset: int, *, wait_ms: int, limit: int
    ) -> LogPage:
        """Read a page, retrying with smaller ones down to one record.

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
                self.limit = max(1, self.limit // PAGE_SHRINK_FACTOR)
                continue
            self.limit = min(MAX_PAGE_RECORDS, self.limit + 1)
            return page
