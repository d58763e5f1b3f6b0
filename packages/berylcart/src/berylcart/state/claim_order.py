"""Order the unsettled claims of each ordering key as the log does."""

from typing import NamedTuple


class OrderedClaim(NamedTuple):
    """Describe one claim that later ones of its ordering key wait for."""

    ordering_digest: str
    claim_id: str
    claimant: str
    key_digest: str
    workspace: str


class ClaimOrder:
    """Keep the claims of each ordering key until they are settled.

    >>> order = ClaimOrder()
    >>> order.add(OrderedClaim("o", "c1", "d1/1", "k1", "w"))
    >>> order.add(OrderedClaim("o", "c2", "d2/1", "k2", "w"))
    >>> order.predecessor("o", "c2").claim_id
    'c1'
    >>> order.settle("c1")
    >>> order.predecessor("o", "c2") is None
    True
    """

    def __init__(self) -> None:
        self.lines: dict[str, dict[str, OrderedClaim]] = {}
        self.lines_of: dict[str, str] = {}

    def add(self, claim: OrderedClaim) -> None:
        """Put a claim at the end of its ordering key's line."""
        line = self.lines.setdefault(claim.ordering_digest, {})
        line[claim.claim_id] = claim
        self.lines_of[claim.claim_id] = claim.ordering_digest

    def settle(self, claim_id: str) -> None:
        """Take a claim out of its line, if it stands in one."""
        ordering_digest = self.lines_of.pop(claim_id, None)
        if ordering_digest is None:
            return
        line = self.lines[ordering_digest]
        del line[claim_id]
        if not line:
            del self.lines[ordering_digest]

    def predecessor(
        self, ordering_digest: str, claim_id: str
    ) -> OrderedClaim | None:
        """Give the first claim of a line unless it is the given one."""
        line = self.lines.get(ordering_digest, {})
        first = next(iter(line.values()), None)
        if first is None or first.claim_id == claim_id:
            return None
        return first
