"""Track this daemon's claims from append to outcome or release."""

import secrets
from enum import StrEnum

import anyio
from cachetools import TTLCache

from berylcart import events
from berylcart.coordination.claims.answers import (
    AnswerCache,
    CollectResult,
    CollectState,
    StoredAnswer,
)
from berylcart.coordination.claims.appender import AppendResult, ClaimAppender
from berylcart.coordination.claims.results import (
    ClaimSettings,
    claims_unavailable,
)
from berylcart.coordination.ports import Log
from berylcart.state.claim_keys import fingerprint
from berylcart.state.claim_ledger import Judgement, Verdict
from berylcart.state.errors import BerylcartError
from berylcart.state.records import Claim, LogEntry, Outcome, Release

MS_PER_S = 1000
MAX_ABANDONED_CLAIMS = 100_000
SESSION_BYTES = 6


class Phase(StrEnum):
    """State the phase of one of this daemon's claims."""

    CLAIMING = "claiming"
    RUNNING = "running"
    RELEASING = "releasing"


class ActiveClaim:
    """Hold one of this daemon's claims until its outcome or release."""

    def __init__(self, key_digest: str, phase: Phase) -> None:
        self.key_digest = key_digest
        self.phase = phase
        self.judgement: Judgement | None = None
        self.error: BerylcartError | None = None
        self.judged = anyio.Event()
        self.settled = anyio.Event()


class LocalClaims:
    """Append, finish and release claims whose ids are unique to this process.

    A claim whose sender has stopped waiting is released when it is read back,
    since the sender was told that the request did not run.
    """

    def __init__(
        self, log: Log, claimant: str, settings: ClaimSettings
    ) -> None:
        self.claimant = claimant
        self.session = f"{claimant}.{secrets.token_hex(SESSION_BYTES)}"
        self.settings = settings
        self.batch = ClaimAppender(log, settings.batch, self._on_append)
        self.answers = AnswerCache(
            settings.answer_keep_s, settings.answer_bytes
        )
        self.active: dict[str, ActiveClaim] = {}
        self.abandoned: TTLCache[str, str] = TTLCache(
            MAX_ABANDONED_CLAIMS,
            settings.answer_keep_s,
            timer=anyio.current_time,
        )
        self.sequence_number = 0

    def assign_id(self, candidate: Claim) -> Claim:
        """Return the claim with a unique id and this claimant."""
        self.sequence_number += 1
        return candidate._replace(
            claimant=self.claimant,
            claim_id=f"{self.session}.{self.sequence_number}",
        )

    async def append(self, claim: Claim, deadline: float) -> Judgement:
        """Append a claim and wait until it is read back and judged.

        Raises CLAIMS_UNAVAILABLE when the request will certainly not run.
        The deadline is in seconds of the runtime's clock.
        """
        active = ActiveClaim(claim.key_digest, Phase.CLAIMING)
        self.active[claim.claim_id] = active
        self.batch.submit(claim)
        try:
            with anyio.CancelScope(deadline=deadline):
                await active.judged.wait()
            if active.error is not None:
                raise active.error
            if active.judgement is None:
                raise claims_unavailable(self.batch.unavailable_ms() or 1)
            if active.judgement.verdict is Verdict.GRANTED:
                active.phase = Phase.RUNNING
            return active.judgement
        finally:
            if active.phase is not Phase.RUNNING:
                self._abandon(claim, active)

    def finish(self, claim_id: str, answer: StoredAnswer) -> None:
        """Cache the answer to a granted claim and append its outcome."""
        active = self.active.pop(claim_id)
        self.answers.put(active.key_digest, claim_id, answer)
        active.settled.set()
        outcome = Outcome(
            active.key_digest,
            claim_id,
            answer.ran,
            answer.code,
            fingerprint(answer.body),
        )
        self.batch.submit(outcome)

    def release(self, claim_id: str) -> None:
        """Release a granted claim that is known not to have run."""
        active = self.active[claim_id]
        active.phase = Phase.RELEASING
        self.batch.submit(Release(active.key_digest, claim_id))

    async def collect(self, key_digest: str, claim_id: str) -> CollectResult:
        """Return a claim's state, waiting collect_wait_ms for its answer."""
        active = self.active.get(claim_id)
        if active is not None and active.key_digest == key_digest:
            with anyio.move_on_after(self.settings.collect_wait_ms / MS_PER_S):
                await active.settled.wait()
        answer = self.answers.get(key_digest, claim_id)
        if answer is not None:
            return CollectResult(CollectState.ANSWERED, answer)
        if claim_id in self.active or claim_id in self.abandoned:
            return CollectResult(CollectState.PENDING)
        return CollectResult(CollectState.UNKNOWN)

    def on_entry(self, entry: LogEntry, judgement: Judgement | None) -> None:
        """Process a record that was read from the log."""
        record = entry.record
        if isinstance(record, Release):
            self._on_release(record)
        elif isinstance(record, Claim) and self._is_own(record):
            self._on_claim(record, judgement)

    def _is_own(self, claim: Claim) -> bool:
        return claim.claim_id.startswith(f"{self.session}.")

    def _on_claim(self, claim: Claim, judgement: Judgement | None) -> None:
        active = self.active.get(claim.claim_id)
        if judgement is None:
            return
        if active is None:
            self._on_abandoned(claim, judgement)
        elif active.judgement is None:
            active.judgement = judgement
            active.judged.set()

    def _on_release(self, record: Release) -> None:
        active = self.active.get(record.claim_id)
        if active is not None and active.phase is Phase.RELEASING:
            del self.active[record.claim_id]
            active.settled.set()

    def _on_abandoned(self, claim: Claim, judgement: Judgement) -> None:
        """Release a claim that reached the log after its sender gave up.

        A second copy of a claim that ran is judged a duplicate, so it is not
        released.
        """
        self.abandoned.pop(claim.claim_id, None)
        if judgement.verdict in (Verdict.GRANTED, Verdict.UNJUDGED):
            events.info("claims.release_abandoned", claim_id=claim.claim_id)
            self.active[claim.claim_id] = ActiveClaim(
                claim.key_digest, Phase.RELEASING
            )
            self.release(claim.claim_id)

    def _on_append(self, claim: Claim, result: AppendResult) -> None:
        active = self.active.get(claim.claim_id)
        if active is not None and result is AppendResult.REFUSED:
            active.error = claims_unavailable(self.batch.unavailable_ms() or 1)
            active.judged.set()

    def _abandon(self, claim: Claim, active: ActiveClaim) -> None:
        """Ensure that a claim without a waiting sender never runs."""
        judgement = active.judgement
        if judgement is not None and judgement.verdict in (
            Verdict.GRANTED,
            Verdict.UNJUDGED,
        ):
            self.release(claim.claim_id)
            return
        del self.active[claim.claim_id]
        active.settled.set()
        if judgement is not None or active.error is not None:
            return
        if not self.batch.withdraw(claim):
            self.abandoned[claim.claim_id] = claim.key_digest
