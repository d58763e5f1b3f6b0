"""Find where on the log the configuration fold may start."""

from berylcart.coordination.ports import Log
from berylcart.state.config_fold import (
    INITIAL_STATE,
    FoldState,
    choose_checkpoint,
    state_of,
)
from berylcart.state.config_text import ConfigTextError
from berylcart.state.records import CONFIG_STREAM, Checkpoint, LogEntry

FIRST_SCAN_RECORDS = 64
SCAN_GROWTH = 4
PAGE_RECORDS = 64


async def find_start(log: Log) -> FoldState | None:
    """Find the newest state from which the retained records go on.

    Returns None when records have expired and no checkpoint joins the rest.
    Raises LogUnavailableError, and LogGapError when records expire meanwhile.
    """
    bounds = await log.read(CONFIG_STREAM, -1, wait_ms=0, limit=1)
    width = FIRST_SCAN_RECORDS
    while True:
        first = max(bounds.start_offset, bounds.end_offset - width)
        entries = await read_range(log, first, bounds.end_offset)
        state = choose_start(entries, bounds.start_offset)
        if state is not None:
            return state
        if first == bounds.start_offset:
            return INITIAL_STATE if bounds.start_offset == 0 else None
        width *= SCAN_GROWTH


async def find_checkpoint_time_ms(log: Log) -> int | None:
    """Find when the log took the newest checkpoint that it retains."""
    bounds = await log.read(CONFIG_STREAM, -1, wait_ms=0, limit=1)
    end = bounds.end_offset
    while end > bounds.start_offset:
        first = max(bounds.start_offset, end - FIRST_SCAN_RECORDS)
        for entry in reversed(await read_range(log, first, end)):
            if isinstance(entry.record, Checkpoint):
                return entry.time_ms
        end = first
    return None


async def read_range(
    log: Log, first: int, end_offset: int
) -> tuple[LogEntry, ...]:
    """Read the entries from first up to end_offset."""
    entries: list[LogEntry] = []
    while first < end_offset:
        limit = min(PAGE_RECORDS, end_offset - first)
        page = await log.read(CONFIG_STREAM, first, wait_ms=0, limit=limit)
        if not page.entries:
            break
        entries.extend(page.entries)
        first = entries[-1].offset + 1
    return tuple(entries)


def choose_start(
    entries: tuple[LogEntry, ...], start_offset: int
) -> FoldState | None:
    """Resume from the best usable checkpoint among entries."""
    checkpoint = choose_checkpoint(entries, start_offset)
    if checkpoint is None:
        return None
    try:
        return state_of(checkpoint)
    except ConfigTextError:
        others = tuple(e for e in entries if e.record is not checkpoint)
        return choose_start(others, start_offset)
