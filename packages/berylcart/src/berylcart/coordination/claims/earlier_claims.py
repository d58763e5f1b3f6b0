"""Delay a claim until earlier claims of its ordering key are settled."""

from collections.abc import Awaitable, Callable

import anyio

from berylcart.coordination.claims.answers import CollectResult, CollectState
from berylcart.coordination.claims.results import claim_still_running
from berylcart.state.claim_ledger import ClaimLedger
from berylcart.state.claim_order import OrderedClaim
from berylcart.state.errors import Ran
from berylcart.state.records import Claim

POLL_INTERVAL_S = 0.01

CollectClaim = Callable[[OrderedClaim], Awaitable[CollectResult]]


async def wait_for_earlier_claims(
    claim: Claim,
    ledger: Callable[[], ClaimLedger],
    collect: CollectClaim,
    deadline: float,
) -> None:
    """Wait until every earlier claim of the ordering key is settled.

    The claim of a claimant that is unreachable, or no longer knows it, counts
    as settled. Raises DEADLINE_EXCEEDED with ran=no.
    """
    while True:
        earlier = ledger().order.predecessor(
            claim.ordering_digest, claim.claim_id
        )
        if earlier is None:
            return
        if anyio.current_time() >= deadline:
            error = claim_still_running()
            error.ran = Ran.NO
            raise error
        collected = await collect(earlier)
        if collected.state is not CollectState.PENDING:
            ledger().order.remove(earlier.claim_id)
        await anyio.sleep(POLL_INTERVAL_S)
