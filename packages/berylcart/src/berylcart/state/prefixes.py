"""Hash keys of prompt prefixes, in the blocks that engines cache."""

import xxhash

BLOCK_WORDS = 16


def prefix_keys(prompt: str, block_words: int = BLOCK_WORDS) -> list[str]:
    """Return the hash of each prefix of complete blocks, shortest first.

    >>> keys = prefix_keys("a b c d e", block_words=2)
    >>> len(keys), keys == prefix_keys("a b c d x", block_words=2)
    (2, True)
    """
    words = prompt.split()
    digest = xxhash.xxh64()
    keys: list[str] = []
    for start in range(0, len(words) - block_words + 1, block_words):
        block = words[start : start + block_words]
        digest.update(f"{' '.join(block)} ".encode())
        keys.append(digest.hexdigest())
    return keys
