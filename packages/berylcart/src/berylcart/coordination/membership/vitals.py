"""Track each member's last sign of life and its reported load."""

from collections.abc import Iterable, Sequence
from math import ceil, inf
from random import Random
from typing import NamedTuple

from berylcart.coordination.membership.settings import MS_PER_S
from berylcart.state.member_table import Member, member_digest
from berylcart.state.peer_messages import AgeTable, HeartbeatSummary

NEVER = -inf
HOP_ALLOWANCE_MS = 50
STEPS_PER_S = 50
MAX_AGE_STEPS = 255
MAX_STEP_AGE_S = MAX_AGE_STEPS / STEPS_PER_S


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

    def __init__(self, max_age_s: float, own_id: str = "") -> None:
        self._max_age_s = max_age_s
        self._vitals: dict[int, Vitals] = {}
        self._own_digest = member_digest(own_id)
        # All digests in ascending order, None after a change.
        self._digests: list[int] | None = None
        self._members_digest = self._own_digest

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
            if digest not in self._vitals:
                self._change_digests(digest)
            self._vitals[digest] = Vitals(
                heard_at, member.load, member.config_version
            )

    def _change_digests(self, digest: int) -> None:
        """Account for a member that was added or removed."""
        self._members_digest ^= digest
        self._digests = None

    def _ordered_digests(self) -> list[int]:
        if self._digests is None:
            self._digests = sorted({self._own_digest, *self._vitals})
        return self._digests

    def ages(self, min_members: int, now: float) -> AgeTable:
        """Return the ages of all members, none up to min_members.

        Samples cover that many, and reach daemons that know other members.

        >>> table = VitalsTable(max_age_s=60.0, own_id="d0")
        >>> table.record(Member("d1", 1, "a", "b", "p"), heard_at=7.0)
        >>> sorted(table.ages(min_members=1, now=9.0).age_steps)
        [0, 103]
        """
        digests = self._ordered_digests()
        if len(digests) <= min_members:
            return AgeTable()
        sent_at = now + HOP_ALLOWANCE_MS / MS_PER_S
        own = Vitals(sent_at, 0.0, 0)
        vitals = self._vitals
        ages = [sent_at - vitals.get(each, own).heard_at for each in digests]
        return AgeTable(
            self._members_digest,
            bytes(
                [
                    ceil(age_s * STEPS_PER_S)
                    if age_s < MAX_STEP_AGE_S
                    else MAX_AGE_STEPS
                    for age_s in ages
                ]
            ),
        )

    def merge_ages(self, table: AgeTable, now: float) -> None:
        """Merge the ages that a peer sent, if it knows the same members.

        >>> one, two = (VitalsTable(60.0, own_id=name) for name in "ab")
        >>> members = [Member(name, 1, "", "", "p") for name in "abc"]
        >>> for known, member, at in [(one, 1, 1.0), (one, 2, 4.0),
        ...                           (two, 0, 2.0), (two, 2, 1.0)]:
        ...     known.record(members[member], heard_at=at)
        >>> two.merge_ages(one.ages(min_members=1, now=5.0), now=5.0)
        >>> round(two.get("c").heard_at, 2)
        3.94
        """
        digests = self._ordered_digests()
        is_same = table.members_digest == self._members_digest
        if not is_same or len(table.age_steps) != len(digests):
            return
        vitals = self._vitals
        for digest, steps in zip(digests, table.age_steps, strict=True):
            known = vitals.get(digest)
            if known is None or steps == MAX_AGE_STEPS:
                continue
            heard_at = now - steps / STEPS_PER_S
            if heard_at > known.heard_at:
                vitals[digest] = Vitals(
                    heard_at, known.load, known.config_version
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
        digest = member_digest(daemon_id)
        if self._vitals.pop(digest, None) is not None:
            self._change_digests(digest)

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
