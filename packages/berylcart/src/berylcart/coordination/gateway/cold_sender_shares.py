"""Divide the request rate of a cold replica among a few daemons.

Hundreds of daemons may send requests to a replica that has just started. The
bound holds for all of them together, whether or not they can communicate with
one another.
"""

from typing import NamedTuple

# Each side of a network partition may choose its own senders, if its daemons
# started after the partition and never saw the others.
MAX_PARTITIONS = 2
# The bound applies to arrivals within 1 s. A request that waits for its
# connection, for at most 0.4 s, arrives together with later ones.
ARRIVAL_WINDOW_S = 1.4
# Sustained rate of all senders on one side of a partition, as a fraction of
# the replica's rate; the rest of the bound is left for bursts.
RATE_SHARE = 0.5
# Bucket size of a sender. A request needs one token; a larger bucket would
# allow fewer senders.
BURST_TOKENS = 1.0
MAX_SENDERS = 64


class ColdBounds(NamedTuple):
    """Bound the number of requests that may reach a cold replica in any 1 s.

    The bound is overshoot * (the replica's requests per second) + slack.
    """

    overshoot: float = 1.5
    slack: float = 5.0


class Share(NamedTuple):
    """A share of a replica's rate: how many daemons send, and how much.

    Each sender has a token bucket of the rate rate_per_s and the size most.
    """

    senders: int
    rate_per_s: float
    most: float


def cold_sender_share(per_s: float, bounds: ColdBounds) -> Share:
    """Divide a cold replica's rate; no senders if the bound is too small.

    The result does not depend on the number of daemons, so a daemon that knows
    only a few of them takes no larger share.

    >>> cold_sender_share(5.9, ColdBounds())
    Share(senders=2, rate_per_s=1.475, most=1.0)
    >>> cold_sender_share(0.5, ColdBounds(1.0, 0.5)).senders
    0
    """
    allowed = (bounds.overshoot * per_s + bounds.slack) / MAX_PARTITIONS
    rate = min(RATE_SHARE * per_s, (allowed - BURST_TOKENS) / ARRIVAL_WINDOW_S)
    if rate <= 0:
        return Share(0, 0.0, 0.0)
    burst_senders = int((allowed - rate * ARRIVAL_WINDOW_S) / BURST_TOKENS)
    senders = max(1, min(MAX_SENDERS, burst_senders))
    return Share(senders, rate / senders, BURST_TOKENS)


def sole_sender_share(per_s: float, bounds: ColdBounds) -> Share:
    """Return the share of a daemon that is the only sender.

    >>> sole_sender_share(5.9, ColdBounds())
    Share(senders=1, rate_per_s=2.95, most=2.0)
    """
    share = cold_sender_share(per_s, bounds)
    if not share.senders:
        return share
    rate_per_s = share.senders * share.rate_per_s
    return Share(1, rate_per_s, share.senders * share.most)
