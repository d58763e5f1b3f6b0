"""Export and import KV cache, and publish what is cached."""

from typing import Annotated

from berylcart.protocol.json_values import (
    MessageError,
    read_message,
    to_plain,
)
from pydantic import Field, TypeAdapter
from starlette.requests import Request
from starlette.responses import Response
from starlette.routing import Route
from typing_extensions import TypedDict

from berylcart_tools.standins.cache_events import CacheEventFeed
from berylcart_tools.standins.clock import sleep_ms
from berylcart_tools.standins.prefix_cache import PrefixCache
from berylcart_tools.standins.replies import (
    checked,
    json_answer,
    no_content,
)

KV_PATH = "/v1/kv/{prefix}"
EVENTS_PATH = "/v1/cache-events"
BLOCK_TRANSFER_MS = 0.2

Key = Annotated[str, Field(pattern="^[0-9a-f]{16}$")]


class KvMessage(TypedDict):
    """Carry the blocks of one prefix, the shortest first."""

    keys: Annotated[list[Key], Field(min_length=1, max_length=4096)]


KV = TypeAdapter(KvMessage)


class KvDesk:
    """Move the KV cache of prefixes out of and into one engine."""

    def __init__(self, cache: PrefixCache, feed: CacheEventFeed) -> None:
        self.cache = cache
        self.feed = feed

    def routes(self) -> list[Route]:
        """Offer the calls on the cache."""
        return [
            Route(KV_PATH, self.export, methods=["GET"]),
            Route(KV_PATH, checked(self.take), methods=["PUT"]),
            Route(EVENTS_PATH, checked(self.events), methods=["GET"]),
        ]

    async def export(self, request: Request) -> Response:
        """Export one prefix, when all of it is cached."""
        keys = self.cache.chain(request.path_params["prefix"])
        if not keys:
            return json_answer({"detail": "not cached"}, 404)
        await sleep_ms(BLOCK_TRANSFER_MS * len(keys))
        return json_answer(KvMessage(keys=keys))

    async def take(self, request: Request) -> Response:
        """Import one prefix."""
        keys = read_message(KV, await request.body())["keys"]
        if keys[-1] != request.path_params["prefix"]:
            raise MessageError("the path names another prefix")
        await sleep_ms(BLOCK_TRANSFER_MS * len(keys))
        self.cache.store(keys)
        return no_content()

    async def events(self, request: Request) -> Response:
        """Show the cache events from a sequence on."""
        text = request.query_params.get("since", "0")
        if not (text.isascii() and text.isdigit()):
            raise MessageError("since is a whole number")
        shown, following = self.feed.since(int(text))
        return json_answer({"events": to_plain(shown), "next": following})
