"""Send each key to one of a few daemons, so that appends group well."""

from collections.abc import Iterable, Sequence

import xxhash

MAX_HOMES = 16


def weight(name: str, member: str) -> int:
    """Weigh a member for a name, alike on every daemon."""
    return xxhash.xxh64_intdigest(f"{name}\0{member}".encode())


def choose_homes(
    daemon_ids: Iterable[str], count: int = MAX_HOMES
) -> tuple[str, ...]:
    """Choose at most count daemons as claim homes.

    A daemon that leaves or joins changes at most one home.

    >>> choose_homes(["d2", "d1"])
    ('d1', 'd2')
    >>> len(choose_homes([f"d{n}" for n in range(400)]))
    16
    """
    ranked = sorted(
        daemon_ids, key=lambda each: (weight("claim-home", each), each)
    )
    return tuple(sorted(ranked[-count:]))


def find_home(key_digest: str, homes: Sequence[str]) -> str | None:
    """Find a key's home by rendezvous hashing, None without any home.

    The homes are live daemons in places that the workspace permits. A wrong
    home costs an extra collect from a peer, never a second run.

    >>> find_home("k", ["d1"]), find_home("k", [])
    ('d1', None)
    """
    if not homes:
        return None
    return max(homes, key=lambda each: (weight(key_digest, each), each))
