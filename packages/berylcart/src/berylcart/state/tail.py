"""Define what is read of the end of a log."""

from typing import NamedTuple


class StoredRecord(NamedTuple):
    """Hold one record of a keyed topic; no value means that it is gone."""

    key: str
    value: bytes
    offset: int


class LogPart(NamedTuple):
    """Hold records read from a topic and the offset after the last one.

    is_behind tells that the log ends before the offset that was asked for,
    is_incomplete that records are missing which could not be read.
    """

    records: tuple[StoredRecord, ...]
    next_offset: int
    is_behind: bool = False
    is_incomplete: bool = False


class TailAnswer(NamedTuple):
    """Carry what a reader knows of a log's end from some offset on.

    Its last read of the log began age_ms ago; returned_ms ago the log came
    back after reads that failed.
    """

    part: LogPart
    age_ms: int
    returned_ms: int
