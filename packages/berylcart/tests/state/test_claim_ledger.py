"""Test that the first claim in log order wins and that expiry is safe."""

from berylcart.state.claim_ledger import ClaimLedger, ClaimRules, Verdict
from berylcart.state.errors import Ran
from berylcart.state.records import Claim, LogEntry, Outcome, Release

RULES = ClaimRules(claim_keep_ms=1000, skew_ms=10)


def claim(name, key="k", body="f", issued_ms=0):
    return Claim(
        key, "w", "booking", f"{name}/1", f"{name}/1.1", body, issued_ms
    )


def fold(ledger, *timed_records):
    """Fold (time, record) pairs and return the verdicts on claims."""
    judged = [
        ledger.fold(LogEntry(offset, time_ms, record))
        for offset, (time_ms, record) in enumerate(timed_records)
    ]
    return [each.verdict for each in judged if each is not None]


def test_first_claim_wins_once():
    ledger = ClaimLedger(RULES)
    verdicts = fold(ledger, (1, claim("a")), (2, claim("b")), (3, claim("a")))
    assert verdicts == [Verdict.GRANTED, Verdict.DUPLICATE, Verdict.DUPLICATE]


def test_claim_with_another_body_conflicts():
    ledger = ClaimLedger(RULES)
    verdicts = fold(ledger, (1, claim("a")), (2, claim("b", body="g")))
    assert verdicts[1] is Verdict.CONFLICT


def test_only_the_holder_can_release_a_key():
    ledger = ClaimLedger(RULES)
    fold(ledger, (1, claim("a")), (2, Release("k", "b/1.1")))
    assert ledger.holder("k").claimant == "a/1"
    fold(ledger, (3, Release("k", "a/1.1")))
    assert fold(ledger, (4, claim("b"))) == [Verdict.GRANTED]


def test_only_the_holder_can_record_an_outcome():
    ledger = ClaimLedger(RULES)
    fold(ledger, (1, claim("a")), (2, Outcome("k", "b/1.1", "yes", 1, "d")))
    assert ledger.holder("k").ran is None
    fold(ledger, (3, Outcome("k", "a/1.1", "yes", 0, "d")))
    assert ledger.holder("k").ran == "yes"


def test_unrecognized_outcome_is_read_as_unknown():
    ledger = ClaimLedger(RULES)
    fold(ledger, (1, claim("a")), (2, Outcome("k", "a/1.1", "so", 0, "d")))
    assert ledger.holder("k").ran is Ran.UNKNOWN


def test_dated_key_is_not_granted_after_its_eviction():
    ledger = ClaimLedger(RULES)
    first = claim("a", issued_ms=50)
    second = claim("b", issued_ms=50)
    verdicts = fold(
        ledger, (60, first), (1050, second), (1051, second), (99_999, second)
    )
    assert verdicts == [
        Verdict.GRANTED,
        Verdict.DUPLICATE,
        Verdict.EXPIRED,
        Verdict.EXPIRED,
    ]


def test_key_issued_in_the_future_is_rejected():
    assert fold(ClaimLedger(RULES), (1, claim("a", issued_ms=12))) == [
        Verdict.EXPIRED
    ]


def test_reader_of_a_truncated_stream_grants_only_provably_first_claims():
    late = ClaimLedger(RULES, complete_since_ms=None)
    assert late.judge_now(claim("a")) is Verdict.UNJUDGED
    verdicts = fold(
        late,
        (500, claim("a", key="plain")),
        (600, claim("a", key="old", issued_ms=505)),
        (600, claim("a", key="new", issued_ms=520)),
        (1600, claim("a", key="later")),
    )
    assert verdicts == [
        Verdict.UNJUDGED,
        Verdict.UNJUDGED,
        Verdict.GRANTED,
        Verdict.GRANTED,
    ]


def test_claims_that_an_unreadable_record_may_precede_are_not_granted():
    ledger = ClaimLedger(RULES)
    fold(ledger, (100, claim("a", key="known")), (200, None))
    verdicts = fold(
        ledger,
        (300, claim("b", key="known")),
        (300, claim("b", key="plain")),
        (300, claim("b", key="old", issued_ms=150)),
        (300, claim("b", key="new", issued_ms=250)),
    )
    assert verdicts == [
        Verdict.DUPLICATE,
        Verdict.UNJUDGED,
        Verdict.UNJUDGED,
        Verdict.GRANTED,
    ]


def test_expired_keys_are_evicted():
    ledger = ClaimLedger(RULES)
    for n in range(1000):
        ledger.fold(LogEntry(n, n * 1000, claim("a", key=f"k{n}")))
    assert len(ledger.holders) < 100
    assert len(ledger.expiries) < 3
