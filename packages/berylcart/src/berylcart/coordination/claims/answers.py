"""Keep the answers to claimed requests for those who ask again."""

from enum import StrEnum
from typing import NamedTuple

import anyio
from cachetools import TTLCache

from berylcart.state.errors import Ran

ENTRY_BYTES = 256


class StoredAnswer(NamedTuple):
    """Hold one whole answer; code is 0 for a success."""

    ran: Ran
    code: int
    body: bytes


class CollectState(StrEnum):
    """Say what a claimant knows about one of its claims."""

    ANSWERED = "answered"
    PENDING = "pending"
    UNKNOWN = "unknown"


class Collected(NamedTuple):
    """Answer a daemon that asks for the answer to a claim."""

    state: CollectState
    answer: StoredAnswer | None = None


class KeptAnswer(NamedTuple):
    """Bind an answer to the key that it belongs to."""

    key_digest: str
    answer: StoredAnswer


def size_bytes(kept: KeptAnswer) -> int:
    """Count what a kept answer costs.

    >>> size_bytes(KeptAnswer("k", StoredAnswer(Ran.YES, 0, b"four")))
    260
    """
    return len(kept.answer.body) + ENTRY_BYTES


class AnswerStore:
    """Keep answers for a time, within a bound of bytes."""

    def __init__(self, keep_s: float, max_bytes: int) -> None:
        self.max_bytes = max_bytes
        self.kept: TTLCache[str, KeptAnswer] = TTLCache(
            max_bytes, keep_s, timer=anyio.current_time, getsizeof=size_bytes
        )

    def keep(
        self, key_digest: str, claim_id: str, reply: StoredAnswer
    ) -> None:
        """Keep an answer, unless it alone exceeds the bound."""
        kept = KeptAnswer(key_digest, reply)
        if size_bytes(kept) <= self.max_bytes:
            self.kept[claim_id] = kept

    def find(self, key_digest: str, claim_id: str) -> StoredAnswer | None:
        """Find the answer to a claim of this key."""
        kept = self.kept.get(claim_id)
        if kept is None or kept.key_digest != key_digest:
            return None
        return kept.answer
