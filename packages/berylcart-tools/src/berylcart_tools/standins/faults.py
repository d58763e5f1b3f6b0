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
STATUS_NOT_DONE = 300

Count = Annotated[int, Field(ge=0)]
CutConnection = Callable[[Any], None]


class Refuse(StrEnum):
    """List how a stand-in refuses new work."""

    NONE = ""
    OVERLOADED = "overloaded"
    DRAINING = "draining"


class Damage(StrEnum):
    """List what happens to an answer after its effect."""

    NONE = "none"
    DROP = "drop"
    CUT = "cut"


@with_config(ConfigDict(extra="forbid"))
class FaultsMessage(TypedDict, total=False):
    """Carry the failures to switch on; what is left out is off."""

    outage: bool
    slow_factor: Annotated[float, Field(gt=0, allow_inf_nan=False)]
    delay_ms: Count
    refuse: Refuse
    drop_answer: Count
    cut_answer: Count
    cross_answer: Count
    expire: bool


FAULTS = TypeAdapter(FaultsMessage)


def first_half(message: Message) -> Message:
    """Keep the first half of a piece of body, with more to come."""
    body = message["body"]
    return {**message, "body": body[: len(body) // 2], "more_body": True}


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
        self.cut_answer = message.get("cut_answer", 0)
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
            cut_answer=self.cut_answer,
            cross_answer=self.cross_answer,
            expire=self.expire,
        )

    def take_drop(self) -> bool:
        """Say whether to drop this answer, and count it."""
        if self.drop_answer == 0:
            return False
        self.drop_answer -= 1
        return True

    def take_cut(self) -> bool:
        """Say whether to cut this answer short, and count it."""
        if self.cut_answer == 0:
            return False
        self.cut_answer -= 1
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
        """Serve one request, dropping or cutting its answer if due."""
        damage = Damage.NONE

        async def send_damaged(message: Message) -> None:
            nonlocal damage
            if message["type"] == "http.response.start":
                damage = self.choose_damage(scope, message["status"])
            elif damage is Damage.CUT:
                await send(first_half(message))
                damage = Damage.DROP
            if damage is not Damage.DROP:
                await send(message)

        await self.app(scope, receive, send_damaged)
        if damage is Damage.DROP:
            self.cut(scope["client"])
            await receive()

    def choose_damage(self, scope: Scope, status: int) -> Damage:
        """Choose what happens to an answer whose call had an effect."""
        if scope["method"] == "GET" or status >= STATUS_NOT_DONE:
            return Damage.NONE
        if self.faults.take_drop():
            return Damage.DROP
        return Damage.CUT if self.faults.take_cut() else Damage.NONE
