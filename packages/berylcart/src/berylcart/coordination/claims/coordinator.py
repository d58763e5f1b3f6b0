"""Execute each non-idempotent request at most once, by claims in the log."""

import random
from collections.abc import Awaitable, Callable

import anyio

from berylcart.coordination.claims.answers import (
    CollectResult,
    CollectState,
    StoredAnswer,
)
from berylcart.coordination.claims.earlier_claims import (
    wait_for_earlier_claims,
)
from berylcart.coordination.claims.local_claims import LocalClaims
from berylcart.coordination.claims.reader import ClaimReader
from berylcart.coordination.claims.results import (
    ClaimSettings,
    Granted,
    PriorResult,
    claim_still_running,
    claims_unavailable,
    prior_result,
    raise_for_verdict,
)
from berylcart.coordination.ports import Log
from berylcart.state.claim_keys import (
    fingerprint,
    hash_ordering_key,
    issue_key,
    parse_key,
)
from berylcart.state.claim_ledger import (
    ClaimLedger,
    Holder,
    Verdict,
    make_time_marker,
)
from berylcart.state.claim_order import OrderedClaim
from berylcart.state.errors import BerylcartError, Ran
from berylcart.state.records import Claim

MS_PER_S = 1000
TIME_MARKS_PER_RETENTION = 8
FOLLOW_POLL_INTERVAL_S = 0.01

CollectFrom = Callable[[str, str, str, str], Awaitable[CollectResult]]


