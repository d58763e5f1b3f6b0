"""Choose the daemons that poll the store often, to notice lost responses.

The response to a long poll may be lost, which only the timeout of the poll
shows. A few daemons poll briefly and tell the others by gossip, as the calls
of hundreds of daemons would load the store.
"""

from collections.abc import Sequence
from zlib import crc32

# If half of the daemons are off, all watchers are in fewer than one case in
# 200.
MAX_WATCHERS = 8


def is_watcher(daemon_id: str, daemon_ids: Sequence[str]) -> bool:
    """Return whether a daemon is one of the watchers.

    They are chosen by a hash, so that they are spread over all places. A
    daemon that is not in the list knows too little of the others and watches.

    >>> fleet = [f"entry-{number}" for number in range(100)]
    >>> sum(is_watcher(each, fleet) for each in fleet)
    8
    >>> is_watcher("entry-1", fleet[:8]), is_watcher("entry-9", fleet[:8])
    (True, True)
    """
    ranked = sorted(daemon_ids, key=lambda each: (crc32(each.encode()), each))
    return daemon_id not in ranked[MAX_WATCHERS:]
