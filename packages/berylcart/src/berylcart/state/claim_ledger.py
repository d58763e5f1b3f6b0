"""Fold claim records in log order into the holder of each key."""

import sys
from enum import StrEnum
from functools import singledispatchmethod
from typing import NamedTuple

from berylcart.state.claim_order import ClaimOrder, OrderedClaim
from berylcart.state.errors import Ran
from berylcart.state.records import Claim, LogEntry, Outcome, Release

LOG_START_MS = -(1 << 62)
EXPIRY_BUCKET_MS = 60_000


class ClaimRules(NamedTuple):
    """Configure the lifetime of claims, in log time.

    skew_ms is how far in the future a key's time of issue may lie.
    """

    claim_keep_ms: int = 6 * 3_600_000
    skew_ms: int = 5_000


class Verdict(StrEnum):
    """List the decisions of the fold on one claim record."""

    GRANTED = "granted"
    DUPLICATE = "duplicate"
    CONFLICT = "conflict"
    EXPIRED = "expired"
    UNJUDGED = "unjudged"


class Holder(NamedTuple):
    """Describe the claim that holds a key, and its outcome if known."""

    claim_id: str
    claimant: str
    fingerprint: str
    expires_ms: int
    workspace: str
    ran: Ran | None = None
    code: int = 0


class Judgement(NamedTuple):
    """Pair the verdict on a claim with the key's holder after it."""

    verdict: Verdict
    holder: Holder | None


def expiry_ms(claim: Claim, time_ms: int, rules: ClaimRules) -> int:
    """Return the log time after which a claim's key is evicted.

    The expiry of a dated key depends on the key alone, so any later claim of
    an evicted key has itself expired.

    >>> rules = ClaimRules(claim_keep_ms=1000, skew_ms=0)
    >>> dated = Claim("k", "w", "s", "d1/1", "d1/1.1", "f", issued_ms=70)
    >>> expiry_ms(dated, 90, rules)
    1070
    >>> expiry_ms(dated._replace(issued_ms=0), 90, rules)
    1090
    """
    return (claim.issued_ms or time_ms) + rules.claim_keep_ms


def is_out_of_date(claim: Claim, time_ms: int, rules: ClaimRules) -> bool:
    """Tell whether a dated key is expired or issued in the future.

    >>> rules = ClaimRules(claim_keep_ms=1000, skew_ms=5)
    >>> dated = Claim("k", "w", "s", "d1/1", "d1/1.1", "f", issued_ms=70)
    >>> [is_out_of_date(dated, time, rules) for time in (64, 65, 1070, 1071)]
    [True, False, False, True]
    """
    if not claim.issued_ms:
        return False
    if claim.issued_ms > time_ms + rules.skew_ms:
        return True
    return time_ms > expiry_ms(claim, time_ms, rules)


def earliest_prior_claim_ms(
    claim: Claim, time_ms: int, rules: ClaimRules
) -> int:
    """Return the earliest log time of a prior claim of the same key.

    >>> rules = ClaimRules(claim_keep_ms=1000, skew_ms=5)
    >>> dated = Claim("k", "w", "s", "d1/1", "d1/1.1", "f", issued_ms=70)
    >>> earliest_prior_claim_ms(dated, 90, rules)
    65
    >>> earliest_prior_claim_ms(dated._replace(issued_ms=0), 90, rules)
    -910
    """
    if claim.issued_ms:
        return claim.issued_ms - rules.skew_ms
    return time_ms - rules.claim_keep_ms


def judge(
    claim: Claim,
    time_ms: int,
    holder: Holder | None,
    complete_since_ms: int,
    rules: ClaimRules,
) -> Verdict:
    """Return the verdict on a claim read at time_ms of the log.

    holder is the key's current holder. All records later than
    complete_since_ms have been read; UNJUDGED means that an earlier claim of
    the key may be among the unread ones.
    """
    if is_out_of_date(claim, time_ms, rules):
        return Verdict.EXPIRED
    if holder is not None:
        if holder.fingerprint != claim.fingerprint:
            return Verdict.CONFLICT
        return Verdict.DUPLICATE
    if complete_since_ms >= earliest_prior_claim_ms(claim, time_ms, rules):
        return Verdict.UNJUDGED
    return Verdict.GRANTED


