"""Generate the deterministic tokens of the simulated engines."""

import xxhash


def token_text(prompt_digest: str, offset: int) -> str:
    """Return the token generated at an offset for a prompt digest.

    >>> token_text("0a", 0) == token_text("0a", 0)
    True
    """
    return xxhash.xxh32_hexdigest(f"{offset}:{prompt_digest}".encode()) + " "


def digest_prompt(prompt: str) -> str:
    """Return the digest from which all tokens of a prompt are derived."""
    return xxhash.xxh64_hexdigest(prompt.encode())


def generated_text(prompt: str, max_tokens: int, start_offset: int = 0) -> str:
    """Return the text that every simulated engine generates for a prompt.

    >>> whole = generated_text("hem a coat", 3)
    >>> start = generated_text("hem a coat", 1)
    >>> whole == start + generated_text("hem a coat", 3, 1)
    True
    """
    digest = digest_prompt(prompt)
    offsets = range(start_offset, max_tokens)
    return "".join(token_text(digest, offset) for offset in offsets)
