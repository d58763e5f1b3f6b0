"""Publish an engine's cache events with a delay and simulated loss."""

import random
from collections import deque
from typing import NamedTuple

from berylcart_tools.standins.clock import now_ms
from berylcart_tools.standins.prefix_cache import CacheEventKind

MAX_EVENTS = 4096


class CacheEvent(NamedTuple):
    """Record one change of a cached prefix, numbered in engine order."""

    sequence: int
    kind: CacheEventKind
    prefix: str


class CacheEventFeed:
    """Expose events lag_ms after they occur and drop a share of them."""

    def __init__(
        self, lag_ms: int, loss_probability: float, seed: int
    ) -> None:
        self.lag_ms = lag_ms
        self.loss_probability = loss_probability
        self.random = random.Random(seed)
        self.sequence = 0
        self.pending: deque[tuple[int, CacheEvent]] = deque(maxlen=MAX_EVENTS)

    def publish(self, kind: CacheEventKind, prefix: str) -> None:
        """Assign the next sequence to an event; queue or drop it at random."""
        event = CacheEvent(self.sequence, kind, prefix)
        self.sequence += 1
        if self.random.random() >= self.loss_probability:
            self.pending.append((now_ms(), event))

    def events_since(self, sequence: int) -> tuple[list[CacheEvent], int]:
        """Return the visible events from a sequence on, and the next one."""
        visible_until_ms = now_ms() - self.lag_ms
        visible = [
            event
            for at_ms, event in self.pending
            if at_ms <= visible_until_ms and event.sequence >= sequence
        ]
        next_sequence = visible[-1].sequence + 1 if visible else sequence
        return visible, next_sequence
