"""Stand in for encoders, retrievers and rerankers."""

from functools import singledispatch
from typing import Any, NamedTuple

import anyio
import xxhash
from anyio.abc import TaskStatus
from berylcart.protocol.upstream_messages import RunMessage
from berylcart.state.config import ServiceKind

from berylcart_tools.standins.faults import Faults
from berylcart_tools.standins.load_report import Load
from berylcart_tools.standins.registration import UpstreamSettings
from berylcart_tools.standins.upstream import UpstreamStandin, serve_upstream
from berylcart_tools.standins.work import Job, Result, Slots, payload_field

STEP_MS = 4.0
VECTOR_LENGTH = 8
DOCUMENT_COUNT = 4
BYTE_MAX = 255


class PoolSettings(NamedTuple):
    """Set a stage pool's VM, its kind and how long a call takes."""

    upstream: UpstreamSettings
    kind: ServiceKind = ServiceKind.ENCODER
    step_ms: float = STEP_MS


class Encoder(NamedTuple):
    """Turn a text into a vector."""


class Retriever(NamedTuple):
    """Find the documents near a vector."""


class Reranker(NamedTuple):
    """Order documents by how well they fit a text."""


Model = Encoder | Retriever | Reranker

MODELS: dict[ServiceKind, Model] = {
    ServiceKind.ENCODER: Encoder(),
    ServiceKind.RETRIEVER: Retriever(),
    ServiceKind.RERANKER: Reranker(),
}


def embed(text: str) -> list[float]:
    """Give a deterministic vector for a text.

    >>> embed("hem") == embed("hem"), len(embed("hem"))
    (True, 8)
    """
    digest = xxhash.xxh64_digest(text.encode())
    return [round(byte / BYTE_MAX, 3) for byte in digest[:VECTOR_LENGTH]]


def find_documents(vector: list[Any]) -> list[str]:
    """Name the documents near a vector.

    >>> find_documents([0.5]) == find_documents([0.5])
    True
    """
    digest = xxhash.xxh64_hexdigest(repr(vector).encode())
    return [
        f"document-{digest[i * 4 : i * 4 + 4]}" for i in range(DOCUMENT_COUNT)
    ]


def rank(documents: list[Any], text: str) -> list[Any]:
    """Order documents in a way that depends on the text alone.

    >>> sorted(rank(["a", "b"], "hem"))
    ['a', 'b']
    """

    def fit(document: Any) -> str:
        return xxhash.xxh64_hexdigest(f"{document}{text}".encode())

    return sorted(documents, key=fit)


@singledispatch
def answer(model: Model, message: RunMessage) -> dict[str, Any]:
    """Give a model's output; raises MessageError on a wrong payload."""
    raise TypeError(type(model))


@answer.register
def answer_encoder(model: Encoder, message: RunMessage) -> dict[str, Any]:
    """Encode a text."""
    return {"vector": embed(payload_field(message, "text", str))}


@answer.register
def answer_retriever(model: Retriever, message: RunMessage) -> dict[str, Any]:
    """Retrieve documents."""
    vector = payload_field(message, "vector", list)
    return {"documents": find_documents(vector)}


@answer.register
def answer_reranker(model: Reranker, message: RunMessage) -> dict[str, Any]:
    """Rerank documents."""
    documents = payload_field(message, "documents", list)
    text = payload_field(message, "text", str)
    return {"documents": rank(documents, text)}


class PoolWork:
    """Run one model's calls in slots."""

    is_cancelled_by_close = True
    is_streaming = False

    def __init__(self, settings: PoolSettings, faults: Faults) -> None:
        upstream = settings.upstream
        self.model = MODELS[settings.kind]
        self.slots = Slots(
            upstream.capacity,
            upstream.max_queued,
            settings.step_ms,
            lambda: faults.slow_factor,
        )

    def check(self, message: RunMessage) -> None:
        """Raise MessageError on a wrong payload."""
        answer(self.model, message)

    def load(self) -> Load:
        """Count the calls that run and those that wait."""
        return self.slots.load()

    def is_full(self) -> bool:
        """Say whether a further call would be refused."""
        return self.slots.is_full()

    async def run(self, job: Job) -> Result:
        """Do one call."""
        usage = await self.slots.hold(job.began)
        return Result(answer(self.model, job.message), usage)


async def serve_pool(
    settings: PoolSettings,
    *,
    stop: anyio.Event | None = None,
    task_status: TaskStatus[str] = anyio.TASK_STATUS_IGNORED,
) -> None:
    """Serve a stage pool until stop is set; starts with its address."""
    faults = Faults()
    work = PoolWork(settings, faults)
    standin = UpstreamStandin(settings.upstream, work, faults)
    await serve_upstream(
        settings.kind.value, standin, stop=stop, task_status=task_status
    )