class ClaimCoordinator:
    """Claim requests in the log and track their answers; run() in a task.

    collect_from(claimant, key_digest, claim_id, workspace) collects the
    answer from the daemon whose id and incarnation form the claimant. It
    raises BerylcartError when that daemon is unreachable.
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
        self.local = LocalClaims(log, self.claimant, self.settings)
        self.reader = ClaimReader(
            log, self.settings.rules, self.local.on_entry
        )

    @property
    def ledger(self) -> ClaimLedger:
        """Return the ledger, up to the last record read."""
        return self.reader.ledger

    async def run(self) -> None:
        """Read the claim stream and append claim records until cancelled."""
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self.reader.run)
            tasks.start_soon(self.local.batch.run)
            tasks.start_soon(self._append_time_marks)

    async def flush(self) -> None:
        """Wait until all outcomes and releases are appended to the log."""
        await self.local.batch.flush()

    def issue_key(self) -> str:
        """Issue an idempotency key with a timestamp of the log's clock."""
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
    ) -> Granted | PriorResult:
        """Claim a request, or return the result of an earlier send.

        Granted claims with the same ordering key run in log order. Raises
        BerylcartError with the code KEY_CONFLICT, KEY_EXPIRED,
        CLAIMS_UNAVAILABLE, OUTCOME_UNKNOWN or DEADLINE_EXCEEDED.
        """
        parsed_key = parse_key(key, workspace, service, stage)
        candidate = Claim(
            key_digest=parsed_key.digest,
            workspace=workspace,
            service=service,
            claimant=self.claimant,
            claim_id="",
            fingerprint=fingerprint(body),
            issued_ms=parsed_key.issued_ms,
            ordering_digest=hash_ordering_key(workspace, ordering_key),
        )
        wait_ms = timeout_ms or self.settings.claim_timeout_ms
        deadline = anyio.current_time() + wait_ms / MS_PER_S
        while True:
            result = await self._claim_or_follow(candidate, deadline)
            if result is not None:
                return result

    def finish(self, claim_id: str, answer: StoredAnswer) -> None:
        """Cache the answer to a granted claim and append its outcome."""
        self.local.finish(claim_id, answer)

    def release(self, claim_id: str) -> None:
        """Release a granted claim that is known not to have run."""
        self.local.release(claim_id)

    async def collect(self, key_digest: str, claim_id: str) -> CollectResult:
        """Return the state of a claim of this daemon, for another daemon."""
        return await self.local.collect(key_digest, claim_id)

    async def _claim_or_follow(
        self, candidate: Claim, deadline: float
    ) -> Granted | PriorResult | None:
        """Claim the key or follow its holder; None if the key was released."""
        holder = self.ledger.holder(candidate.key_digest)
        if holder is None:
            self._check_before_claiming(candidate)
            claim = self.local.assign_id(candidate)
            judgement = await self.local.append(claim, deadline)
            if judgement.verdict is Verdict.GRANTED:
                await self._wait_for_earlier_claims(claim, deadline)
                return Granted(claim.claim_id)
            raise_for_verdict(
                judgement.verdict, self.settings.batch.outage_backoff_ms
            )
            holder = judgement.holder
        if holder is None:
            return None
        if holder.fingerprint != candidate.fingerprint:
            raise_for_verdict(Verdict.CONFLICT, 0)
        return await self._follow(candidate.key_digest, holder, deadline)

    async def _wait_for_earlier_claims(
        self, claim: Claim, deadline: float
    ) -> None:
        """Wait for earlier claims of the ordering key; release on failure."""
        if not claim.ordering_digest:
            return
        try:
            await wait_for_earlier_claims(
                claim, lambda: self.ledger, self._collect_earlier, deadline
            )
        except BaseException:
            self.release(claim.claim_id)
            raise

    def _check_before_claiming(self, candidate: Claim) -> None:
        """Raise for a claim that the current ledger would refuse anyway."""
        backoff_ms = self.local.batch.unavailable_ms()
        if backoff_ms:
            raise claims_unavailable(backoff_ms)
        if self.ledger.complete_since_ms is not None:
            verdict = self.ledger.judge_now(candidate)
            raise_for_verdict(verdict, self.settings.batch.outage_backoff_ms)

    async def _follow(
        self, key_digest: str, holder: Holder, deadline: float
    ) -> PriorResult | None:
        """Poll the holder for its answer; None if the key is released."""
        while self._current_holder(key_digest, holder) is not None:
            collected = await self._collect(key_digest, holder, deadline)
            answer = collected.answer
            if answer is not None:
                return prior_result(answer.ran, answer.code, answer)
            if collected.state is CollectState.UNKNOWN:
                return self._recorded_result(key_digest, holder)
            await anyio.sleep(FOLLOW_POLL_INTERVAL_S)
        return None

    def _current_holder(
        self, key_digest: str, holder: Holder
    ) -> Holder | None:
        """Return the holder's current entry, None if it lost the key."""
        current = self.ledger.holder(key_digest)
        if current is None or current.claim_id != holder.claim_id:
            return None
        return current

    def _recorded_result(
        self, key_digest: str, holder: Holder
    ) -> PriorResult | None:
        """Return the outcome in the log of a claim whose answer is lost."""
        current = self._current_holder(key_digest, holder)
        if current is None:
            return None
        return prior_result(current.ran or Ran.UNKNOWN, current.code, None)

    async def _collect(
        self, key_digest: str, holder: Holder, deadline: float
    ) -> CollectResult:
        if anyio.current_time() >= deadline:
            raise claim_still_running()
        return await self._collect_from_claimant(
            holder.claimant, key_digest, holder.claim_id, holder.workspace
        )

    async def _collect_earlier(self, earlier: OrderedClaim) -> CollectResult:
        return await self._collect_from_claimant(
            earlier.claimant,
            earlier.key_digest,
            earlier.claim_id,
            earlier.workspace,
        )

    async def _collect_from_claimant(
        self, claimant: str, key_digest: str, claim_id: str, workspace: str
    ) -> CollectResult:
        """Collect a claim's state, UNKNOWN if its claimant is unreachable."""
        if claimant == self.claimant:
            return await self.collect(key_digest, claim_id)
        wait_s = 2 * self.settings.collect_wait_ms / MS_PER_S
        try:
            with anyio.fail_after(wait_s):
                return await self.collect_from(
                    claimant, key_digest, claim_id, workspace
                )
        except (BerylcartError, TimeoutError):
            return CollectResult(CollectState.UNKNOWN)

    async def _append_time_marks(self) -> None:
        """Append time marks to an idle stream.

        A reader of a shortened stream covers it only from the first retained
        record on, so the stream must contain records while no claims arrive.
        """
        interval_s = (
            self.settings.rules.claim_keep_ms
            / TIME_MARKS_PER_RETENTION
            / MS_PER_S
        )
        jitter = random.Random(self.claimant)
        while True:
            last_log_time_ms = self.ledger.log_time_ms
            await anyio.sleep(interval_s * jitter.uniform(0.5, 1))
            is_idle = self.ledger.log_time_ms == last_log_time_ms
            if is_idle and not self.local.batch.unavailable_ms():
                self.local.batch.submit(make_time_marker())
