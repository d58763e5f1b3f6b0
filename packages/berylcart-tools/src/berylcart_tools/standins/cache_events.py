"""Publish an engine's cache events late and with gaps."""

import random
from collections import deque
from typing import NamedTuple

from berylcart_tools.standins.clock import now_ms
from berylcart_tools.standins.prefix_cache import CacheEventKind

MAX_EVENTS = 4096


class CacheEvent(NamedTuple):
    """Say what happened to a prefix, in the engine's order."""

    sequence: int
    kind: CacheEventKind
    prefix: str


class CacheEventFeed:
    """Show events after a lag, losing a share of them."""

    def __init__(self, lag_ms: int, loss: float, seed: int) -> None:
        self.lag_ms = lag_ms
        self.loss = loss
        self.random = random.Random(seed)
        self.sequence = 0
        self.pending: deque[tuple[int, CacheEvent]] = deque(maxlen=MAX_EVENTS)

    def publish(self, kind: CacheEventKind, prefix: str) -> None:
        """Publish one event, or lose it."""
        event = CacheEvent(self.sequence, kind, prefix)
        self.sequence += 1
        if self.random.random() >= self.loss:
            self.pending.append((now_ms(), event))

    def since(self, sequence: int) -> tuple[list[CacheEvent], int]:
        """Give the events from a sequence on, and the next to ask for."""
        latest_ms = now_ms() - self.lag_ms
        shown = [
            event
            for at_ms, event in self.pending
            if at_ms <= latest_ms and event.sequence >= sequence
        ]
        following = shown[-1].sequence + 1 if shown else sequence
        return shown, following
