"""Simulate the platform's rate-limited weight store."""

from typing import Annotated, NamedTuple

import anyio
from anyio.abc import TaskStatus
from berylcart.protocol.json_codec import read_message
from pydantic import Field, TypeAdapter
from starlette.applications import Starlette
from starlette.requests import Request
from starlette.responses import Response
from starlette.routing import Route
from typing_extensions import TypedDict

from berylcart_tools.standins.faults import Faults
from berylcart_tools.standins.http_responses import (
    json_response,
    reject_malformed,
    retry_after_header,
)
from berylcart_tools.standins.serve import serve_app
from berylcart_tools.standins.token_bucket import TokenBucket

LOADS_PATH = "/v1/loads"
LOADS_PER_S = 1.0
LOAD_S = 0.5

Name = Annotated[str, Field(min_length=1)]


class WeightStoreSettings(NamedTuple):
    """Configure the store's address, its rate limit and load duration."""

    address: str = "127.0.0.1:0"
    loads_per_s: float = LOADS_PER_S
    load_s: float = LOAD_S


class LoadRequestMessage(TypedDict):
    """Carry a request to load one model onto an instance."""

    instance: Name
    model: Name


LOAD_REQUEST = TypeAdapter(LoadRequestMessage)


class WeightStoreStandin:
    """Grant weight loads at a limited rate."""

    def __init__(self, settings: WeightStoreSettings) -> None:
        self.faults = Faults()
        self.load_s = settings.load_s
        self.bucket = TokenBucket(settings.loads_per_s, 1.0)
        self.granted: list[LoadRequestMessage] = []

    def app(self) -> Starlette:
        """Build the ASGI application."""
        return Starlette(
            routes=[
                Route(
                    LOADS_PATH, reject_malformed(self.load), methods=["POST"]
                ),
                Route("/admin/loads", self.list_granted, methods=["GET"]),
                *self.faults.routes(),
            ]
        )

    async def load(self, request: Request) -> Response:
        """Grant one load and return its duration, or answer 429."""
        message = read_message(LOAD_REQUEST, await request.body())
        if not self.bucket.try_take():
            headers = retry_after_header(self.bucket.wait_ms())
            return json_response({"detail": "load rate"}, 429, headers)
        self.granted.append(message)
        return json_response(
            {"seconds": self.load_s * self.faults.slow_factor}
        )

    async def list_granted(self, request: Request) -> Response:
        """List the granted loads, the oldest first."""
        return json_response({"loads": self.granted})


async def serve_weight_store(
    settings: WeightStoreSettings,
    *,
    stop: anyio.Event | None = None,
    task_status: TaskStatus[str] = anyio.TASK_STATUS_IGNORED,
) -> None:
    """Serve the store until stop is set; reports its address once started."""
    standin = WeightStoreStandin(settings)
    await serve_app(
        "weight-store",
        standin.app(),
        standin.faults,
        settings.address,
        stop=stop,
        task_status=task_status,
    )
