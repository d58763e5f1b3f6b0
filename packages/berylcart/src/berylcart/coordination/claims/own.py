"""Track this daemon's own claims from their append to their end."""

import secrets
from enum import StrEnum

import anyio
from cachetools import TTLCache

from berylcart import events
from berylcart.coordination.claims.answers import (
    AnswerStore,
    Collected,
    CollectState,
    StoredAnswer,
)
from berylcart.coordination.claims.batch import Appended, ClaimBatch
from berylcart.coordination.claims.results import ClaimSettings, unavailable
from berylcart.coordination.ports import Log
from berylcart.state.claim_keys import fingerprint
from berylcart.state.claim_ledger import Judgement, Verdict
from berylcart.state.errors import BerylcartError
from berylcart.state.records import Claim, LogEntry, Outcome, Release

MS_PER_S = 1000
MAX_ABANDONED = 100_000
SESSION_BYTES = 6


class Phase(StrEnum):
    """Say how far one of this daemon's own claims has come."""

    CLAIMING = "claiming"
    RUNNING = "running"
    RELEASING = "releasing"


class Live:
    """Hold one of this daemon's own claims until it is settled."""

    def __init__(self, key_digest: str, phase: Phase) -> None:
        self.key_digest = key_digest
        self.phase = phase
        self.judgement: Judgement | None = None
        self.error: BerylcartError | None = None
        self.judged = anyio.Event()
        self.settled = anyio.Event()


class OwnClaims:
    """Append, finish and release claims under ids of this process alone.

    A claim that nobody waits for when it is read back is released, since
    its sender was told that it did not run.
    """

    def __init__(
        self, log: Log, claimant: str, settings: ClaimSettings
    ) -> None:
        self.claimant = claimant
        self.session = f"{claimant}.{secrets.token_hex(SESSION_BYTES)}"
        self.settings = settings
        self.batch = ClaimBatch(log, settings.batch, self._on_append)
        self.answers = AnswerStore(
            settings.answer_keep_s, settings.answer_bytes
        )
        self.live: dict[str, Live] = {}
        self.abandoned: TTLCache[str, str] = TTLCache(
            MAX_ABANDONED, settings.answer_keep_s, timer=anyio.current_time
        )
        self.count = 0

    def name(self, draft: Claim) -> Claim:
        """Give a claim an id that no other claim has."""
        self.count += 1
        return draft._replace(
            claimant=self.claimant, claim_id=f"{self.session}.{self.count}"
        )

    async def append(self, claim: Claim, deadline: float) -> Judgement:
        """Append a claim and wait until it is read back and judged.

        Raises CLAIMS_UNAVAILABLE when it will never run. The deadline is a
        time of the runtime's clock in seconds.
        """
        live = Live(claim.key_digest, Phase.CLAIMING)
        self.live[claim.claim_id] = live
        self.batch.submit(claim)
        try:
            with anyio.CancelScope(deadline=deadline):
                await live.judged.wait()
            if live.error is not None:
                raise live.error
            if live.judgement is None:
                raise unavailable(self.batch.down_ms() or 1)
            if live.judgement.verdict is Verdict.GRANTED:
                live.phase = Phase.RUNNING
            return live.judgement
        finally:
            if live.phase is not Phase.RUNNING:
                self._give_up(claim, live)

    def finish(self, claim_id: str, answer: StoredAnswer) -> None:
        """Keep the answer to a granted claim and record its outcome."""
        live = self.live.pop(claim_id)
        self.answers.keep(live.key_digest, claim_id, answer)
        live.settled.set()
        outcome = Outcome(
            live.key_digest,
            claim_id,
            answer.ran,
            answer.code,
            fingerprint(answer.body),
        )
        self.batch.submit(outcome)

    def release(self, claim_id: str) -> None:
        """Give up a granted claim that certainly reached no upstream."""
        live = self.live[claim_id]
        live.phase = Phase.RELEASING
        self.batch.submit(Release(live.key_digest, claim_id))

    async def collect(self, key_digest: str, claim_id: str) -> Collected:
        """Say what became of a claim, waiting a while for its answer."""
        live = self.live.get(claim_id)
        if live is not None and live.key_digest == key_digest:
            with anyio.move_on_after(self.settings.collect_wait_ms / MS_PER_S):
                await live.settled.wait()
        answer = self.answers.find(key_digest, claim_id)
        if answer is not None:
            return Collected(CollectState.ANSWERED, answer)
        if claim_id in self.live or claim_id in self.abandoned:
            return Collected(CollectState.PENDING)
        return Collected(CollectState.UNKNOWN)

    def on_entry(self, entry: LogEntry, judgement: Judgement | None) -> None:
        """Note a record that was read back."""
        record = entry.record
        if isinstance(record, Release):
            self._on_release(record)
        elif isinstance(record, Claim) and self._is_own(record):
            self._on_claim(record, judgement)

    def _is_own(self, claim: Claim) -> bool:
        return claim.claim_id.startswith(f"{self.session}.")

    def _on_claim(self, claim: Claim, judgement: Judgement | None) -> None:
        live = self.live.get(claim.claim_id)
        if judgement is None:
            return
        if live is None:
            self._on_abandoned(claim, judgement)
        elif live.judgement is None:
            live.judgement = judgement
            live.judged.set()

    def _on_release(self, record: Release) -> None:
        live = self.live.get(record.claim_id)
        if live is not None and live.phase is Phase.RELEASING:
            del self.live[record.claim_id]
            live.settled.set()

    def _on_abandoned(self, claim: Claim, judgement: Judgement) -> None:
        """Release a claim that reached the log after its sender left.

        A second copy of a claim that ran is judged a duplicate of it.
        """
        self.abandoned.pop(claim.claim_id, None)
        if judgement.verdict in (Verdict.GRANTED, Verdict.UNJUDGED):
            events.info("claims.release_abandoned", claim_id=claim.claim_id)
            self.live[claim.claim_id] = Live(claim.key_digest, Phase.RELEASING)
            self.release(claim.claim_id)

    def _on_append(self, claim: Claim, result: Appended) -> None:
        live = self.live.get(claim.claim_id)
        if live is not None and result is Appended.REFUSED:
            live.error = unavailable(self.batch.down_ms() or 1)
            live.judged.set()

    def _give_up(self, claim: Claim, live: Live) -> None:
        """Make sure that a claim which nobody waits for never runs."""
        judgement = live.judgement
        if judgement is not None and judgement.verdict in (
            Verdict.GRANTED,
            Verdict.UNJUDGED,
        ):
            self.release(claim.claim_id)
            return
        del self.live[claim.claim_id]
        live.settled.set()
        if judgement is not None or live.error is not None:
            return
        if not self.batch.withdraw(claim):
            self.abandoned[claim.claim_id] = claim.key_digest
