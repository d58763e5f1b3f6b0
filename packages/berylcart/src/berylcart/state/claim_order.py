"""Queues of unsettled claims per ordering key, in log order."""

from typing import NamedTuple


class OrderedClaim(NamedTuple):
    """Describe a claim that later claims of its ordering key wait for."""

    ordering_digest: str
    claim_id: str
    claimant: str
    key_digest: str
    workspace: str


class ClaimOrder:
    """Queue the claims of each ordering key until they are settled.

    >>> order = ClaimOrder()
    >>> order.add(OrderedClaim("o", "c1", "d1/1", "k1", "w"))
    >>> order.add(OrderedClaim("o", "c2", "d2/1", "k2", "w"))
    >>> order.predecessor("o", "c2").claim_id
    'c1'
    >>> order.remove("c1")
    >>> order.predecessor("o", "c2") is None
    True
    """

    def __init__(self) -> None:
        self.queues: dict[str, dict[str, OrderedClaim]] = {}
        self.ordering_digests: dict[str, str] = {}

    def add(self, claim: OrderedClaim) -> None:
        """Append a claim to the queue of its ordering key."""
        queue = self.queues.setdefault(claim.ordering_digest, {})
        queue[claim.claim_id] = claim
        self.ordering_digests[claim.claim_id] = claim.ordering_digest

    def remove(self, claim_id: str) -> None:
        """Remove a claim from its queue; one not queued is ignored."""
        ordering_digest = self.ordering_digests.pop(claim_id, None)
        if ordering_digest is None:
            return
        queue = self.queues[ordering_digest]
        del queue[claim_id]
        if not queue:
            del self.queues[ordering_digest]

    def predecessor(
        self, ordering_digest: str, claim_id: str
    ) -> OrderedClaim | None:
        """Return the first claim of a queue, None if it is the given one."""
        queue = self.queues.get(ordering_digest, {})
        first = next(iter(queue.values()), None)
        if first is None or first.claim_id == claim_id:
            return None
        return first
