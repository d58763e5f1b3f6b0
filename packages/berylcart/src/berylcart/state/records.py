"""Records that berylcart appends to the platform's log."""

from typing import NamedTuple

CONFIG_STREAM = "config"
CLAIM_STREAM = "claims"
DUTY_STREAM = "duties"


class Publication(NamedTuple):
    """Publish a configuration text, which the fold accepts or rejects.

    A publication with a base_version of None is unconditional; others are
    rejected unless base_version is the version in force.
    """

    publish_id: str
    base_version: int | None
    format_version: int
    text: str


class Verdict(NamedTuple):
    """Hold the fold's decision on a publication; version None rejects it."""

    publish_id: str
    offset: int
    version: int | None
    reason: str


class Checkpoint(NamedTuple):
    """Snapshot of the configuration fold before the record as_of_offset."""

    as_of_offset: int
    version: int
    format_version: int
    text: str
    verdicts: tuple[Verdict, ...]


class Claim(NamedTuple):
    """Claim the exclusive right to run a non-idempotent request.

    issued_ms is the log time that a dated key carries, 0 for an undated key.
    A claim with an empty ordering_digest waits for no other claim.
    """

    key_digest: str
    workspace: str
    service: str
    claimant: str
    claim_id: str
    fingerprint: str
    issued_ms: int = 0
    ordering_digest: str = ""


class Outcome(NamedTuple):
    """Record whether a claimed request ran, with its result code."""

    key_digest: str
    claim_id: str
    ran: str
    code: int
    answer_digest: str


class Release(NamedTuple):
    """Release a claim whose request did not reach an upstream."""

    key_digest: str
    claim_id: str


class DutyClaim(NamedTuple):
    """Claim the duty for a pool; the record's offset is the fencing token."""

    pool: str
    holder: str


Record = Publication | Checkpoint | Claim | Outcome | Release | DutyClaim


class LogEntry(NamedTuple):
    """Hold a record and its log position; record is None if unreadable."""

    offset: int
    time_ms: int
    record: Record | None
    detail: str = ""


class LogPage(NamedTuple):
    """Hold consecutive entries and the range that the log retains.

    start_offset is the oldest retained offset, end_offset the offset that the
    next append gets.
    """

    start_offset: int
    end_offset: int
    entries: tuple[LogEntry, ...]
