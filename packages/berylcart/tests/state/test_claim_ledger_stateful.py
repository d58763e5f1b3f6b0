"""Stateful test: ledgers of several daemons against a reference model."""

from berylcart.state.claim_ledger import (
    LOG_START_MS,
    ClaimLedger,
    ClaimRules,
    Verdict,
)
from berylcart.state.records import Claim, LogEntry, Release
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

RULES = ClaimRules(claim_keep_ms=100, skew_ms=5)
DAEMONS = st.integers(0, 2)
KEYS = st.integers(0, 1)


def reference_verdict(log, offset):
    """Return the verdict on a claim given all earlier records."""
    if not reference_age_is_valid(log[offset]):
        return Verdict.EXPIRED
    claim = log[offset].record
    holder = reference_holder(log[:offset], claim.key_digest)
    if holder is None:
        return Verdict.GRANTED
    if holder.fingerprint != claim.fingerprint:
        return Verdict.CONFLICT
    return Verdict.DUPLICATE


def reference_holder(entries, key_digest):
    """Return the first valid claim that was not released."""
    holder = None
    for entry in entries:
        record = entry.record
        if record.key_digest != key_digest:
            continue
        if isinstance(record, Release):
            if holder is not None and holder.claim_id == record.claim_id:
                holder = None
        elif holder is None and reference_age_is_valid(entry):
            holder = record
    return holder


def reference_age_is_valid(entry):
    """Tell whether a claim's key is neither expired nor from the future."""
    age_ms = entry.time_ms - entry.record.issued_ms
    return -RULES.skew_ms <= age_ms <= RULES.claim_keep_ms


class Daemon:
    """Hold a daemon's ledger, its read position and its claims."""

    def __init__(self, start, incarnation):
        covered_ms = LOG_START_MS if start == 0 else None
        self.ledger = ClaimLedger(RULES, covered_ms)
        self.position = start
        self.incarnation = incarnation
        self.awaited_claims = set()
        self.granted = {}


class ClaimMachine(RuleBasedStateMachine):
    """Append, read, pause, restart, expire and run in any order."""

    def __init__(self):
        super().__init__()
        self.log = []
        self.start = 0
        self.now_ms = 1000
        self.issued_ms = [1000, 1050]
        self.daemons = [Daemon(0, n) for n in range(3)]
        self.count = 3
        self.runs = {}

    def append(self, record):
        """Append a record to the log."""
        self.log.append(LogEntry(len(self.log), self.now_ms, record))

    @rule(who=DAEMONS, key=KEYS, body=st.sampled_from("ffg"))
    def claim(self, who, key, body):
        """Append a claim for a key."""
        self.count += 1
        daemon = self.daemons[who]
        claim_id = f"{daemon.incarnation}.{self.count}"
        daemon.awaited_claims.add(claim_id)
        issued_ms = self.issued_ms[key]
        self.append(Claim(f"k{key}", "w", "s", "d", claim_id, body, issued_ms))

    @rule(ms=st.sampled_from([0, 1, 30, 101]))
    def advance(self, ms):
        """Advance the log time."""
        self.now_ms += ms

    @rule(left=st.integers(0, 3))
    def expire(self, left):
        """Drop the oldest records, regardless of their age."""
        self.start = max(self.start, len(self.log) - left)

    @rule(who=DAEMONS)
    def restart(self, who):
        """Replace a daemon with a new process."""
        self.count += 1
        self.daemons[who] = Daemon(self.start, self.count)

    @rule(who=DAEMONS)
    def abandon_claims(self, who):
        """Stop waiting for claims that were not read back yet."""
        self.daemons[who].awaited_claims.clear()

    @rule(who=DAEMONS, count=st.sampled_from([1, 2, 99]))
    def read(self, who, count):
        """Read entries, from the oldest retained one after a gap."""
        daemon = self.daemons[who]
        if daemon.position < self.start:
            granted, awaited_claims = daemon.granted, daemon.awaited_claims
            daemon = Daemon(self.start, daemon.incarnation)
            daemon.granted, daemon.awaited_claims = granted, awaited_claims
            self.daemons[who] = daemon
        for _ in range(count):
            if daemon.position < len(self.log):
                self.read_one(daemon)

    def read_one(self, daemon):
        """Read one entry and record the claim if it is granted."""
        entry = self.log[daemon.position]
        daemon.position += 1
        judged = daemon.ledger.fold(entry)
        if judged is None:
            return
        if daemon.ledger.complete_since_ms == LOG_START_MS:
            assert judged.verdict == reference_verdict(self.log, entry.offset)
        claim = entry.record
        if not claim.claim_id.startswith(f"{daemon.incarnation}."):
            return
        if judged.verdict is Verdict.GRANTED and (
            claim.claim_id in daemon.awaited_claims
        ):
            daemon.granted[claim.claim_id] = claim.key_digest
        elif judged.verdict in (Verdict.GRANTED, Verdict.UNJUDGED):
            self.append(Release(claim.key_digest, claim.claim_id))

    @rule(who=DAEMONS)
    def run(self, who):
        """Run all granted claims, regardless of the delay."""
        daemon = self.daemons[who]
        for claim_id, key in daemon.granted.items():
            self.runs.setdefault(key, []).append(claim_id)
        daemon.granted.clear()

    @rule(who=DAEMONS, key=KEYS)
    def serve(self, who, key):
        """Claim a key, read it back and run it without interruption."""
        self.claim(who, key, "f")
        self.read(who, 99)
        self.run(who)

    @rule(who=DAEMONS)
    def release(self, who):
        """Release all claims that were granted and did not run."""
        daemon = self.daemons[who]
        for claim_id, key in daemon.granted.items():
            self.append(Release(key, claim_id))
        daemon.granted.clear()

    @invariant()
    def runs_at_most_once(self):
        """Check that no key ran more than once."""
        assert all(len(ids) == 1 for ids in self.runs.values()), self.runs


TestClaimMachine = ClaimMachine.TestCase
TestClaimMachine.settings = settings(
    max_examples=300,
    stateful_step_count=40,
    deadline=None,
    derandomize=True,
    database=None,
)
