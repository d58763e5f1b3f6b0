"""Choose the entry daemons that callers should use."""

from collections.abc import Iterable, Sequence
from random import Random
from typing import NamedTuple

from berylcart.state.member_table import Member, MemberState

LOAD_STEP = 0.1


class Entry(NamedTuple):
    """Hold the id, address and place of one entry daemon."""

    daemon_id: str
    http_address: str
    place: str


class EntryList(NamedTuple):
    """List entries, best first, with the time to keep the list."""

    entries: tuple[Entry, ...]
    keep_ms: int


def choose_entries(
    members: Iterable[Member],
    places: Sequence[str],
    limit: int,
    rng: Random,
) -> tuple[Entry, ...]:
    """Return up to limit entries in the given places, best first.

    Suspects come last. The others are ordered by place, nearest first, and
    within a place by load in steps of LOAD_STEP. Ties are broken by rng, to
    distribute callers.

    >>> a = Member("d1", 1, "p1", "h1", "lahore-1", load=0.9)
    >>> b = Member("d2", 1, "p2", "h2", "lahore-1", load=0.2)
    >>> c = Member("d3", 1, "p3", "h3", "lahore-2")
    >>> order = ["lahore-2", "lahore-1"]
    >>> [e.daemon_id for e in choose_entries([a, b, c], order, 9, Random(1))]
    ['d3', 'd2', 'd1']
    """
    ranks = {place: rank for rank, place in enumerate(places)}
    usable = [
        member
        for member in members
        if member.is_live and not member.is_leaving and member.place in ranks
    ]

    def sort_key(member: Member) -> tuple[bool, int, int, float]:
        is_suspect = member.state is MemberState.SUSPECT
        load_steps = int(member.load / LOAD_STEP)
        return (is_suspect, ranks[member.place], load_steps, rng.random())

    chosen = sorted(usable, key=sort_key)[:limit]
    return tuple(
        Entry(member.daemon_id, member.http_address, member.place)
        for member in chosen
    )
