"""Let the claims of one ordering key run in the log's order."""

from collections.abc import Awaitable, Callable

import anyio

from berylcart.coordination.claims.answers import Collected, CollectState
from berylcart.coordination.claims.results import still_running
from berylcart.state.claim_ledger import ClaimLedger
from berylcart.state.claim_order import OrderedClaim
from berylcart.state.errors import Ran
from berylcart.state.records import Claim

TURN_PAUSE_S = 0.01

CollectClaim = Callable[[OrderedClaim], Awaitable[Collected]]


async def wait_turn(
    claim: Claim,
    ledger: Callable[[], ClaimLedger],
    collect: CollectClaim,
    deadline: float,
) -> None:
    """Wait until every earlier claim of the ordering key is settled.

    A claimant that can't be reached or does not know its claim is gone, and
    its claim is passed over. Raises DEADLINE_EXCEEDED, ran no.
    """
    while True:
        earlier = ledger().order.predecessor(
            claim.ordering_digest, claim.claim_id
        )
        if earlier is None:
            return
        if anyio.current_time() >= deadline:
            error = still_running()
            error.ran = Ran.NO
            raise error
        collected = await collect(earlier)
        if collected.state is not CollectState.PENDING:
            ledger().order.settle(earlier.claim_id)
        await anyio.sleep(TURN_PAUSE_S)
