"""Let each non-idempotent request run at most once, by claims on the log."""

import random
from collections.abc import Awaitable, Callable

import anyio

from berylcart.coordination.claims.answers import (
    Collected,
    CollectState,
    StoredAnswer,
)
from berylcart.coordination.claims.own import OwnClaims
from berylcart.coordination.claims.reader import ClaimReader
from berylcart.coordination.claims.results import (
    ClaimSettings,
    Found,
    Granted,
    check_verdict,
    found,
    still_running,
    unavailable,
)
from berylcart.coordination.claims.turns import wait_turn
from berylcart.coordination.ports import Log
from berylcart.state.claim_keys import (
    fingerprint,
    issue_key,
    order_digest,
    read_key,
)
from berylcart.state.claim_ledger import (
    ClaimLedger,
    Holder,
    Verdict,
    time_mark,
)
from berylcart.state.claim_order import OrderedClaim
from berylcart.state.errors import BerylcartError, Ran
from berylcart.state.records import Claim

MS_PER_S = 1000
MARKS_PER_KEEP = 8
FOLLOW_PAUSE_S = 0.01

CollectFrom = Callable[[str, str, str, str], Awaitable[Collected]]


class ClaimKeeper:
    """Claim, run and answer requests at most once; call run() in a task.

    collect_from(claimant, key_digest, claim_id, workspace) asks the daemon
    of that id and incarnation, and raises BerylcartError when it is gone.
    """

    def __init__(
        self,
        log: Log,
        daemon_id: str,
        incarnation: int,
        collect_from: CollectFrom,
        settings: ClaimSettings | None = None,
    ) -> None:
        self.settings = settings or ClaimSettings()
        self.claimant = f"{daemon_id}/{incarnation}"
        self.collect_from = collect_from
        self.own = OwnClaims(log, self.claimant, self.settings)
        self.reader = ClaimReader(log, self.settings.rules, self.own.on_entry)

    @property
    def ledger(self) -> ClaimLedger:
        """Give the ledger as far as it was read."""
        return self.reader.ledger

    async def run(self) -> None:
        """Tail the log and append until cancelled."""
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self.reader.run)
            tasks.start_soon(self.own.batch.run)
            tasks.start_soon(self._mark_time)

    async def flush(self) -> None:
        """Wait until outcomes and releases are on the log."""
        await self.own.batch.flush()

    def issue_key(self) -> str:
        """Issue an idempotency key dated by the log's own time."""
        return issue_key(self.ledger.log_time_ms)

    async def claim(
        self,
        key: str,
        workspace: str,
        service: str,
        body: bytes,
        *,
        stage: str = "",
        ordering_key: str = "",
        timeout_ms: int | None = None,
    ) -> Granted | Found:
        """Claim a request, or find what an earlier send of it led to.

        Granted claims of one ordering key run in the log's order.
        Raises KEY_CONFLICT, KEY_EXPIRED, CLAIMS_UNAVAILABLE, OUTCOME_UNKNOWN
        and DEADLINE_EXCEEDED as BerylcartError.
        """
        wanted = read_key(key, workspace, service, stage)
        draft = Claim(
            key_digest=wanted.digest,
            workspace=workspace,
            service=service,
            claimant=self.claimant,
            claim_id="",
            fingerprint=fingerprint(body),
            issued_ms=wanted.issued_ms,
            ordering_digest=order_digest(workspace, ordering_key),
        )
        wait_ms = timeout_ms or self.settings.claim_timeout_ms
        deadline = anyio.current_time() + wait_ms / MS_PER_S
        while True:
            result = await self._claim_or_follow(draft, deadline)
            if result is not None:
                return result

    def finish(self, claim_id: str, answer: StoredAnswer) -> None:
        """Keep the answer to a granted claim and record its outcome."""
        self.own.finish(claim_id, answer)

    def release(self, claim_id: str) -> None:
        """Give up a granted claim that certainly reached no upstream."""
        self.own.release(claim_id)

    async def collect(self, key_digest: str, claim_id: str) -> Collected:
        """Tell another daemon what became of one of this daemon's claims."""
        return await self.own.collect(key_digest, claim_id)

    async def _claim_or_follow(
        self, draft: Claim, deadline: float
    ) -> Granted | Found | None:
        """Take one turn; None means that the key was freed meanwhile."""
        holder = self.ledger.holder(draft.key_digest)
        if holder is None:
            self._check_before_append(draft)
            claim = self.own.name(draft)
            judgement = await self.own.append(claim, deadline)
            if judgement.verdict is Verdict.GRANTED:
                await self._wait_turn(claim, deadline)
                return Granted(claim.claim_id)
            check_verdict(judgement.verdict, self.settings.batch.down_ms)
            holder = judgement.holder
        if holder is None:
            return None
        if holder.fingerprint != draft.fingerprint:
            check_verdict(Verdict.CONFLICT, 0)
        return await self._follow(draft.key_digest, holder, deadline)

    async def _wait_turn(self, claim: Claim, deadline: float) -> None:
        """Wait for earlier claims; give the own one up on any failure."""
        if not claim.ordering_digest:
            return
        try:
            await wait_turn(
                claim, lambda: self.ledger, self._collect_earlier, deadline
            )
        except BaseException:
            self.release(claim.claim_id)
            raise

    def _check_before_append(self, draft: Claim) -> None:
        """Spare the log a claim that is refused anyway."""
        down_ms = self.own.batch.down_ms()
        if down_ms:
            raise unavailable(down_ms)
        if self.ledger.covered_since_ms is not None:
            verdict = self.ledger.judge_now(draft)
            check_verdict(verdict, self.settings.batch.down_ms)

    async def _follow(
        self, key_digest: str, holder: Holder, deadline: float
    ) -> Found | None:
        """Collect the holder's answer, until the key is freed."""
        while self._current(key_digest, holder) is not None:
            collected = await self._collect(key_digest, holder, deadline)
            answer = collected.answer
            if answer is not None:
                return found(answer.ran, answer.code, answer)
            if collected.state is CollectState.UNKNOWN:
                return self._recorded(key_digest, holder)
            await anyio.sleep(FOLLOW_PAUSE_S)
        return None

    def _current(self, key_digest: str, holder: Holder) -> Holder | None:
        """Give the holder as it is now, None if it holds the key no more."""
        current = self.ledger.holder(key_digest)
        if current is None or current.claim_id != holder.claim_id:
            return None
        return current

    def _recorded(self, key_digest: str, holder: Holder) -> Found | None:
        """Give the outcome on the log of a claim that has no answer."""
        current = self._current(key_digest, holder)
        if current is None:
            return None
        return found(current.ran or Ran.UNKNOWN, current.code, None)

    async def _collect(
        self, key_digest: str, holder: Holder, deadline: float
    ) -> Collected:
        if anyio.current_time() >= deadline:
            raise still_running()
        return await self._ask(
            holder.claimant, key_digest, holder.claim_id, holder.workspace
        )

    async def _collect_earlier(self, earlier: OrderedClaim) -> Collected:
        return await self._ask(
            earlier.claimant,
            earlier.key_digest,
            earlier.claim_id,
            earlier.workspace,
        )

    async def _ask(
        self, claimant: str, key_digest: str, claim_id: str, workspace: str
    ) -> Collected:
        """Ask a claimant, be it this daemon; a silent one knows nothing."""
        if claimant == self.claimant:
            return await self.collect(key_digest, claim_id)
        wait_s = 2 * self.settings.collect_wait_ms / MS_PER_S
        try:
            with anyio.fail_after(wait_s):
                return await self.collect_from(
                    claimant, key_digest, claim_id, workspace
                )
        except (BerylcartError, TimeoutError):
            return Collected(CollectState.UNKNOWN)

    async def _mark_time(self) -> None:
        """Show in a quiet stream how far back its records reach."""
        quiet_s = self.settings.rules.claim_keep_ms / MARKS_PER_KEEP / MS_PER_S
        jitter = random.Random(self.claimant)
        while True:
            seen_ms = self.ledger.log_time_ms
            await anyio.sleep(quiet_s * jitter.uniform(0.5, 1))
            is_quiet = self.ledger.log_time_ms == seen_ms
            if is_quiet and not self.own.batch.down_ms():
                self.own.batch.submit(time_mark())
