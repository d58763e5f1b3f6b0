"""Simulate pools of encoders, retrievers and rerankers."""

from functools import singledispatch
from typing import Any, NamedTuple

import anyio
import xxhash
from anyio.abc import TaskStatus
from berylcart.protocol.upstream_messages import RunMessage
from berylcart.state.config import ServiceKind

from berylcart_tools.standins.attempt_executor import (
    AttemptContext,
    ConcurrencyLimiter,
    ExecutionResult,
    payload_field,
)
from berylcart_tools.standins.faults import Faults
from berylcart_tools.standins.load_report import Load
from berylcart_tools.standins.registration import UpstreamSettings
from berylcart_tools.standins.upstream import UpstreamStandin, serve_upstream

STEP_MS = 4.0
VECTOR_LENGTH = 8
DOCUMENT_COUNT = 4
MAX_BYTE = 255


class PoolSettings(NamedTuple):
    """Configure a pool's VM, its kind and the duration of a call."""

    upstream: UpstreamSettings
    kind: ServiceKind = ServiceKind.ENCODER
    step_ms: float = STEP_MS


class Encoder(NamedTuple):
    """Select the model that maps a text to a vector."""


class Retriever(NamedTuple):
    """Select the model that finds the documents nearest to a vector."""


class Reranker(NamedTuple):
    """Select the model that sorts documents by relevance to a text."""


Model = Encoder | Retriever | Reranker

MODELS: dict[ServiceKind, Model] = {
    ServiceKind.ENCODER: Encoder(),
    ServiceKind.RETRIEVER: Retriever(),
    ServiceKind.RERANKER: Reranker(),
}


def embed(text: str) -> list[float]:
    """Return a pseudo-random vector that depends on the text alone.

    >>> embed("hem") == embed("hem"), len(embed("hem"))
    (True, 8)
    """
    digest = xxhash.xxh64_digest(text.encode())
    return [round(byte / MAX_BYTE, 3) for byte in digest[:VECTOR_LENGTH]]


def find_documents(vector: list[Any]) -> list[str]:
    """Return pseudo-random document names that depend on the vector alone.

    >>> find_documents([0.5]) == find_documents([0.5])
    True
    """
    digest = xxhash.xxh64_hexdigest(repr(vector).encode())
    return [
        f"document-{digest[i * 4 : i * 4 + 4]}" for i in range(DOCUMENT_COUNT)
    ]


def rerank_documents(documents: list[Any], text: str) -> list[Any]:
    """Sort documents in a pseudo-random order that depends on the text.

    >>> sorted(rerank_documents(["a", "b"], "hem"))
    ['a', 'b']
    """

    def relevance(document: Any) -> str:
        return xxhash.xxh64_hexdigest(f"{document}{text}".encode())

    return sorted(documents, key=relevance)


@singledispatch
def compute_output(model: Model, message: RunMessage) -> dict[str, Any]:
    """Compute a model's output; raises MessageError on an invalid payload."""
    raise TypeError(type(model))


@compute_output.register
def compute_encoder_output(
    model: Encoder, message: RunMessage
) -> dict[str, Any]:
    """Encode the payload's text as a vector."""
    return {"vector": embed(payload_field(message, "text", str))}


@compute_output.register
def compute_retriever_output(
    model: Retriever, message: RunMessage
) -> dict[str, Any]:
    """Find the documents nearest to the payload's vector."""
    vector = payload_field(message, "vector", list)
    return {"documents": find_documents(vector)}


@compute_output.register
def compute_reranker_output(
    model: Reranker, message: RunMessage
) -> dict[str, Any]:
    """Sort the payload's documents by relevance to its text."""
    documents = payload_field(message, "documents", list)
    text = payload_field(message, "text", str)
    return {"documents": rerank_documents(documents, text)}


class PoolExecutor:
    """Execute calls of one model, a bounded number at once."""

    is_cancelled_on_disconnect = True
    is_streaming_supported = False

    def __init__(self, settings: PoolSettings, faults: Faults) -> None:
        upstream = settings.upstream
        self.model = MODELS[settings.kind]
        self.limiter = ConcurrencyLimiter(
            upstream.capacity,
            upstream.max_queued,
            settings.step_ms,
            lambda: faults.slow_factor,
        )

    def check(self, message: RunMessage) -> None:
        """Raise MessageError on an invalid payload."""
        compute_output(self.model, message)

    def load(self) -> Load:
        """Return the number of running and of queued calls."""
        return self.limiter.load()

    def is_full(self) -> bool:
        """Return whether another call would be refused."""
        return self.limiter.is_full()

    async def run(self, context: AttemptContext) -> ExecutionResult:
        """Execute one call and return the model's output."""
        usage = await self.limiter.run_step(context.on_start)
        return ExecutionResult(
            compute_output(self.model, context.message), usage
        )


async def serve_pool(
    settings: PoolSettings,
    *,
    stop: anyio.Event | None = None,
    task_status: TaskStatus[str] = anyio.TASK_STATUS_IGNORED,
) -> None:
    """Serve a pool until stop is set; reports its address once started."""
    faults = Faults()
    executor = PoolExecutor(settings, faults)
    standin = UpstreamStandin(settings.upstream, executor, faults)
    await serve_upstream(
        settings.kind.value, standin, stop=stop, task_status=task_status
    )
