"""Apply orders to an engine, with fencing numbers checked or ignored."""

from typing import Annotated, Protocol

import anyio
from berylcart.protocol.json_values import read_message
from berylcart.protocol.upstream_messages import INSTANCE_HEADER
from pydantic import ConfigDict, Field, TypeAdapter, with_config
from starlette.requests import Request
from starlette.responses import Response
from starlette.routing import Route
from typing_extensions import TypedDict

from berylcart_tools.standins.replies import checked, json_answer

ORDERS_PATH = "/v1/orders"
STATUS_CONFLICT = 409
STATUS_OTHER_INSTANCE = 412

Names = list[Annotated[str, Field(min_length=1)]]


@with_config(ConfigDict(extra="forbid"))
class DesiredMessage(TypedDict):
    """Carry the whole state that an engine should have."""

    models: Names
    adapters: Names
    version: str
    role: str


@with_config(ConfigDict(extra="forbid"))
class OrderMessage(TypedDict):
    """Carry one order and its sender's fencing number."""

    fencing: Annotated[int, Field(ge=0)]
    desired: DesiredMessage


ORDER = TypeAdapter(OrderMessage)


class Loader(Protocol):
    """Load weights."""

    async def load(self, name: str) -> None:
        """Load one model or adapter."""
        ...


class OrderDesk:
    """Hold the state in force and apply orders one after another."""

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
        self.highest_seen = 0
        self.fencing = 0
        self.lock = anyio.Lock()
        self.applied: list[OrderMessage] = []

    def routes(self) -> list[Route]:
        """Offer the calls on orders."""
        return [
            Route(ORDERS_PATH, checked(self.post), methods=["POST"]),
            Route(ORDERS_PATH, self.get, methods=["GET"]),
            Route("/admin/orders", self.show, methods=["GET"]),
        ]

    async def get(self, request: Request) -> Response:
        """Show the state in force."""
        return json_answer({"fencing": self.fencing, **self.state})

    async def show(self, request: Request) -> Response:
        """List the orders that were applied."""
        return json_answer({"orders": self.applied})

    async def post(self, request: Request) -> Response:
        """Take one order and say whether it was applied."""
        order = read_message(ORDER, await request.body())
        expected = request.headers.get(INSTANCE_HEADER, self.instance)
        if expected != self.instance:
            return json_answer(
                {"instance": self.instance}, STATUS_OTHER_INSTANCE
            )
        if await self.take(order):
            return json_answer({"applied": True})
        return json_answer({"fencing": self.highest_seen}, STATUS_CONFLICT)

    async def take(self, order: OrderMessage) -> bool:
        """Apply one order once its weights are there, unless it is old."""
        self.highest_seen = max(self.highest_seen, order["fencing"])
        async with self.lock:
            await self.load_weights(order)
            # A newer order may have come while the weights were loading.
            if self.is_old(order):
                return False
            self.apply(order)
        return True

    def is_old(self, order: OrderMessage) -> bool:
        """Say whether to refuse an order for its fencing number."""
        if not self.is_fencing_checked:
            return False
        return order["fencing"] < self.highest_seen

    async def load_weights(self, order: OrderMessage) -> None:
        """Load what is wanted and not there, until the order is old."""
        desired = order["desired"]
        has_version = desired["version"] == self.state["version"]
        present = {*self.state["models"], *self.state["adapters"]}
        for name in (*desired["models"], *desired["adapters"]):
            is_needed = not has_version or name not in present
            if is_needed and not self.is_old(order):
                await self.loader.load(name)

    def apply(self, order: OrderMessage) -> None:
        """Put an order in force."""
        self.state = order["desired"]
        self.fencing = order["fencing"]
        self.applied.append(order)
