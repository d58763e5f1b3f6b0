"""Apply desired-state orders to an engine, with optional fencing."""

from typing import Annotated, Protocol

import anyio
from berylcart.protocol.json_codec import read_message
from berylcart.protocol.upstream_messages import INSTANCE_HEADER
from pydantic import ConfigDict, Field, TypeAdapter, with_config
from starlette.requests import Request
from starlette.responses import Response
from starlette.routing import Route
from typing_extensions import TypedDict

from berylcart_tools.standins.http_responses import (
    json_response,
    reject_malformed,
)

ORDERS_PATH = "/v1/orders"
STATUS_CONFLICT = 409
STATUS_PRECONDITION_FAILED = 412

NameList = list[Annotated[str, Field(min_length=1)]]


@with_config(ConfigDict(extra="forbid"))
class DesiredMessage(TypedDict):
    """Carry the complete desired state of an engine."""

    models: NameList
    adapters: NameList
    version: str
    role: str


@with_config(ConfigDict(extra="forbid"))
class OrderMessage(TypedDict):
    """Carry one order and the fencing number of its sender."""

    fencing: Annotated[int, Field(ge=0)]
    desired: DesiredMessage


ORDER = TypeAdapter(OrderMessage)


class Loader(Protocol):
    """Load model and adapter weights."""

    async def load(self, name: str) -> None:
        """Load the weights of one model or adapter."""
        ...


class OrderHandler:
    """Hold the state in effect and apply orders one at a time."""

    def __init__(
        self,
        models: tuple[str, ...],
        loader: Loader,
        instance: str,
        *,
        is_fencing_checked: bool,
    ) -> None:
        self.state = DesiredMessage(
            models=list(models), adapters=[], version="", role=""
        )
        self.loader = loader
        self.instance = instance
        self.is_fencing_checked = is_fencing_checked
        self.highest_fencing = 0
        self.fencing = 0
        self.lock = anyio.Lock()
        self.applied: list[OrderMessage] = []

    def routes(self) -> list[Route]:
        """Return the routes for orders."""
        return [
            Route(
                ORDERS_PATH,
                reject_malformed(self.post_order),
                methods=["POST"],
            ),
            Route(ORDERS_PATH, self.get_state, methods=["GET"]),
            Route("/admin/orders", self.list_applied, methods=["GET"]),
        ]

    async def get_state(self, request: Request) -> Response:
        """Return the state in effect and its fencing number."""
        return json_response({"fencing": self.fencing, **self.state})

    async def list_applied(self, request: Request) -> Response:
        """List the applied orders, the oldest first."""
        return json_response({"orders": self.applied})

    async def post_order(self, request: Request) -> Response:
        """Apply one order, or answer 409 if its fencing number is stale."""
        order = read_message(ORDER, await request.body())
        expected_instance = request.headers.get(INSTANCE_HEADER, self.instance)
        if expected_instance != self.instance:
            return json_response(
                {"instance": self.instance}, STATUS_PRECONDITION_FAILED
            )
        if await self.load_and_apply(order):
            return json_response({"applied": True})
        return json_response(
            {"fencing": self.highest_fencing}, STATUS_CONFLICT
        )

    async def load_and_apply(self, order: OrderMessage) -> bool:
        """Load an order's weights and apply it; returns False if stale."""
        self.highest_fencing = max(self.highest_fencing, order["fencing"])
        async with self.lock:
            await self.load_weights(order)
            # A newer order may have arrived while the weights were loading.
            if self.is_stale(order):
                return False
            self.apply(order)
        return True

    def is_stale(self, order: OrderMessage) -> bool:
        """Return whether fencing is checked and a higher number was seen."""
        if not self.is_fencing_checked:
            return False
        return order["fencing"] < self.highest_fencing

    async def load_weights(self, order: OrderMessage) -> None:
        """Load the missing weights, stopping once the order is stale."""
        desired = order["desired"]
        is_same_version = desired["version"] == self.state["version"]
        loaded = {*self.state["models"], *self.state["adapters"]}
        for name in (*desired["models"], *desired["adapters"]):
            is_needed = not is_same_version or name not in loaded
            if is_needed and not self.is_stale(order):
                await self.loader.load(name)

    def apply(self, order: OrderMessage) -> None:
        """Replace the state in effect by the order's desired state."""
        self.state = order["desired"]
        self.fencing = order["fencing"]
        self.applied.append(order)
