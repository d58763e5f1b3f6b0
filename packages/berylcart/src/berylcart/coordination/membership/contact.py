"""Decide which members count as silent, and which ones to call next.

A daemon that loses power can't say so, and detecting each loss takes longer
the more daemons are lost at once. A sign of life expires by itself, so what
callers are told depends on recent signs of life and not on detection.
"""

from collections.abc import Iterable
from random import Random
from typing import NamedTuple

from berylcart.coordination.membership.settings import (
    MS_PER_S,
    MembershipSettings,
    log10_scale,
)

# The rest of contact_ms is left for messages in transit.
SILENCE_SHARE = 0.8
# Calls per silence limit; signs of life of all members spread in a few calls.
CALLS_PER_LIMIT = 4


class Candidate(NamedTuple):
    """Hold a live member's silence in seconds and whether it is suspect."""

    daemon_id: str
    silence_s: float
    is_suspect: bool


class CallPlan(NamedTuple):
    """Hold the members heard recently and those to probe."""

    recent: tuple[str, ...]
    probes: tuple[str, ...]


class SilenceLimit:
    """Measure how long members have been silent.

    While this process did not run, it could not hear them: a pause is not
    counted until messages had time to arrive again.
    """

    def __init__(self, settings: MembershipSettings) -> None:
        self.limit_s = SILENCE_SHARE * settings.contact_ms / MS_PER_S
        self.call_period_s = self.limit_s / CALLS_PER_LIMIT
        self.recent_s = self.limit_s / 2
        self._settle_s = (
            settings.pause_slack_ms / MS_PER_S + self.call_period_s
        )
        self._paused_s = 0.0
        self._settled_at = float("-inf")

    def record_pause(self, now: float, paused_s: float) -> None:
        """Record a pause of this process that ended now."""
        if now >= self._settled_at:
            self._paused_s = 0.0
        self._paused_s += paused_s
        self._settled_at = now + self._settle_s

    def silence_s(self, heard_at: float, now: float) -> float:
        """Return the silence of a member that was last heard at a time.

        >>> limit = SilenceLimit(MembershipSettings())
        >>> limit.silence_s(heard_at=5.0, now=7.0)
        2.0
        >>> limit.record_pause(now=17.0, paused_s=10.0)
        >>> limit.silence_s(5.0, 17.5), limit.silence_s(5.0, 19.0)
        (2.5, 14.0)
        """
        excused_s = self._paused_s if now < self._settled_at else 0.0
        return now - heard_at - excused_s

    def is_exceeded(self, heard_at: float, now: float) -> bool:
        """Return whether a member has been silent for too long."""
        return self.silence_s(heard_at, now) > self.limit_s


def plan_calls(
    candidates: Iterable[Candidate], recent_s: float, rng: Random
) -> CallPlan:
    """Choose whom to call for signs of life and whom to probe.

    Members that were heard recently are likely to answer with recent signs of
    all others. Those silent for longer are probed while the silence limit is
    not reached yet. Suspects are
    probed last; how many are probed grows with the logarithm of the members.

    >>> heard = [Candidate("d1", 0.3, False), Candidate("d2", 0.9, False)]
    >>> silent = [Candidate("d3", 1.6, False), Candidate("d4", 9.0, True)]
    >>> plan_calls(heard + silent, recent_s=1.2, rng=Random(1))
    CallPlan(recent=('d1', 'd2'), probes=('d3',))
    """
    recent = []
    silent = []
    for candidate in candidates:
        if candidate.silence_s < recent_s:
            recent.append(candidate.daemon_id)
        else:
            silent.append(candidate)
    count = round(log10_scale(len(recent) + len(silent)))
    order = sorted(silent, key=lambda each: (each.is_suspect, rng.random()))
    return CallPlan(
        tuple(recent), tuple(each.daemon_id for each in order[:count])
    )
