"""Build HTTP responses and handle client disconnects."""

import math
from collections.abc import Awaitable, Callable
from typing import TypeVar

import anyio
from berylcart.protocol.json_codec import MessageError, write_json
from berylcart.protocol.upstream_messages import RefusalReason
from starlette.requests import Request
from starlette.responses import Response

from berylcart_tools.standins.clock import MS_PER_S

T = TypeVar("T")

JSON_TYPE = "application/json"
STATUS_CLIENT_CLOSED = 499

Endpoint = Callable[[Request], Awaitable[Response]]


def json_response(
    value: object, status: int = 200, headers: dict[str, str] | None = None
) -> Response:
    """Build a response with a JSON body."""
    return Response(write_json(value), status, headers, JSON_TYPE)


def no_content() -> Response:
    """Build an empty response with status 204."""
    return Response(status_code=204)


def retry_after_header(retry_after_ms: int) -> dict[str, str]:
    """Build a Retry-After header, rounded up to whole seconds.

    >>> retry_after_header(1500)
    {'Retry-After': '2'}
    """
    return {"Retry-After": str(math.ceil(retry_after_ms / MS_PER_S))}


def refusal_response(
    reason: RefusalReason, retry_after_ms: int, status: int = 503
) -> Response:
    """Build the response to an attempt that was refused without running."""
    body = {"reason": reason, "retry_after_ms": retry_after_ms}
    return json_response(body, status, retry_after_header(retry_after_ms))


def reject_malformed(endpoint: Endpoint) -> Endpoint:
    """Wrap an endpoint to answer 400 when it raises MessageError."""

    async def respond(request: Request) -> Response:
        try:
            return await endpoint(request)
        except MessageError as error:
            return json_response({"detail": error.detail}, 400)

    return respond


async def wait_for_disconnect(request: Request) -> None:
    """Wait until the client closes the connection."""
    while True:
        message = await request.receive()
        if message["type"] == "http.disconnect":
            return


async def run_until_disconnect(
    request: Request, function: Callable[[], Awaitable[T]]
) -> T | None:
    """Run a function, cancelling it when the client disconnects.

    Returns None if the function was cancelled.
    """
    result: T | None = None
    failure: Exception | None = None

    async def cancel_on_disconnect() -> None:
        await wait_for_disconnect(request)
        tasks.cancel_scope.cancel()

    async with anyio.create_task_group() as tasks:
        tasks.start_soon(cancel_on_disconnect)
        try:
            result = await function()
        except Exception as error:
            failure = error
        tasks.cancel_scope.cancel()
    # Raised outside the task group, which would wrap the exception in an
    # ExceptionGroup.
    if failure is not None:
        raise failure
    return result
