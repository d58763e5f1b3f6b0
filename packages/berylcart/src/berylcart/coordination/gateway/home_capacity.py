"""Rate how much of a service's shared queue a daemon can handle.

The home daemon of a service receives all orders of the fleet for it: about
100 bytes of messages for each piece, and the CPU time to schedule it.
"""

from collections.abc import Sequence

from berylcart.state.member_table import Member

PERMILLE = 1000
# Twice the CPU time for 1,500 pieces a second, messages included.
HOME_CORES = 1.0
# Twelve times the bandwidth of these messages, so that those of one call are
# sent without delay.
HOME_LINK_MBPS = 50.0
# Daemons with at minimum this share of the highest capacity are eligible.
MIN_CAPACITY_SHARE = 0.5


def capacity_permille(cores: float, link_mbps: float) -> int:
    """Rate a daemon relative to one that can handle any service's queue.

    >>> capacity_permille(2.15, 100), capacity_permille(0.5, 5)
    (1000, 100)
    """
    share = min(1.0, cores / HOME_CORES, link_mbps / HOME_LINK_MBPS)
    return int(PERMILLE * share)


def members_with_capacity(members: Sequence[Member]) -> list[Member]:
    """Return the members whose capacity is near the highest one."""
    highest = max((each.capacity_permille for each in members), default=0)
    minimum = MIN_CAPACITY_SHARE * highest
    return [each for each in members if each.capacity_permille >= minimum]
