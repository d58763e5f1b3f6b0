"""Inject faults into a stand-in through its admin endpoint."""

from collections.abc import Callable
from enum import StrEnum
from typing import Annotated, Any

from berylcart.protocol.json_codec import read_message
from pydantic import ConfigDict, Field, TypeAdapter, with_config
from starlette.requests import Request
from starlette.responses import Response
from starlette.routing import Route
from starlette.types import ASGIApp, Message, Receive, Scope, Send
from typing_extensions import TypedDict

from berylcart_tools.standins.clock import sleep_ms
from berylcart_tools.standins.http_responses import (
    json_response,
    no_content,
    reject_malformed,
)

ADMIN_PREFIX = "/admin/"
FAULTS_PATH = "/admin/faults"
FIRST_NON_SUCCESS_STATUS = 300

NonNegativeInt = Annotated[int, Field(ge=0)]
AbortConnection = Callable[[Any], None]


class RefusalMode(StrEnum):
    """Choose the reason for which a stand-in refuses new attempts."""

    NONE = ""
    OVERLOADED = "overloaded"
    DRAINING = "draining"


class ResponseFault(StrEnum):
    """Choose how a response is lost after the call took effect."""

    NONE = "none"
    DROP = "drop"
    CUT = "cut"


@with_config(ConfigDict(extra="forbid"))
class FaultsMessage(TypedDict, total=False):
    """Carry the faults to enable; omitted ones are disabled."""

    outage: bool
    slow_factor: Annotated[float, Field(gt=0, allow_inf_nan=False)]
    delay_ms: NonNegativeInt
    refuse: RefusalMode
    drop_answer: NonNegativeInt
    cut_answer: NonNegativeInt
    cross_answer: NonNegativeInt
    expire: bool


FAULTS = TypeAdapter(FaultsMessage)


def truncate_body(message: Message) -> Message:
    """Cut a body chunk to its first half and mark the body as unfinished."""
    body = message["body"]
    return {**message, "body": body[: len(body) // 2], "more_body": True}


class Faults:
    """Hold the enabled faults."""

    def __init__(self) -> None:
        self.set({})

    def set(self, message: FaultsMessage) -> None:
        """Enable the given faults and disable all others."""
        self.has_outage = message.get("outage", False)
        self.slow_factor = message.get("slow_factor", 1.0)
        self.delay_ms = message.get("delay_ms", 0)
        self.refuse = message.get("refuse", RefusalMode.NONE)
        self.drop_answer = message.get("drop_answer", 0)
        self.cut_answer = message.get("cut_answer", 0)
        self.cross_answer = message.get("cross_answer", 0)
        self.expire = message.get("expire", False)

    def to_message(self) -> FaultsMessage:
        """Return the state of every fault."""
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

    def consume_drop(self) -> bool:
        """Return whether to drop this response, and use up one drop."""
        if self.drop_answer == 0:
            return False
        self.drop_answer -= 1
        return True

    def consume_cut(self) -> bool:
        """Return whether to truncate this response, and use up one cut."""
        if self.cut_answer == 0:
            return False
        self.cut_answer -= 1
        return True

    def consume_cross(self) -> bool:
        """Return whether to answer with a wrong attempt id; use up one."""
        if self.cross_answer == 0:
            return False
        self.cross_answer -= 1
        return True

    def consume_expire(self) -> bool:
        """Return whether to discard the stored data, and reset the fault."""
        is_expiring = self.expire
        self.expire = False
        return is_expiring

    def routes(self) -> list[Route]:
        """Return the routes of the admin endpoint."""

        async def put(request: Request) -> Response:
            self.set(read_message(FAULTS, await request.body()))
            return no_content()

        async def get(request: Request) -> Response:
            return json_response(self.to_message())

        return [
            Route(FAULTS_PATH, reject_malformed(put), methods=["PUT"]),
            Route(FAULTS_PATH, get, methods=["GET"]),
        ]


class FaultMiddleware:
    """Apply outages, delays and lost responses to an ASGI application."""

    def __init__(
        self, app: ASGIApp, faults: Faults, abort_connection: AbortConnection
    ) -> None:
        self.app = app
        self.faults = faults
        self.abort_connection = abort_connection

    async def __call__(
        self, scope: Scope, receive: Receive, send: Send
    ) -> None:
        """Handle one request, unless an outage is simulated."""
        is_admin = scope["path"].startswith(ADMIN_PREFIX)
        if is_admin:
            await self.app(scope, receive, send)
            return
        if self.faults.has_outage:
            response = json_response({"detail": "outage"}, 503)
            await response(scope, receive, send)
            return
        if self.faults.delay_ms:
            await sleep_ms(self.faults.delay_ms)
        await self.handle(scope, receive, send)

    async def handle(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Handle one request, dropping or truncating its response if due."""
        response_fault = ResponseFault.NONE

        async def send_with_fault(message: Message) -> None:
            nonlocal response_fault
            if message["type"] == "http.response.start":
                response_fault = self.choose_response_fault(
                    scope, message["status"]
                )
            elif response_fault is ResponseFault.CUT:
                await send(truncate_body(message))
                response_fault = ResponseFault.DROP
            if response_fault is not ResponseFault.DROP:
                await send(message)

        await self.app(scope, receive, send_with_fault)
        if response_fault is ResponseFault.DROP:
            self.abort_connection(scope["client"])
            await receive()

    def choose_response_fault(
        self, scope: Scope, status: int
    ) -> ResponseFault:
        """Choose the fault for the response of a call that took effect."""
        if scope["method"] == "GET" or status >= FIRST_NON_SUCCESS_STATUS:
            return ResponseFault.NONE
        if self.faults.consume_drop():
            return ResponseFault.DROP
        return (
            ResponseFault.CUT
            if self.faults.consume_cut()
            else ResponseFault.NONE
        )
