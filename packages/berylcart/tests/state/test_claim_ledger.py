"""Check that the first claim in log order wins and expiry is safe."""

from berylcart.state.claim_ledger import ClaimLedger, ClaimRules, Verdict
from berylcart.state.errors import Ran
from berylcart.state.records import Claim, LogEntry, Outcome, Release

RULES = ClaimRules(claim_keep_ms=1000, skew_ms=10)


def claim(name, key="k", body="f", issued_ms=0):
    return Claim(
        key, "w", "booking", f"{name}/1", f"{name}/1.1", body, issued_ms
    )


def fold(ledger, *timed):
    """Fold records at their times and return the verdicts on claims."""
    judged = [
        ledger.fold(LogEntry(offset, time_ms, record))
        for offset, (time_ms, record) in enumerate(timed)
    ]
    return [each.verdict for each in judged if each is not None]


def test_first_claim_wins_once():
    ledger = ClaimLedger(RULES)
    verdicts = fold(ledger, (1, claim("a")), (2, claim("b")), (3, claim("a")))
    assert verdicts == [Verdict.GRANTED, Verdict.DUPLICATE, Verdict.DUPLICATE]


def test_other_body_conflicts():
    ledger = ClaimLedger(RULES)
    verdicts = fold(ledger, (1, claim("a")), (2, claim("b", body="g")))
    assert verdicts[1] is Verdict.CONFLICT


def test_only_the_holder_releases():
    ledger = ClaimLedger(RULES)
    fold(ledger, (1, claim("a")), (2, Release("k", "b/1.1")))
    assert ledger.holder("k").claimant == "a/1"
    fold(ledger, (3, Release("k", "a/1.1")))
    assert fold(ledger, (4, claim("b"))) == [Verdict.GRANTED]


def test_only_the_holder_records_an_outcome():
    ledger = ClaimLedger(RULES)
    fold(ledger, (1, claim("a")), (2, Outcome("k", "b/1.1", "yes", 1, "d")))
    assert ledger.holder("k").ran is None
    fold(ledger, (3, Outcome("k", "a/1.1", "yes", 0, "d")))
    assert ledger.holder("k").ran == "yes"


def test_outcome_in_unknown_words_says_nothing():
    ledger = ClaimLedger(RULES)
    fold(ledger, (1, claim("a")), (2, Outcome("k", "a/1.1", "so", 0, "d")))
    assert ledger.holder("k").ran is Ran.UNKNOWN


def test_dated_key_is_never_granted_after_it_is_forgotten():
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


def test_key_dated_in_the_future_is_refused():
    assert fold(ClaimLedger(RULES), (1, claim("a", issued_ms=12))) == [
        Verdict.EXPIRED
    ]


def test_late_reader_judges_only_what_it_has_read():
    late = ClaimLedger(RULES, covered_since_ms=None)
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


def test_unreadable_record_may_have_been_any_claim():
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


def test_forgotten_keys_hold_no_memory():
    ledger = ClaimLedger(RULES)
    for n in range(1000):
        ledger.fold(LogEntry(n, n * 1000, claim("a", key=f"k{n}")))
    assert len(ledger.holders) < 100
    assert len(ledger.expiries) < 3
