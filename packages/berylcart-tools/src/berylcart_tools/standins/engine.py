"""Simulate a model engine with continuous batching and a prefix cache."""

from typing import Annotated, Any, NamedTuple, NotRequired

import anyio
from anyio.abc import TaskStatus
from berylcart.protocol.json_codec import (
    MessageError,
    describe_validation_error,
)
from berylcart.protocol.upstream_messages import RunMessage
from berylcart.state.prefixes import prefix_keys
from berylcart.transport.http_client import HttpClient
from pydantic import Field, TypeAdapter, ValidationError
from typing_extensions import TypedDict

from berylcart_tools.standins.attempt_executor import (
    AttemptContext,
    ExecutionResult,
)
from berylcart_tools.standins.cache_events import CacheEventFeed
from berylcart_tools.standins.continuous_batching import (
    Batcher,
    Prompt,
    Sequence,
    StepCostModel,
)
from berylcart_tools.standins.faults import Faults
from berylcart_tools.standins.kv_transfer import KvCacheHandler
from berylcart_tools.standins.load_report import Load
from berylcart_tools.standins.orders import OrderHandler
from berylcart_tools.standins.prefix_cache import CAPACITY_BLOCKS, PrefixCache
from berylcart_tools.standins.registration import (
    UpstreamSettings,
    instance_name,
    with_incarnation,
)
from berylcart_tools.standins.tokens import digest_prompt
from berylcart_tools.standins.upstream import UpstreamStandin, serve_upstream
from berylcart_tools.standins.weight_loader import WeightLoader

MAX_TOKENS = 4096


class EnginePayload(TypedDict):
    """Carry the engine-specific payload of an attempt."""

    prompt: str
    max_tokens: Annotated[int, Field(gt=0, le=MAX_TOKENS)]
    model: NotRequired[str]


PAYLOAD = TypeAdapter(EnginePayload)


class EngineSettings(NamedTuple):
    """Configure an engine's VM, step cost, cache, events and orders.

    The capacity of the upstream is the maximum batch size. event_loss is
    the probability that a cache event is dropped. With an empty
    weight_store, models load immediately.
    """

    upstream: UpstreamSettings
    cost: StepCostModel = StepCostModel()
    cache_blocks: int = CAPACITY_BLOCKS
    event_lag_ms: int = 500
    event_loss: float = 0.05
    seed: int = 0
    models: tuple[str, ...] = ()
    is_fencing_checked: bool = True
    weight_store: str = ""


class EngineExecutor:
    """Execute attempts by generating tokens in a continuous batch."""

    is_cancelled_on_disconnect = True
    is_streaming_supported = True

    def __init__(
        self,
        settings: EngineSettings,
        faults: Faults,
        order_handler: OrderHandler,
    ) -> None:
        upstream = settings.upstream
        self.faults = faults
        self.order_handler = order_handler
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
        """Raise MessageError for an invalid payload or a model not loaded."""
        try:
            payload = PAYLOAD.validate_python(message["payload"], strict=True)
        except ValidationError as error:
            raise MessageError(describe_validation_error(error)) from None
        if message["start_offset"] > payload["max_tokens"]:
            raise MessageError("start_offset is past max_tokens")
        model = payload.get("model")
        if (
            model is not None
            and model not in self.order_handler.state["models"]
        ):
            raise MessageError("the model is not loaded")

    def load(self) -> Load:
        """Return the number of running and of queued sequences."""
        return Load(self.batcher.running, self.batcher.queued)

    def is_full(self) -> bool:
        """Return whether another sequence would be refused."""
        return self.batcher.is_full()

    async def run(self, context: AttemptContext) -> ExecutionResult:
        """Generate the tokens of one attempt."""
        prompt = self.build_prompt(context.message)
        sequence = Sequence(prompt, context.on_start, context.emit)
        await self.batcher.generate(sequence)
        output: dict[str, Any] = {"text": "".join(sequence.token_texts)}
        return ExecutionResult(output, sequence.usage())

    def build_prompt(self, message: RunMessage) -> Prompt:
        """Build a prompt; its prefix is looked up when the sequence starts."""
        payload = message["payload"]
        text = payload["prompt"]

        def cache_prefix() -> int:
            if self.faults.consume_expire():
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
            cache_prefix,
        )


async def serve_engine(
    settings: EngineSettings,
    *,
    stop: anyio.Event | None = None,
    task_status: TaskStatus[str] = anyio.TASK_STATUS_IGNORED,
) -> None:
    """Serve an engine until stop is set; reports its address once started."""
    faults = Faults()
    upstream = with_incarnation(settings.upstream)
    async with HttpClient() as client, anyio.create_task_group() as tasks:
        instance = instance_name(upstream)
        loader = WeightLoader(settings.weight_store, instance, client)
        order_handler = OrderHandler(
            settings.models,
            loader,
            instance,
            is_fencing_checked=settings.is_fencing_checked,
        )
        executor = EngineExecutor(settings, faults, order_handler)
        tasks.start_soon(executor.batcher.run)
        kv_handler = KvCacheHandler(executor.cache, executor.feed)
        await serve_upstream(
            "engine",
            UpstreamStandin(upstream, executor, faults),
            extra_routes=[*order_handler.routes(), *kv_handler.routes()],
            stop=stop,
            task_status=task_status,
        )
        tasks.cancel_scope.cancel()
