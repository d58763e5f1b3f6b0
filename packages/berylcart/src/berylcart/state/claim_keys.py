"""Idempotency keys and the digests of keys and request bodies."""

import hashlib
import re
import secrets
from typing import NamedTuple

DATED_KEY = re.compile(r"t([1-9]\d{0,14})-[0-9A-Za-z_-]{16,64}")
DIGEST_BYTES = 16
RANDOM_BYTES = 16


class IdempotencyKey(NamedTuple):
    """Hold a key's digest and the log time of its issue, 0 if undated."""

    digest: str
    issued_ms: int


def digest(*parts: str) -> str:
    """Hash parts, each with its length so that boundaries matter.

    >>> digest("a", "bc") == digest("ab", "c")
    False
    """
    state = hashlib.blake2b(digest_size=DIGEST_BYTES)
    for part in parts:
        data = part.encode()
        state.update(len(data).to_bytes(8, "big"))
        state.update(data)
    return state.hexdigest()


def fingerprint(body: bytes) -> str:
    """Return the digest of a request's body.

    >>> fingerprint(b"hem") == fingerprint(b"hem")
    True
    """
    return hashlib.blake2b(body, digest_size=DIGEST_BYTES).hexdigest()


def issue_key(log_time_ms: int) -> str:
    """Generate a random key that carries the log time of its issue.

    >>> issued_ms(issue_key(1700))
    1700
    """
    return f"t{max(1, log_time_ms)}-{secrets.token_hex(RANDOM_BYTES)}"


def issued_ms(key: str) -> int:
    """Return the log time that a dated key carries, 0 if undated.

    >>> issued_ms("t1700-0123456789abcdef"), issued_ms("booking-17")
    (1700, 0)
    """
    match = DATED_KEY.fullmatch(key)
    return int(match.group(1)) if match else 0


def parse_key(
    key: str, workspace: str, service: str, stage: str = ""
) -> IdempotencyKey:
    """Parse a key; its digest covers workspace, service and stage."""
    return IdempotencyKey(
        digest(workspace, service, stage, key), issued_ms(key)
    )


def hash_ordering_key(workspace: str, ordering_key: str) -> str:
    """Hash an ordering key with its workspace; "" without a key.

    >>> hash_ordering_key("w", ""), len(hash_ordering_key("w", "raft-7"))
    ('', 32)
    """
    return digest(workspace, ordering_key) if ordering_key else ""
