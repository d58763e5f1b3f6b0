"""Records read from the tail of a log."""

from typing import NamedTuple

# The era of a store that reports none.
FIRST_ERA = 0


class StoredRecord(NamedTuple):
    """Hold one record of a keyed topic; an empty value is a tombstone."""

    key: str
    value: bytes
    offset: int


class LogPosition(NamedTuple):
    """Order offsets by the era of the store that assigned them.

    >>> LogPosition(era=2, offset=5) > LogPosition(era=1, offset=90)
    True
    """

    era: int
    offset: int


class LogPart(NamedTuple):
    """Hold records read from a topic and the offset after the last one.

    is_behind is set if the log ends before the requested offset,
    is_incomplete if some records could not be read. All offsets are of one
    era of the store.
    """

    records: tuple[StoredRecord, ...]
    next_offset: int
    is_behind: bool = False
    is_incomplete: bool = False
    era: int = FIRST_ERA

    @property
    def end(self) -> LogPosition:
        """Return the position after the last record."""
        return LogPosition(self.era, self.next_offset)


class TailAnswer(NamedTuple):
    """Carry a reader's copy of the tail of a log, from some offset on.

    Its last read of the log began age_ms ago. returned_ms ago the log became
    readable again after failed reads.
    """

    part: LogPart
    age_ms: int
    returned_ms: int
