"""Track the speed, memory use and failures of one batch replica."""

from math import inf
from typing import NamedTuple

import anyio

FIRST_PAUSE_S = 0.25
MAX_PAUSE_S = 2.0
# Weights of a new measurement in the moving average. A slow call costs more
# than a fast one gains, so an increase has the larger weight.
INCREASE_WEIGHT = 0.7
DECREASE_WEIGHT = 0.4
# A replica's own report is a snapshot of a value that changes many times a
# second, so its weight is lower than that of a measured call.
REPORT_WEIGHT = 0.3
# The estimate decays towards 1 so that a slow replica is tried again.
SLOWDOWN_HALF_LIFE_S = 6.0
# The memory that is left is less than the rejected result; its expected value
# is half of that.
REJECTED_SHARE = 0.5
# How long the estimate of a full replica's capacity is used.
FULL_ESTIMATE_LIFETIME_S = 1.0


class HeldResult(NamedTuple):
    """Describe a result that occupies a replica's memory until until_s."""

    size_bytes: int
    since_s: float
    until_s: float


class ReplicaState:
    """Hold the state of one incarnation of a replica."""

    def __init__(self) -> None:
        self.calls = 0
        self.busy_until_s = 0.0
        self.paused_until_s = 0.0
        self.pause_s = FIRST_PAUSE_S
        self.slowdown = 1.0
        self.slowdown_updated_at_s = 0.0
        # By handle, in order of expiry.
        self.results: dict[str, HeldResult] = {}
        self.held_bytes = 0
        # Handles of results already read, which are needed again only if a
        # piece fails.
        self.evictable: set[str] = set()
        # Handles of results that are no longer needed and that the replica has
        # not yet been told to free, with their expiry times.
        self.pending_frees: dict[str, float] = {}
        self.is_memory_needed = anyio.Event()
        self.is_freeing = False
        self.reserved_bytes = 0
        # Memory in use when the replica last rejected a result for lack of
        # memory, and when that was.
        self.full_bytes = 0.0
        self.full_at_s = -inf
        # The smallest result of a running call that did not fit into the
        # memory, inf if all did.
        self.rejected_bytes = inf

    def slowdown_at(self, now_s: float) -> float:
        """Return the slowdown, decayed towards 1 by the estimate's age."""
        age_s = now_s - self.slowdown_updated_at_s
        weight: float = 0.5 ** (age_s / SLOWDOWN_HALF_LIFE_S)
        return 1.0 + max(0.0, self.slowdown - 1.0) * weight

    def update_slowdown(
        self, ratio: float, now_s: float, weight_factor: float = 1.0
    ) -> None:
        """Update the estimate by the ratio of measured to expected time.

        weight_factor scales the weight of a measured call.
        """
        previous = self.slowdown_at(now_s)
        weight = weight_factor * (
            INCREASE_WEIGHT if ratio > previous else DECREASE_WEIGHT
        )
        self.slowdown = previous + weight * (ratio - previous)
        self.slowdown_updated_at_s = now_s

    @property
    def has_failed(self) -> bool:
        """Return whether no call has succeeded since the last failure."""
        return self.pause_s > FIRST_PAUSE_S

    def pause(self, now_s: float) -> None:
        """Pause calls for the back-off time, which doubles at each failure."""
        self.paused_until_s = now_s + self.pause_s
        self.pause_s = min(MAX_PAUSE_S, 2 * self.pause_s)

    def free_bytes(self, limit_bytes: float, now_s: float) -> float:
        """Estimate the memory available for more results.

        A replica that rejected a result has room for smaller ones only, until
        results are freed.
        """
        if now_s - self.full_at_s < FULL_ESTIMATE_LIFETIME_S:
            limit_bytes = min(limit_bytes, self.full_bytes)
        return limit_bytes - self.used_bytes(now_s)

    def record_full(self, now_s: float) -> None:
        """Record that the results held now fill the memory."""
        expected_bytes = REJECTED_SHARE * self.rejected_bytes
        self.full_bytes = self.used_bytes(now_s) + expected_bytes
        self.full_at_s = now_s
        self.rejected_bytes = inf

    def add_result(self, handle: str, held: HeldResult) -> None:
        """Record a result that uses memory until it is freed or expires."""
        self.remove_result(handle)
        self.results[handle] = held
        self.held_bytes += held.size_bytes

    def remove_result(self, handle: str) -> HeldResult | None:
        """Remove a result and return its entry, None if it is unknown."""
        self.evictable.discard(handle)
        held = self.results.pop(handle, None)
        if held is not None:
            self.held_bytes -= held.size_bytes
        return held

    def queue_free(self, handle: str, until_s: float) -> None:
        """Queue a result to be freed; until_s bounds its expiry time."""
        held = self.results.get(handle)
        expiry_s = until_s if held is None else min(held.until_s, until_s)
        self.pending_frees[handle] = expiry_s

    def take_pending_frees(self, now_s: float) -> list[str]:
        """Remove and return the queued results that have not expired."""
        pending_frees, self.pending_frees = self.pending_frees, {}
        return [
            each
            for each, expiry_s in pending_frees.items()
            if expiry_s > now_s
        ]

    def mark_evictable(self, handle: str) -> None:
        """Mark a result as evictable."""
        if handle in self.results:
            self.evictable.add(handle)

    def used_bytes(self, now_s: float) -> int:
        """Return the memory used by results and reserved by running calls."""
        while self.results:
            handle, held = next(iter(self.results.items()))
            if held.until_s >= now_s:
                break
            self.remove_result(handle)
        return self.held_bytes + self.reserved_bytes
