"""Divide what a cold replica takes a second among a few daemons.

The load is requests of hundreds of daemons for a replica that has just
started. The bound holds over all of them, in touch with one another or not.
"""

from typing import NamedTuple

# Each part of a divided network may choose senders of its own, where its
# daemons started after the division and never saw the others.
PARTS = 2
# The bound is on what arrives in a second. A request that waits for its
# connection, 0.4 s at most, arrives together with later ones.
ARRIVAL_S = 1.4
# What all senders of one part keep up together, as a share of what the
# replica takes; the rest of the bound is left for what goes at once.
RATE_SHARE = 0.5
# A request needs a whole token; more at once would leave fewer senders.
TOKENS_AT_ONCE = 1.0
MAX_SENDERS = 64


class ColdBounds(NamedTuple):
    """Bound what may reach a cold replica in any one second.

    That is overshoot times the requests a second that it takes, and slack.
    """

    overshoot: float = 1.5
    slack: float = 5.0


class Share(NamedTuple):
    """Say how many daemons send, and how much each of them may."""

    senders: int
    rate_per_s: float
    most: float


def cold_share(per_s: float, bounds: ColdBounds) -> Share:
    """Divide what a cold replica takes; no sender where that is too little.

    It depends on no number of daemons: one that knows few takes no more.

    >>> cold_share(5.9, ColdBounds())
    Share(senders=2, rate_per_s=1.475, most=1.0)
    >>> cold_share(0.5, ColdBounds(1.0, 0.5)).senders
    0
    """
    allowed = (bounds.overshoot * per_s + bounds.slack) / PARTS
    rate = min(RATE_SHARE * per_s, (allowed - TOKENS_AT_ONCE) / ARRIVAL_S)
    if rate <= 0:
        return Share(0, 0.0, 0.0)
    spare = int((allowed - rate * ARRIVAL_S) / TOKENS_AT_ONCE)
    senders = max(1, min(MAX_SENDERS, spare))
    return Share(senders, rate / senders, TOKENS_AT_ONCE)


def sole_share(per_s: float, bounds: ColdBounds) -> Share:
    """Give the share of a daemon that sends alone.

    >>> sole_share(5.9, ColdBounds())
    Share(senders=1, rate_per_s=2.95, most=2.0)
    """
    share = cold_share(per_s, bounds)
    if not share.senders:
        return share
    rate_per_s = share.senders * share.rate_per_s
    return Share(1, rate_per_s, share.senders * share.most)
