"""Stand in for the platform's rate-limited weight store."""

from typing import Annotated, NamedTuple

import anyio
from anyio.abc import TaskStatus
from berylcart.protocol.json_values import read_message
from pydantic import Field, TypeAdapter
from starlette.applications import Starlette
from starlette.requests import Request
from starlette.responses import Response
from starlette.routing import Route
from typing_extensions import TypedDict

from berylcart_tools.standins.faults import Faults
from berylcart_tools.standins.replies import (
    checked,
    json_answer,
    retry_header,
)
from berylcart_tools.standins.serve import serve_app
from berylcart_tools.standins.token_bucket import TokenBucket

LOADS_PATH = "/v1/loads"
LOADS_PER_S = 1.0
LOAD_S = 0.5

Name = Annotated[str, Field(min_length=1)]


class WeightStoreSettings(NamedTuple):
    """Set the store's address, its rate and how long one load takes."""

    address: str = "127.0.0.1:0"
    loads_per_s: float = LOADS_PER_S
    load_s: float = LOAD_S


class LoadRequestMessage(TypedDict):
    """Ask for one load of a model onto an instance."""

    instance: Name
    model: Name


LOAD_REQUEST = TypeAdapter(LoadRequestMessage)


class WeightStoreStandin:
    """Grant loads within a rate."""

    def __init__(self, settings: WeightStoreSettings) -> None:
        self.faults = Faults()
        self.load_s = settings.load_s
        self.bucket = TokenBucket(settings.loads_per_s, 1.0)
        self.granted: list[LoadRequestMessage] = []

    def app(self) -> Starlette:
        """Build the application."""
        return Starlette(
            routes=[
                Route(LOADS_PATH, checked(self.load), methods=["POST"]),
                Route("/admin/loads", self.show, methods=["GET"]),
                *self.faults.routes(),
            ]
        )

    async def load(self, request: Request) -> Response:
        """Grant one load."""
        message = read_message(LOAD_REQUEST, await request.body())
        if not self.bucket.take():
            headers = retry_header(self.bucket.wait_ms())
            return json_answer({"detail": "load rate"}, 429, headers)
        self.granted.append(message)
        return json_answer({"seconds": self.load_s * self.faults.slow_factor})

    async def show(self, request: Request) -> Response:
        """List the loads that were granted."""
        return json_answer({"loads": self.granted})


async def serve_weight_store(
    settings: WeightStoreSettings,
    *,
    stop: anyio.Event | None = None,
    task_status: TaskStatus[str] = anyio.TASK_STATUS_IGNORED,
) -> None:
    """Serve the weight store until stop is set; starts with its address."""
    standin = WeightStoreStandin(settings)
    await serve_app(
        "weight-store",
        standin.app(),
        standin.faults,
        settings.address,
        stop=stop,
        task_status=task_status,
    )
