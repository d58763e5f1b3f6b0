"""Define the periods and limits of the membership protocol."""

import math
from typing import NamedTuple

MS_PER_S = 1000


class MembershipSettings(NamedTuple):
    """Configure failure detection and gossip.

    The suspicion timeout is suspicion_periods probe periods for up to ten
    members and grows with the logarithm of their number. miss_probability is
    the probability that at least one member misses an update; it receives the
    update by the next full-state exchange. Callers are not told to use a
    member that has been silent for contact_ms.
    """

    contact_ms: int = 3000
    probe_period_ms: int = 1000
    probe_timeout_ms: int = 400
    indirect_timeout_ms: int = 500
    max_indirect_timeout_ms: int = 5000
    indirect_probes: int = 3
    suspicion_periods: float = 4.0
    gossip_period_ms: int = 200
    idle_period_ms: int = 500
    miss_probability: float = 0.001
    exchange_period_ms: int = 60_000
    reconcile_period_ms: int = 2000
    exchange_timeout_ms: int = 2000
    retry_period_ms: int = 10_000
    dead_retention_ms: int = 3_600_000
    pause_slack_ms: int = 500
    entry_keep_ms: int = 5000
    members_per_message: int = 16
    vitals_per_message: int = 64
    marks_per_message: int = 16
    limits_per_message: int = 16
    marks_per_exchange: int = 512
    demand_per_message: int = 8
    demand_retention_ms: int = 10_000
    max_members: int = 4096
    max_marks: int = 4096


DEFAULT_SETTINGS = MembershipSettings()


def log10_scale(members: int) -> float:
    """Return the decimal logarithm of a member count, at least 1.

    >>> log10_scale(2), round(log10_scale(400), 1)
    (1.0, 2.6)
    """
    return max(1.0, math.log10(max(1, members)))


def suspicion_timeout_ms(members: int, settings: MembershipSettings) -> float:
    """Return how long a suspect can refute before it is declared dead.

    >>> suspicion_timeout_ms(7, DEFAULT_SETTINGS)
    4000.0
    """
    scale = log10_scale(members)
    return settings.suspicion_periods * scale * settings.probe_period_ms


def transmission_limit(members: int, settings: MembershipSettings) -> int:
    """Return how often each member transmits an update.

    If all members transmit an update k times, a given member misses it with a
    probability of about exp(-k), and any of n members with n times that.

    >>> transmission_limit(7, DEFAULT_SETTINGS)
    9
    >>> transmission_limit(400, DEFAULT_SETTINGS)
    13
    """
    return math.ceil(math.log(max(2, members) / settings.miss_probability))
