"""Records read from the tail of a log."""

from typing import NamedTuple


class StoredRecord(NamedTuple):
    """Hold one record of a keyed topic; an empty value is a tombstone."""

    key: str
    value: bytes
    offset: int


class LogPart(NamedTuple):
    """Hold records read from a topic and the offset after the last one.

    is_behind is set if the log ends before the requested offset,
    is_incomplete if some records could not be read.
    """

    records: tuple[StoredRecord, ...]
    next_offset: int
    is_behind: bool = False
    is_incomplete: bool = False


class TailAnswer(NamedTuple):
    """Carry a reader's copy of the tail of a log, from some offset on.

    Its last read of the log began age_ms ago. returned_ms ago the log became
    readable again after failed reads.
    """

    part: LogPart
    age_ms: int
    returned_ms: int
