"""Export and import KV cache blocks, and serve the cache events."""

from typing import Annotated

from berylcart.protocol.json_codec import (
    MessageError,
    read_message,
    to_builtins,
)
from pydantic import Field, TypeAdapter
from starlette.requests import Request
from starlette.responses import Response
from starlette.routing import Route
from typing_extensions import TypedDict

from berylcart_tools.standins.cache_events import CacheEventFeed
from berylcart_tools.standins.clock import sleep_ms
from berylcart_tools.standins.http_responses import (
    json_response,
    no_content,
    reject_malformed,
)
from berylcart_tools.standins.prefix_cache import PrefixCache

KV_PATH = "/v1/kv/{prefix}"
EVENTS_PATH = "/v1/cache-events"
BLOCK_TRANSFER_MS = 0.2

Key = Annotated[str, Field(pattern="^[0-9a-f]{16}$")]


class KvMessage(TypedDict):
    """Carry the block keys of one prefix, ordered from its start."""

    keys: Annotated[list[Key], Field(min_length=1, max_length=4096)]


KV = TypeAdapter(KvMessage)


class KvCacheHandler:
    """Serve the export and import of one engine's cached prefixes."""

    def __init__(self, cache: PrefixCache, feed: CacheEventFeed) -> None:
        self.cache = cache
        self.feed = feed

    def routes(self) -> list[Route]:
        """Return the routes for the KV cache and its events."""
        return [
            Route(KV_PATH, self.export_prefix, methods=["GET"]),
            Route(
                KV_PATH, reject_malformed(self.import_prefix), methods=["PUT"]
            ),
            Route(
                EVENTS_PATH,
                reject_malformed(self.list_events),
                methods=["GET"],
            ),
        ]

    async def export_prefix(self, request: Request) -> Response:
        """Export one prefix, or answer 404 unless every block is cached."""
        keys = self.cache.prefix_blocks(request.path_params["prefix"])
        if not keys:
            return json_response({"detail": "not cached"}, 404)
        await sleep_ms(BLOCK_TRANSFER_MS * len(keys))
        return json_response(KvMessage(keys=keys))

    async def import_prefix(self, request: Request) -> Response:
        """Store the blocks of an imported prefix."""
        keys = read_message(KV, await request.body())["keys"]
        if keys[-1] != request.path_params["prefix"]:
            raise MessageError("the path names another prefix")
        await sleep_ms(BLOCK_TRANSFER_MS * len(keys))
        self.cache.store(keys)
        return no_content()

    async def list_events(self, request: Request) -> Response:
        """List the visible cache events from a sequence number on."""
        text = request.query_params.get("since", "0")
        if not (text.isascii() and text.isdigit()):
            raise MessageError("since is a whole number")
        visible, next_sequence = self.feed.events_since(int(text))
        return json_response(
            {"events": to_builtins(visible), "next": next_sequence}
        )
