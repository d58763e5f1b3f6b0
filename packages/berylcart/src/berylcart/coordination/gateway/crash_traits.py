"""Name what replicas may crash on: the parts of a prompt, or a whole request.

A request is identified by what its replica gets of it and its caller chooses,
other than its id and its deadline, which are new with each attempt.
"""

import hashlib
from collections.abc import Iterable

from berylcart.state.relay_messages import Prompt, RelayRequest

# Traits in the order of prompts, the whole request last.
Traits = tuple[str, ...]

REQUEST_PREFIX = "request:"
DIGEST_BYTES = 16
# Changes with the fields below, so that daemons of two versions never compare
# digests of different fields.
DIGEST_PURPOSE = b"request-run-1"
LENGTH_BYTES = 8
MAX_ID_CHARS = 64


def is_request_trait(trait: str) -> bool:
    """Return whether a trait is a whole request.

    >>> is_request_trait("request:91bd"), is_request_trait("91bd")
    (True, False)
    """
    return trait.startswith(REQUEST_PREFIX)


def is_valid_id(trait: str) -> bool:
    """Return whether the id of a trait is kept.

    >>> is_valid_id("5c1e07a2"), is_valid_id(""), is_valid_id("a" * 65)
    (True, False, False)
    """
    return 0 < len(trait) <= MAX_ID_CHARS and trait.isprintable()


def shared_part_ids(prompt: Prompt) -> Traits:
    """Return the ids of all parts that other requests may have.

    >>> from berylcart.state.relay_messages import PromptPart
    >>> shared_part_ids(Prompt(parts=(PromptPart("a", 9), PromptPart("b", 1))))
    ('a',)
    """
    ids = dict.fromkeys(part.part_id for part in prompt.parts[:-1])
    return tuple(each for each in ids if not is_request_trait(each))


def prompt_fields(prompt: Prompt) -> Iterable[str]:
    """Yield the fields of a prompt that decide what a replica runs."""
    yield prompt.model
    yield f"{prompt.input_tokens},{prompt.output_tokens}"
    yield ",".join(f"{part.part_id}:{part.tokens}" for part in prompt.parts)


def encode(text: str) -> bytes:
    """Encode text that callers choose."""
    return text.encode("utf-8", "surrogatepass")


def digest_request(request: RelayRequest, workspace: str | None) -> str:
    """Return the identity of a request, the same at all daemons.

    Each field is preceded by its length, and the digest is keyed by the
    workspace, so that no caller can write a request with the identity of
    another caller's.
    """
    caller = hashlib.blake2b(encode(workspace or "")).digest()
    digest = hashlib.blake2b(
        digest_size=DIGEST_BYTES, key=caller, person=DIGEST_PURPOSE
    )
    fields = (
        request.method,
        request.host,
        request.target,
        *prompt_fields(request.prompt),
        ",".join(map(str, request.piece_counts)),
    )
    for field in fields:
        data = encode(field)
        digest.update(len(data).to_bytes(LENGTH_BYTES))
        digest.update(data)
    digest.update(request.body)
    return digest.hexdigest()


def request_traits(request: RelayRequest, workspace: str | None) -> Traits:
    """Return the shared parts of a request and the request itself."""
    identity = REQUEST_PREFIX + digest_request(request, workspace)
    return (*shared_part_ids(request.prompt), identity)
