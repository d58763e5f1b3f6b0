"""Define a claim's settings, its results and its errors."""

from typing import NamedTuple

from berylcart.coordination.claims.answers import StoredAnswer
from berylcart.coordination.claims.batch import BatchSettings
from berylcart.state.claim_ledger import ClaimRules, Verdict
from berylcart.state.errors import BerylcartError, Code, Ran


class ClaimSettings(NamedTuple):
    """Bound claims, their answers and the waits of a claimant."""

    rules: ClaimRules = ClaimRules()
    batch: BatchSettings = BatchSettings()
    claim_timeout_ms: int = 2000
    collect_wait_ms: int = 500
    answer_keep_s: float = 900
    answer_bytes: int = 64 * 1024 * 1024


class Granted(NamedTuple):
    """Allow the caller to run the request once, then finish or release."""

    claim_id: str


class Found(NamedTuple):
    """Give what an earlier send led to; no answer if it is kept no more."""

    ran: Ran
    code: int
    answer: StoredAnswer | None


def unavailable(retry_after_ms: int) -> BerylcartError:
    """Make the error of a send that was not run for want of the log."""
    return BerylcartError(
        Code.CLAIMS_UNAVAILABLE,
        "the log did not confirm a claim",
        retry_after_ms=retry_after_ms,
    )


def check_verdict(verdict: Verdict, retry_after_ms: int) -> None:
    """Raise the error of a claim that can neither run nor be followed."""
    if verdict is Verdict.CONFLICT:
        raise BerylcartError(Code.KEY_CONFLICT, "the key has another body")
    if verdict is Verdict.EXPIRED:
        raise BerylcartError(
            Code.KEY_EXPIRED, "the key is out of date", ran=Ran.UNKNOWN
        )
    if verdict is Verdict.UNJUDGED:
        raise unavailable(retry_after_ms)


def found(ran: Ran, code: int, answer: StoredAnswer | None) -> Found:
    """Give an earlier send's end; raises OUTCOME_UNKNOWN if nobody saw it."""
    if ran is Ran.UNKNOWN:
        raise BerylcartError(
            Code.OUTCOME_UNKNOWN,
            "an earlier send of the key may have run",
            ran=Ran.UNKNOWN,
        )
    return Found(ran, code, answer)


def still_running() -> BerylcartError:
    """Make the error of a send that outwaited the send before it."""
    return BerylcartError(
        Code.DEADLINE_EXCEEDED,
        "an earlier send of the key is still running",
        ran=Ran.UNKNOWN,
    )
