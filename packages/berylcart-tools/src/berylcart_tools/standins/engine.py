"""Stand in for a model engine."""

from typing import Annotated, Any, NamedTuple, NotRequired

import anyio
from anyio.abc import TaskStatus
from berylcart.protocol.json_values import MessageError, describe_fault
from berylcart.protocol.upstream_messages import RunMessage
from berylcart.state.prefixes import prefix_keys
from berylcart.transport.http_client import HttpClient
from pydantic import Field, TypeAdapter, ValidationError
from typing_extensions import TypedDict

from berylcart_tools.standins.cache_events import CacheEventFeed
from berylcart_tools.standins.engine_batch import (
    Batcher,
    CostModel,
    Prompt,
    Sequence,
)
from berylcart_tools.standins.faults import Faults
from berylcart_tools.standins.kv import KvDesk
from berylcart_tools.standins.load_report import Load
from berylcart_tools.standins.orders import OrderDesk
from berylcart_tools.standins.prefix_cache import CAPACITY_BLOCKS, PrefixCache
from berylcart_tools.standins.registration import (
    UpstreamSettings,
    identify,
    instance_name,
)
from berylcart_tools.standins.tokens import digest_prompt
from berylcart_tools.standins.upstream import UpstreamStandin, serve_upstream
from berylcart_tools.standins.weights import WeightLoader
from berylcart_tools.standins.work import Job, Result

MAX_TOKENS = 4096


class EnginePayload(TypedDict):
    """Carry what an attempt asks an engine for."""

    prompt: str
    max_tokens: Annotated[int, Field(gt=0, le=MAX_TOKENS)]
    model: NotRequired[str]


PAYLOAD = TypeAdapter(EnginePayload)


class EngineSettings(NamedTuple):
    """Set an engine's VM, its costs, its cache and its orders.

    The upstream's capacity is the largest batch. event_loss is the share
    of cache events that is lost. An empty weight_store loads at once.
    """

    upstream: UpstreamSettings
    cost: CostModel = CostModel()
    cache_blocks: int = CAPACITY_BLOCKS
    event_lag_ms: int = 500
    event_loss: float = 0.05
    seed: int = 0
    models: tuple[str, ...] = ()
    is_fencing_checked: bool = True
    weight_store: str = ""


class EngineWork:
    """Generate tokens in a continuous batch."""

    is_cancelled_by_close = True
    is_streaming = True

    def __init__(
        self, settings: EngineSettings, faults: Faults, desk: OrderDesk
    ) -> None:
        upstream = settings.upstream
        self.faults = faults
        self.desk = desk
        self.feed = CacheEventFeed(
            settings.event_lag_ms, settings.event_loss, settings.seed
        )
        self.cache = PrefixCache(self.feed.publish, settings.cache_blocks)
        self.batcher = Batcher(
            settings.cost,
            upstream.capacity,
            upstream.max_queued,
            lambda: faults.slow_factor,
        )

    def check(self, message: RunMessage) -> None:
        """Raise MessageError on a payload or model that is not served."""
        try:
            payload = PAYLOAD.validate_python(message["payload"], strict=True)
        except ValidationError as error:
            raise MessageError(describe_fault(error)) from None
        if message["start_offset"] > payload["max_tokens"]:
            raise MessageError("start_offset is past max_tokens")
        model = payload.get("model")
        if model is not None and model not in self.desk.state["models"]:
            raise MessageError("the model is not loaded")

    def load(self) -> Load:
        """Count the sequences that run and those that wait."""
        return Load(self.batcher.running, self.batcher.queued)

    def is_full(self) -> bool:
        """Say whether a further sequence would be refused."""
        return self.batcher.is_full()

    async def run(self, job: Job) -> Result:
        """Generate one attempt's tokens."""
        prompt = self.prompt(job.message)
        sequence = Sequence(prompt, job.began, job.emit)
        await self.batcher.generate(sequence)
        output: dict[str, Any] = {"text": "".join(sequence.texts)}
        return Result(output, sequence.usage())

    def prompt(self, message: RunMessage) -> Prompt:
        """Read what to generate; its prefix is looked up when it begins."""
        payload = message["payload"]
        text = payload["prompt"]

        def uncached_words() -> int:
            if self.faults.take_expire():
                self.cache.clear()
            keys = prefix_keys(text)
            words = len(text.split()) + message["start_offset"]
            words -= self.cache.match(keys)
            self.cache.store(keys)
            return words

        return Prompt(
            digest_prompt(text),
            message["start_offset"],
            payload["max_tokens"],
            message["priority"],
            uncached_words,
        )


async def serve_engine(
    settings: EngineSettings,
    *,
    stop: anyio.Event | None = None,
    task_status: TaskStatus[str] = anyio.TASK_STATUS_IGNORED,
) -> None:
    """Serve an engine until stop is set; starts with its address."""
    faults = Faults()
    upstream = identify(settings.upstream)
    async with HttpClient() as client, anyio.create_task_group() as tasks:
        instance = instance_name(upstream)
        loader = WeightLoader(settings.weight_store, instance, client)
        desk = OrderDesk(
            settings.models,
            loader,
            instance,
            is_fencing_checked=settings.is_fencing_checked,
        )
        engine = EngineWork(settings, faults, desk)
        tasks.start_soon(engine.batcher.run)
        kv_desk = KvDesk(engine.cache, engine.feed)
        await serve_upstream(
            "engine",
            UpstreamStandin(upstream, engine, faults),
            extra_routes=[*desk.routes(), *kv_desk.routes()],
            stop=stop,
            task_status=task_status,
        )
        tasks.cancel_scope.cancel()
