"""Write the stand-ins' HTTP answers."""

import math
from collections.abc import Awaitable, Callable
from typing import TypeVar

import anyio
from berylcart.protocol.json_values import MessageError, write_json
from berylcart.protocol.upstream_messages import RefusalReason
from starlette.requests import Request
from starlette.responses import Response

from berylcart_tools.standins.clock import MS_PER_S

T = TypeVar("T")

JSON_TYPE = "application/json"
STATUS_CLOSED = 499

Endpoint = Callable[[Request], Awaitable[Response]]


def json_answer(
    value: object, status: int = 200, headers: dict[str, str] | None = None
) -> Response:
    """Answer with a JSON value."""
    return Response(write_json(value), status, headers, JSON_TYPE)


def no_content() -> Response:
    """Answer that a call is done."""
    return Response(status_code=204)


def retry_header(retry_after_ms: int) -> dict[str, str]:
    """Write a Retry-After header, which counts whole seconds.

    >>> retry_header(1500)
    {'Retry-After': '2'}
    """
    return {"Retry-After": str(math.ceil(retry_after_ms / MS_PER_S))}


def refusal(
    reason: RefusalReason, retry_after_ms: int, status: int = 503
) -> Response:
    """Refuse an attempt that did not run."""
    body = {"reason": reason, "retry_after_ms": retry_after_ms}
    return json_answer(body, status, retry_header(retry_after_ms))


def checked(endpoint: Endpoint) -> Endpoint:
    """Answer 400 where an endpoint meets a malformed message."""

    async def answer(request: Request) -> Response:
        try:
            return await endpoint(request)
        except MessageError as error:
            return json_answer({"detail": error.detail}, 400)

    return answer


async def until_closed(request: Request) -> None:
    """Wait until the caller closes the connection."""
    while True:
        message = await request.receive()
        if message["type"] == "http.disconnect":
            return


async def run_until_closed(
    request: Request, function: Callable[[], Awaitable[T]]
) -> T | None:
    """Run a function, cancelling it when the caller closes.

    Gives None when it was cancelled.
    """
    result: T | None = None
    failure: Exception | None = None

    async def watch() -> None:
        await until_closed(request)
        tasks.cancel_scope.cancel()

    async with anyio.create_task_group() as tasks:
        tasks.start_soon(watch)
        try:
            result = await function()
        except Exception as error:
            failure = error
        tasks.cancel_scope.cancel()
    # Raised here, outside the task group, which would wrap it in a group.
    if failure is not None:
        raise failure
    return result
