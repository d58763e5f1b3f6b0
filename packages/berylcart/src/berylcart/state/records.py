"""Define the records that berylcart keeps on the platform's log."""

from typing import NamedTuple

CONFIG_STREAM = "config"
CLAIM_STREAM = "claims"
DUTY_STREAM = "duties"


class Publication(NamedTuple):
    """Offer a configuration text; the fold accepts or rejects it.

    A base_version of None makes the publication unconditional.
    """

    publish_id: str
    base_version: int | None
    format_version: int
    text: str


class Verdict(NamedTuple):
    """Record what the fold decided about one publication."""

    publish_id: str
    offset: int
    version: int | None
    reason: str


class Checkpoint(NamedTuple):
    """Carry the state of the configuration fold as of an offset."""

    as_of_offset: int
    version: int
    format_version: int
    text: str
    verdicts: tuple[Verdict, ...]


class Claim(NamedTuple):
    """Claim the sole right to run a non-idempotent request.

    issued_ms is the log time that a dated key carries, 0 for a plain key.
    An empty ordering_digest waits for no other claim.
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
    """Record that a claimed request ran, or that it certainly did not."""

    key_digest: str
    claim_id: str
    ran: str
    code: int
    answer_digest: str


class Release(NamedTuple):
    """Give up a claim whose request never reached an upstream."""

    key_digest: str
    claim_id: str


class DutyClaim(NamedTuple):
    """Claim the duty for a pool; the record's offset is the fencing number."""

    pool: str
    holder: str


Record = Publication | Checkpoint | Claim | Outcome | Release | DutyClaim


class LogEntry(NamedTuple):
    """Place one record in the log's order; record is None if unreadable."""

    offset: int
    time_ms: int
    record: Record | None
    detail: str = ""


class LogPage(NamedTuple):
    """Hold consecutive entries and the bounds of what the log retains.

    start_offset is the oldest retained offset, end_offset the next free.
    """

    start_offset: int
    end_offset: int
    entries: tuple[LogEntry, ...]
