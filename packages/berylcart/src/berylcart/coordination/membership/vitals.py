"""Track each member's last sign of life and its reported load."""

from collections.abc import Iterable, Sequence
from random import Random
from typing import NamedTuple

from berylcart.coordination.membership.settings import MS_PER_S
from berylcart.state.member_table import Member, member_digest
from berylcart.state.peer_messages import HeartbeatSummary

NEVER = float("-inf")
HOP_ALLOWANCE_MS = 50


class Vitals(NamedTuple):
    """Hold one member's last sign of life and what it reported then.

    heard_at is in seconds of the local runtime's clock.
    """

    heard_at: float
    load: float
    config_version: int


NO_VITALS = Vitals(NEVER, 0.0, 0)


class HeardCount(NamedTuple):
    """Hold the number of daemons heard and of those expected."""

    heard: int
    expected: int

    @property
    def is_majority(self) -> bool:
        """Return whether more than half were heard.

        >>> HeardCount(4, 7).is_majority, HeardCount(3, 6).is_majority
        (True, False)
        """
        return 2 * self.heard > self.expected


class VitalsTable:
    """Merge signs of life by member digest; the latest one wins.

    Each hop adds HOP_ALLOWANCE_MS to an age, for the transmission time.
    Otherwise an age would shrink as it circulates, and a dead member would
    seem alive forever. Sent ages are limited to max_age_s.

    >>> table = VitalsTable(max_age_s=60.0)
    >>> member = Member("d1", 1, "a", "b", "p", load=0.5)
    >>> table.record(member, heard_at=7.0)
    >>> table.get("d1").load, table.age_ms("d1", now=9.0)
    (0.5, 2050)
    """

    def __init__(self, max_age_s: float) -> None:
        self._max_age_s = max_age_s
        self._vitals: dict[int, Vitals] = {}

    def get(self, daemon_id: str) -> Vitals:
        """Return a member's vitals, NO_VITALS if unknown."""
        return self._vitals.get(member_digest(daemon_id), NO_VITALS)

    def age_ms(self, daemon_id: str, now: float) -> int:
        """Return a member's age to send, including the hop allowance."""
        age_s = now - self.get(daemon_id).heard_at
        return int(min(age_s, self._max_age_s) * MS_PER_S) + HOP_ALLOWANCE_MS

    def record(self, member: Member, heard_at: float) -> None:
        """Record a report if it is newer than the one known."""
        digest = member_digest(member.daemon_id)
        if heard_at > self._vitals.get(digest, NO_VITALS).heard_at:
            self._vitals[digest] = Vitals(
                heard_at, member.load, member.config_version
            )

    def merge_samples(
        self, signs: Iterable[HeartbeatSummary], now: float
    ) -> None:
        """Merge signs of life of known members."""
        vitals = self._vitals
        for digest, age_ms, load, version in signs:
            known = vitals.get(digest)
            heard_at = now - age_ms / MS_PER_S
            if known is not None and heard_at > known.heard_at:
                vitals[digest] = Vitals(heard_at, load, version)

    def remove(self, daemon_id: str) -> None:
        """Remove a member."""
        self._vitals.pop(member_digest(daemon_id), None)

    def sample(
        self, daemon_ids: Sequence[str], limit: int, rng: Random, now: float
    ) -> tuple[HeartbeatSummary, ...]:
        """Return the signs of life of a random sample of members."""
        if len(daemon_ids) > limit:
            daemon_ids = rng.sample(daemon_ids, limit)
        oldest = now - self._max_age_s
        signs = []
        for name in daemon_ids:
            digest = member_digest(name)
            known = self._vitals.get(digest, NO_VITALS)
            age_s = now - max(known.heard_at, oldest)
            signs.append(
                HeartbeatSummary(
                    digest,
                    int(age_s * MS_PER_S) + HOP_ALLOWANCE_MS,
                    known.load,
                    known.config_version,
                )
            )
        return tuple(signs)
