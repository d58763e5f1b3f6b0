"""Switch a stand-in's failures over its admin call."""

from collections.abc import Callable
from enum import StrEnum
from typing import Annotated, Any

from berylcart.protocol.json_values import read_message
from pydantic import ConfigDict, Field, TypeAdapter, with_config
from starlette.requests import Request
from starlette.responses import Response
from starlette.routing import Route
from starlette.types import ASGIApp, Message, Receive, Scope, Send
from typing_extensions import TypedDict

from berylcart_tools.standins.clock import sleep_ms
from berylcart_tools.standins.replies import checked, json_answer, no_content

ADMIN_PREFIX = "/admin/"
FAULTS_PATH = "/admin/faults"

Count = Annotated[int, Field(ge=0)]
CutConnection = Callable[[Any], None]


class Refuse(StrEnum):
    """List how a stand-in refuses new work."""

    NONE = ""
    OVERLOADED = "overloaded"
    DRAINING = "draining"


@with_config(ConfigDict(extra="forbid"))
class FaultsMessage(TypedDict, total=False):
    """Carry the failures to switch on; what is left out is off."""

    outage: bool
    slow_factor: Annotated[float, Field(gt=0, allow_inf_nan=False)]
    delay_ms: Count
    refuse: Refuse
    drop_answer: Count
    cross_answer: Count
    expire: bool


FAULTS = TypeAdapter(FaultsMessage)


class Faults:
    """Hold the failures that are switched on."""

    def __init__(self) -> None:
        self.set({})

    def set(self, message: FaultsMessage) -> None:
        """Switch on the given failures and every other one off."""
        self.has_outage = message.get("outage", False)
        self.slow_factor = message.get("slow_factor", 1.0)
        self.delay_ms = message.get("delay_ms", 0)
        self.refuse = message.get("refuse", Refuse.NONE)
        self.drop_answer = message.get("drop_answer", 0)
        self.cross_answer = message.get("cross_answer", 0)
        self.expire = message.get("expire", False)

    def show(self) -> FaultsMessage:
        """Show every failure."""
        return FaultsMessage(
            outage=self.has_outage,
            slow_factor=self.slow_factor,
            delay_ms=self.delay_ms,
            refuse=self.refuse,
            drop_answer=self.drop_answer,
            cross_answer=self.cross_answer,
            expire=self.expire,
        )

    def take_drop(self) -> bool:
        """Say whether to drop this answer, and count it."""
        if self.drop_answer == 0:
            return False
        self.drop_answer -= 1
        return True

    def take_cross(self) -> bool:
        """Say whether to cross this answer, and count it."""
        if self.cross_answer == 0:
            return False
        self.cross_answer -= 1
        return True

    def take_expire(self) -> bool:
        """Say whether to drop what is kept now, and reset."""
        is_expiring = self.expire
        self.expire = False
        return is_expiring

    def routes(self) -> list[Route]:
        """Offer the admin call."""

        async def put(request: Request) -> Response:
            self.set(read_message(FAULTS, await request.body()))
            return no_content()

        async def get(request: Request) -> Response:
            return json_answer(self.show())

        return [
            Route(FAULTS_PATH, checked(put), methods=["PUT"]),
            Route(FAULTS_PATH, get, methods=["GET"]),
        ]


class FaultMiddleware:
    """Apply outage, delay and dropped answers around an application."""

    def __init__(
        self, app: ASGIApp, faults: Faults, cut: CutConnection
    ) -> None:
        self.app = app
        self.faults = faults
        self.cut = cut

    async def __call__(
        self, scope: Scope, receive: Receive, send: Send
    ) -> None:
        """Serve one request."""
        is_admin = scope["path"].startswith(ADMIN_PREFIX)
        if is_admin:
            await self.app(scope, receive, send)
            return
        if self.faults.has_outage:
            answer = json_answer({"detail": "outage"}, 503)
            await answer(scope, receive, send)
            return
        if self.faults.delay_ms:
            await sleep_ms(self.faults.delay_ms)
        await self.serve(scope, receive, send)

    async def serve(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Serve one request, dropping its answer if that is due."""
        is_dropped = False

        async def send_or_drop(message: Message) -> None:
            nonlocal is_dropped
            if message["type"] == "http.response.start":
                is_dropped = self.is_drop_due(scope, message["status"])
            if not is_dropped:
                await send(message)

        await self.app(scope, receive, send_or_drop)
        if is_dropped:
            self.cut(scope["client"])
            await receive()

    def is_drop_due(self, scope: Scope, status: int) -> bool:
        """Say whether this answer is one that had an effect and is due."""
        if scope["method"] == "GET" or status >= 300:
            return False
        return self.faults.take_drop()