def parse_ran(text: str) -> Ran:
    """Parse the ran value of an outcome; other texts give UNKNOWN.

    >>> parse_ran("yes"), parse_ran("perhaps")
    (<Ran.YES: 'yes'>, <Ran.UNKNOWN: 'unknown'>)
    """
    try:
        return Ran(text)
    except ValueError:
        return Ran.UNKNOWN


def make_time_marker() -> Release:
    """Build a record without effect, appended to advance log time."""
    return Release("", "")


class ClaimLedger:
    """Hold the keys claimed within the last claim_keep_ms of log time.

    complete_since_ms is the log time after which every record has been read.
    It is LOG_START_MS for a stream read from its first record, and None for
    a truncated stream until its first retained record has been read.
    """

    def __init__(
        self,
        rules: ClaimRules,
        complete_since_ms: int | None = LOG_START_MS,
    ) -> None:
        self.rules = rules
        self.complete_since_ms = complete_since_ms
        self.log_time_ms = 0
        self.holders: dict[str, Holder] = {}
        self.expiries: dict[int, list[str]] = {}
        self.order = ClaimOrder()

    def holder(self, key_digest: str) -> Holder | None:
        """Return the claim that holds a key, None if there is none."""
        holder = self.holders.get(key_digest)
        if holder is None or holder.expires_ms < self.log_time_ms:
            return None
        return holder

    def judge_now(self, claim: Claim) -> Verdict:
        """Return the verdict on a claim at the newest log time."""
        covered_ms = self.complete_since_ms
        if covered_ms is None:
            return Verdict.UNJUDGED
        return judge(
            claim,
            self.log_time_ms,
            self.holder(claim.key_digest),
            covered_ms,
            self.rules,
        )

    def fold(self, entry: LogEntry) -> Judgement | None:
        """Apply the next entry; returns a judgement if it is a claim.

        An unreadable entry may be the first claim of any key, so no record
        before it counts as read any longer.
        """
        if self.complete_since_ms is None or entry.record is None:
            self.complete_since_ms = entry.time_ms
        self._advance_time(entry.time_ms)
        return self._apply(entry.record)

    @singledispatchmethod
    def _apply(self, record: object) -> Judgement | None:
        return None

    @_apply.register
    def _(self, record: Claim) -> Judgement:
        verdict = self.judge_now(record)
        if verdict in (Verdict.GRANTED, Verdict.UNJUDGED):
            self._record_holder(record)
        return Judgement(verdict, self.holder(record.key_digest))

    @_apply.register
    def _(self, record: Outcome) -> None:
        holder = self.holder(record.key_digest)
        if holder is None or holder.claim_id != record.claim_id:
            return
        self.order.remove(record.claim_id)
        self.holders[record.key_digest] = holder._replace(
            ran=parse_ran(record.ran), code=record.code
        )

    @_apply.register
    def _(self, record: Release) -> None:
        holder = self.holder(record.key_digest)
        if holder is not None and holder.claim_id == record.claim_id:
            self.order.remove(record.claim_id)
            del self.holders[record.key_digest]

    def _record_holder(self, claim: Claim) -> None:
        expired_holder = self.holders.get(claim.key_digest)
        if expired_holder is not None:
            self.order.remove(expired_holder.claim_id)
        expires_ms = expiry_ms(claim, self.log_time_ms, self.rules)
        self.holders[claim.key_digest] = Holder(
            claim.claim_id,
            sys.intern(claim.claimant),
            claim.fingerprint,
            expires_ms,
            sys.intern(claim.workspace),
        )
        if claim.ordering_digest:
            ordered = OrderedClaim(
                claim.ordering_digest,
                claim.claim_id,
                claim.claimant,
                claim.key_digest,
                claim.workspace,
            )
            self.order.add(ordered)
        bucket = expires_ms // EXPIRY_BUCKET_MS
        self.expiries.setdefault(bucket, []).append(claim.key_digest)

    def _advance_time(self, time_ms: int) -> None:
        if time_ms <= self.log_time_ms:
            return
        last_bucket = self.log_time_ms // EXPIRY_BUCKET_MS
        self.log_time_ms = time_ms
        current = time_ms // EXPIRY_BUCKET_MS
        if current == last_bucket:
            return
        for bucket in [old for old in self.expiries if old < current]:
            self._evict_expired(self.expiries.pop(bucket))

    def _evict_expired(self, key_digests: list[str]) -> None:
        for key in key_digests:
            holder = self.holders.get(key)
            if holder is not None and holder.expires_ms < self.log_time_ms:
                self.order.remove(holder.claim_id)
                del self.holders[key]
