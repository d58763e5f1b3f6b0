"""Define the settings, results and errors of claims."""

from typing import NamedTuple

from berylcart.coordination.claims.answers import StoredAnswer
from berylcart.coordination.claims.appender import BatchSettings
from berylcart.state.claim_ledger import ClaimRules, Verdict
from berylcart.state.errors import BerylcartError, Code, Ran


class ClaimSettings(NamedTuple):
    """Set the limits and timeouts of claims and of the answer cache."""

    rules: ClaimRules = ClaimRules()
    batch: BatchSettings = BatchSettings()
    claim_timeout_ms: int = 2000
    collect_wait_ms: int = 500
    answer_keep_s: float = 900
    answer_bytes: int = 64 * 1024 * 1024


class Granted(NamedTuple):
    """Permit the caller to run the request once, then finish or release."""

    claim_id: str


class PriorResult(NamedTuple):
    """Hold the result of an earlier send; answer is None if not cached."""

    ran: Ran
    code: int
    answer: StoredAnswer | None


def claims_unavailable(retry_after_ms: int) -> BerylcartError:
    """Build the error for a request not run because its claim failed."""
    return BerylcartError(
        Code.CLAIMS_UNAVAILABLE,
        "the log did not confirm a claim",
        retry_after_ms=retry_after_ms,
    )


def raise_for_verdict(verdict: Verdict, retry_after_ms: int) -> None:
    """Raise the error of a verdict that forbids running and following."""
    if verdict is Verdict.CONFLICT:
        raise BerylcartError(Code.KEY_CONFLICT, "the key has another body")
    if verdict is Verdict.EXPIRED:
        raise BerylcartError(
            Code.KEY_EXPIRED, "the key is out of date", ran=Ran.UNKNOWN
        )
    if verdict is Verdict.UNJUDGED:
        raise claims_unavailable(retry_after_ms)


def prior_result(
    ran: Ran, code: int, answer: StoredAnswer | None
) -> PriorResult:
    """Build an earlier send's result; raises OUTCOME_UNKNOWN if unknown."""
    if ran is Ran.UNKNOWN:
        raise BerylcartError(
            Code.OUTCOME_UNKNOWN,
            "an earlier send of the key may have run",
            ran=Ran.UNKNOWN,
        )
    return PriorResult(ran, code, answer)


def claim_still_running() -> BerylcartError:
    """Build the error for a deadline that passes before an earlier send."""
    return BerylcartError(
        Code.DEADLINE_EXCEEDED,
        "an earlier send of the key is still running",
        ran=Ran.UNKNOWN,
    )
