"""Read the log's own clock."""

from berylcart.coordination.ports import Log
from berylcart.state.records import Release

CLOCK_STREAM = "clock"
PROBE_RECORD = Release("", "")


async def read_log_time_ms(log: Log) -> int:
    """Append a record and return the timestamp that the log gave it.

    Raises LogUnavailableError, LogAmbiguousError and LogGapError.
    """
    offset = await log.append(CLOCK_STREAM, [PROBE_RECORD])
    page = await log.read(CLOCK_STREAM, offset, wait_ms=0, limit=1)
    return page.entries[0].time_ms
