"""Cache the answers to claimed requests for repeated sends."""

from enum import StrEnum
from typing import NamedTuple

import anyio
from cachetools import TTLCache

from berylcart.state.errors import Ran

ENTRY_OVERHEAD_BYTES = 256


class StoredAnswer(NamedTuple):
    """Hold one complete answer; code is 0 on success."""

    ran: Ran
    code: int
    body: bytes


class CollectState(StrEnum):
    """State what a claimant knows about one of its claims."""

    ANSWERED = "answered"
    PENDING = "pending"
    UNKNOWN = "unknown"


class CollectResult(NamedTuple):
    """Hold the reply to a daemon that collects the answer to a claim."""

    state: CollectState
    answer: StoredAnswer | None = None


class CachedAnswer(NamedTuple):
    """Hold an answer with the digest of its idempotency key."""

    key_digest: str
    answer: StoredAnswer


def cached_size_bytes(cached: CachedAnswer) -> int:
    """Return the memory charged for a cached answer.

    >>> cached_size_bytes(CachedAnswer("k", StoredAnswer(Ran.YES, 0, b"four")))
    260
    """
    return len(cached.answer.body) + ENTRY_OVERHEAD_BYTES


class AnswerCache:
    """Cache answers by claim id, bounded by age and total size."""

    def __init__(self, max_age_s: float, max_bytes: int) -> None:
        self.max_bytes = max_bytes
        self.entries: TTLCache[str, CachedAnswer] = TTLCache(
            max_bytes,
            max_age_s,
            timer=anyio.current_time,
            getsizeof=cached_size_bytes,
        )

    def put(
        self, key_digest: str, claim_id: str, answer: StoredAnswer
    ) -> None:
        """Cache an answer, unless it alone exceeds the size limit."""
        cached = CachedAnswer(key_digest, answer)
        if cached_size_bytes(cached) <= self.max_bytes:
            self.entries[claim_id] = cached

    def get(self, key_digest: str, claim_id: str) -> StoredAnswer | None:
        """Return the answer to a claim, None unless cached for this key."""
        cached = self.entries.get(claim_id)
        if cached is None or cached.key_digest != key_digest:
            return None
        return cached.answer
