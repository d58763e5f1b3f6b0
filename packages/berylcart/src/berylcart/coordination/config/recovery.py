"""Find the state and offset at which to start the configuration fold."""

from berylcart.coordination.ports import Log
from berylcart.state.config_fold import (
    INITIAL_STATE,
    FoldState,
    choose_checkpoint,
    to_fold_state,
)
from berylcart.state.config_text import ConfigTextError
from berylcart.state.records import CONFIG_STREAM, Checkpoint, LogEntry

INITIAL_SCAN_RECORDS = 64
SCAN_GROWTH_FACTOR = 4
PAGE_RECORDS = 64


async def find_start(log: Log) -> FoldState | None:
    """Find the newest state that the retained records can be folded onto.

    Returns None when records have expired and no checkpoint joins those that
    remain. Raises LogUnavailableError, and LogGapError when records expire
    during the search.
    """
    bounds = await log.read(CONFIG_STREAM, -1, wait_ms=0, limit=1)
    width = INITIAL_SCAN_RECORDS
    while True:
        first = max(bounds.start_offset, bounds.end_offset - width)
        entries = await read_range(log, first, bounds.end_offset)
        state = state_from_checkpoint(entries, bounds.start_offset)
        if state is not None:
            return state
        if first == bounds.start_offset:
            return INITIAL_STATE if bounds.start_offset == 0 else None
        width *= SCAN_GROWTH_FACTOR


async def find_checkpoint_time_ms(log: Log) -> int | None:
    """Find the log timestamp of the newest retained checkpoint."""
    bounds = await log.read(CONFIG_STREAM, -1, wait_ms=0, limit=1)
    end = bounds.end_offset
    while end > bounds.start_offset:
        first = max(bounds.start_offset, end - INITIAL_SCAN_RECORDS)
        for entry in reversed(await read_range(log, first, end)):
            if isinstance(entry.record, Checkpoint):
                return entry.time_ms
        end = first
    return None


async def read_range(
    log: Log, first: int, end_offset: int
) -> tuple[LogEntry, ...]:
    """Read the entries with offsets from first to end_offset - 1."""
    entries: list[LogEntry] = []
    while first < end_offset:
        limit = min(PAGE_RECORDS, end_offset - first)
        page = await log.read(CONFIG_STREAM, first, wait_ms=0, limit=limit)
        if not page.entries:
            break
        entries.extend(page.entries)
        first = entries[-1].offset + 1
    return tuple(entries)


def state_from_checkpoint(
    entries: tuple[LogEntry, ...], start_offset: int
) -> FoldState | None:
    """Return the state of the newest valid checkpoint among entries."""
    checkpoint = choose_checkpoint(entries, start_offset)
    if checkpoint is None:
        return None
    try:
        return to_fold_state(checkpoint)
    except ConfigTextError:
        others = tuple(
            entry for entry in entries if entry.record is not checkpoint
        )
        return state_from_checkpoint(others, start_offset)
