"""Build the payload of each stage from the outputs of earlier stages."""

from collections.abc import Mapping
from typing import Any

from berylcart.state.config import ServiceKind
from berylcart.state.errors import BerylcartError, Code

DEFAULT_MAX_TOKENS = 64
MAX_TOKENS_LIMIT = 4096

Context = Mapping[str, Any]


def required(context: Context, key: str, kind: ServiceKind) -> Any:
    """Return a value of the context; raises BAD_REQUEST if missing."""
    if key not in context:
        raise BerylcartError(
            Code.BAD_REQUEST, f"a stage of kind {kind} needs {key!r}"
        )
    return context[key]


def prompt_of(context: Context) -> str:
    r"""Build the prompt from the retrieved documents and the text.

    >>> prompt_of({"text": "how to iron wool", "documents": ["use steam"]})
    'use steam\nhow to iron wool'
    """
    if "prompt" in context:
        return str(context["prompt"])
    text = required(context, "text", ServiceKind.ENGINE)
    documents = context.get("documents", [])
    return "\n".join([*map(str, documents), str(text)])


def max_tokens_of(context: Context) -> int:
    """Return the validated max_tokens; raises BAD_REQUEST."""
    value = context.get("max_tokens", DEFAULT_MAX_TOKENS)
    is_integer = isinstance(value, int) and not isinstance(value, bool)
    if not is_integer or not 1 <= value <= MAX_TOKENS_LIMIT:
        raise BerylcartError(
            Code.BAD_REQUEST,
            f"max_tokens must be a whole number from 1 to {MAX_TOKENS_LIMIT}",
        )
    return int(value)


def stage_payload(kind: ServiceKind, context: Context) -> dict[str, Any]:
    """Select the part of the context that a kind of stage reads.

    >>> stage_payload(ServiceKind.ENCODER, {"text": "hem", "page": 2})
    {'text': 'hem'}
    """
    match kind:
        case ServiceKind.ENCODER:
            return {"text": required(context, "text", kind)}
        case ServiceKind.RETRIEVER:
            return {"vector": required(context, "vector", kind)}
        case ServiceKind.RERANKER:
            return {
                "documents": required(context, "documents", kind),
                "text": required(context, "text", kind),
            }
        case ServiceKind.ENGINE:
            return {
                "prompt": prompt_of(context),
                "max_tokens": max_tokens_of(context),
            }
        case ServiceKind.PLAIN:
            return dict(context)


def merge_output(
    context: Context, service: str, kind: ServiceKind, output: Any
) -> dict[str, Any]:
    """Return the context for later stages, with a stage's output added.

    >>> merge_output({"text": "hem"}, "enc", ServiceKind.ENCODER,
    ...              {"vector": [0.5]})
    {'text': 'hem', 'vector': [0.5]}
    """
    if kind is ServiceKind.PLAIN or not isinstance(output, dict):
        return {**context, service: output}
    return {**context, **output}
