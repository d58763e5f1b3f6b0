"""Membership reports and their merge, as in the SWIM protocol."""

from collections.abc import Iterable, Mapping
from enum import IntEnum
from functools import lru_cache
from typing import NamedTuple

from xxhash import xxh64_intdigest

# Each message refers to many members by digest.
MAX_CACHED_DIGESTS = 8192


class MemberState(IntEnum):
    """Member states; within an incarnation the higher value wins."""

    ALIVE = 0
    SUSPECT = 1
    DEAD = 2
    LEFT = 3


class Member(NamedTuple):
    """Describe one daemon as of a heartbeat of one of its incarnations.

    beat counts the heartbeats: the daemon increments it whenever it reports
    itself. load is the fraction of its capacity in use. A leaving daemon
    still runs but accepts no new callers. capacity_permille rates how much
    work it can do on behalf of all daemons.
    """

    daemon_id: str
    incarnation: int
    peer_address: str
    http_address: str
    place: str
    state: MemberState = MemberState.ALIVE
    beat: int = 0
    load: float = 0.0
    config_version: int = 0
    config_offset: int = -1
    is_leaving: bool = False
    capacity_permille: int = 0

    @property
    def is_live(self) -> bool:
        """Tell whether the member counts as running."""
        return self.state in (MemberState.ALIVE, MemberState.SUSPECT)


def precedence_key(member: Member) -> tuple[object, ...]:
    """Return the sort key: incarnation, state, beat, other fields.

    >>> old = Member("d1", 1, "a", "b", "p", MemberState.DEAD)
    >>> new = Member("d1", 2, "a", "b", "p")
    >>> precedence_key(old) < precedence_key(new)
    True
    """
    return (member.incarnation, member.state, member.beat, member)


def merge(left: Member, right: Member) -> Member:
    """Return the newer of two reports about the same daemon.

    >>> alive = Member("d1", 1, "a", "b", "p", beat=7)
    >>> dead = alive._replace(state=MemberState.DEAD, beat=3)
    >>> merge(alive, dead).state.name
    'DEAD'
    >>> merge(dead, alive._replace(incarnation=2)).state.name
    'ALIVE'
    """
    return max(left, right, key=precedence_key)


def merge_tables(
    left: Mapping[str, Member], right: Iterable[Member]
) -> dict[str, Member]:
    """Return a new table with reports merged into an existing one.

    >>> d1 = Member("d1", 1, "a", "b", "p")
    >>> merge_tables({"d1": d1}, [d1._replace(beat=2)])["d1"].beat
    2
    """
    table = dict(left)
    for member in right:
        known = table.get(member.daemon_id)
        table[member.daemon_id] = merge(known, member) if known else member
    return table


def refute(local: Member, report: Member) -> Member:
    """Raise the local incarnation if a report contradicts local state.

    A higher beat of the same incarnation comes from an earlier process with
    the same daemon id.

    >>> local = Member("d1", 1, "a", "b", "p")
    >>> refute(local, local._replace(state=MemberState.SUSPECT)).incarnation
    2
    >>> refute(local, local._replace(incarnation=5)).incarnation
    6
    >>> refute(local, local._replace(beat=9)).incarnation
    2
    >>> refute(local, local).incarnation
    1
    """
    if report.incarnation > local.incarnation:
        return local._replace(incarnation=report.incarnation + 1)
    is_same = report.incarnation == local.incarnation
    if is_same and (report.state > local.state or report.beat > local.beat):
        return local._replace(incarnation=report.incarnation + 1)
    return local


@lru_cache(maxsize=MAX_CACHED_DIGESTS)
def member_digest(daemon_id: str) -> int:
    """Return the 64-bit hash of a daemon's id.

    >>> member_digest("d1") == member_digest("d1") != member_digest("d2")
    True
    """
    return xxh64_intdigest(daemon_id.encode())


def view_digest(members: Iterable[Member]) -> int:
    """Hash the live members and their incarnations, order-independent.

    >>> d1, d2 = Member("d1", 1, "a", "b", "p"), Member("d2", 1, "a", "b", "p")
    >>> view_digest([d1, d2]) == view_digest([d2, d1]) != view_digest([d1])
    True
    """
    digest = 0
    for member in members:
        if member.is_live:
            name = f"{member.daemon_id}/{member.incarnation}"
            digest ^= member_digest(name)
    return digest


def is_significant_change(known: Member | None, member: Member) -> bool:
    """Tell whether a change must be disseminated immediately.

    >>> member = Member("d1", 1, "a", "b", "p")
    >>> is_significant_change(member, member._replace(beat=5))
    False
    >>> is_significant_change(member, member._replace(is_leaving=True))
    True
    """
    if known is None:
        return member.is_live
    before = (known.incarnation, known.state, known.is_leaving)
    after = (member.incarnation, member.state, member.is_leaving)
    return before != after


def downgrade_death(member: Member, known: Member | None) -> Member:
    """Downgrade the reported death of a live member to a suspicion.

    Each daemon then gives the member time to refute it. Otherwise a daemon
    that received no suspicion before the death would declare the member dead
    immediately.

    >>> alive = Member("d1", 1, "a", "b", "p")
    >>> dead = alive._replace(state=MemberState.DEAD)
    >>> downgrade_death(dead, alive).state.name
    'SUSPECT'
    >>> downgrade_death(dead, None).state.name
    'DEAD'
    """
    is_dead = member.state is MemberState.DEAD
    if is_dead and known is not None and known.is_live:
        return member._replace(state=MemberState.SUSPECT)
    return member
