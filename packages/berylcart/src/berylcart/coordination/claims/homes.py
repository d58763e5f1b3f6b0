"""Map each key to one of a few home daemons, so that batches fill up."""

from collections.abc import Iterable, Sequence

import xxhash

MAX_HOMES = 16


def rendezvous_weight(name: str, member: str) -> int:
    """Hash a name with a member, with the same result on every daemon."""
    return xxhash.xxh64_intdigest(f"{name}\0{member}".encode())


def choose_homes(
    daemon_ids: Iterable[str], count: int = MAX_HOMES
) -> tuple[str, ...]:
    """Choose at most count daemons as home daemons of claims.

    When one daemon joins or leaves, at most one home daemon changes.

    >>> choose_homes(["d2", "d1"])
    ('d1', 'd2')
    >>> len(choose_homes([f"d{n}" for n in range(400)]))
    16
    """
    ranked = sorted(
        daemon_ids,
        key=lambda each: (rendezvous_weight("claim-home", each), each),
    )
    return tuple(sorted(ranked[-count:]))


def find_home(key_digest: str, homes: Sequence[str]) -> str | None:
    """Find a key's home daemon by rendezvous hashing, None without homes.

    The homes are live daemons in places that the workspace permits. Daemons
    that disagree on the home cost one more call to collect the answer from a
    peer, never a second execution.

    >>> find_home("k", ["d1"]), find_home("k", [])
    ('d1', None)
    """
    if not homes:
        return None
    return max(
        homes, key=lambda each: (rendezvous_weight(key_digest, each), each)
    )
