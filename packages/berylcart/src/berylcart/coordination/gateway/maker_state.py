"""Know how fast, full and reliable a replica that makes pieces is."""

from math import inf
from typing import NamedTuple

import anyio

FIRST_PAUSE_S = 0.25
MAX_PAUSE_S = 2.0
# A slow call costs more than a fast one gains, so it counts for more.
SLOWING = 0.7
RECOVERING = 0.4
# What a replica says of its speed is of one instant and changes many times a
# second, so it counts for less than a call that was measured.
REPORT_SHARE = 0.3
# A replica that was slow is tried again: what is known of it grows old.
SLOWNESS_HALF_LIFE_S = 6.0
# How long the memory of a full replica holds.
FULL_HOLDS_S = 1.0


class Held(NamedTuple):
    """Describe a result that takes room at its replica, until_s at most."""

    size_bytes: int
    since_s: float
    until_s: float


class MakerState:
    """Hold what is known of one replica."""

    def __init__(self) -> None:
        self.calls = 0
        self.busy_until_s = 0.0
        self.paused_until_s = 0.0
        self.pause_s = FIRST_PAUSE_S
        self.slowness = 1.0
        self.judged_at_s = 0.0
        # By handle, those that expire soonest first.
        self.results: dict[str, Held] = {}
        self.held_bytes = 0
        # Those that were read, and are read again only if a piece fails.
        self.spare: set[str] = set()
        # Those that nobody reads any more, until the replica is told, and
        # when they expire by themselves.
        self.unread: dict[str, float] = {}
        self.is_room_wanted = anyio.Event()
        self.is_clearing = False
        self.reserved_bytes = 0
        # What its results took when it had room for no more, and when.
        self.full_bytes = 0.0
        self.full_at_s = -inf
        # Set by a call in progress that found no room.
        self.is_full = False

    def slowness_at(self, now_s: float) -> float:
        """Let what was learnt of the replica's speed grow old."""
        age_s = now_s - self.judged_at_s
        weight: float = 0.5 ** (age_s / SLOWNESS_HALF_LIFE_S)
        return 1.0 + max(0.0, self.slowness - 1.0) * weight

    def learn(self, ratio: float, now_s: float, share: float = 1.0) -> None:
        """Take in how long a call took against what was expected.

        share is how much that counts beside a measured call.
        """
        old = self.slowness_at(now_s)
        weight = share * (SLOWING if ratio > old else RECOVERING)
        self.slowness = old + weight * (ratio - old)
        self.judged_at_s = now_s

    @property
    def has_failed(self) -> bool:
        """Tell whether no call has succeeded since one failed."""
        return self.pause_s > FIRST_PAUSE_S

    def pause(self, now_s: float) -> None:
        """Give the replica no call for a while."""
        self.paused_until_s = now_s + self.pause_s
        self.pause_s = min(MAX_PAUSE_S, 2 * self.pause_s)

    def room_bytes(self, limit_bytes: float, now_s: float) -> float:
        """Estimate the room for more results.

        A replica that was full stays full until one of its results goes.
        """
        if now_s - self.full_at_s < FULL_HOLDS_S:
            limit_bytes = min(limit_bytes, self.full_bytes)
        return limit_bytes - self.used_bytes(now_s)

    def note_full(self, now_s: float) -> None:
        """Learn that the results held now leave no room."""
        self.full_bytes = self.used_bytes(now_s)
        self.full_at_s = now_s
        self.is_full = False

    def hold(self, handle: str, held: Held) -> None:
        """Note a result that takes room until it is dropped or expires."""
        self.drop(handle)
        self.results[handle] = held
        self.held_bytes += held.size_bytes

    def drop(self, handle: str) -> Held | None:
        """Note that a result takes no more room, and tell what it took."""
        self.spare.discard(handle)
        held = self.results.pop(handle, None)
        if held is not None:
            self.held_bytes -= held.size_bytes
        return held

    def note_unread(self, handle: str, until_s: float) -> None:
        """Note a result to drop, which expires at the latest then."""
        held = self.results.get(handle)
        end_s = until_s if held is None else min(held.until_s, until_s)
        self.unread[handle] = end_s

    def take_unread(self, now_s: float) -> list[str]:
        """List the results to drop that have not expired, once."""
        unread, self.unread = self.unread, {}
        return [each for each, end_s in unread.items() if end_s > now_s]

    def note_spare(self, handle: str) -> None:
        """Note that a result may give way to others."""
        if handle in self.results:
            self.spare.add(handle)

    def used_bytes(self, now_s: float) -> int:
        """Sum what results take, without those that were dropped."""
        while self.results:
            handle, held = next(iter(self.results.items()))
            if held.until_s >= now_s:
                break
            self.drop(handle)
        return self.held_bytes + self.reserved_bytes
