"""Send requests to a berylcart deployment over HTTP."""

import json
from collections.abc import AsyncIterator
from typing import Any, NamedTuple

from berylcart.protocol.sse import EventParser
from berylcart.state.errors import BerylcartError, Code, Ran
from berylcart.transport.http_client import (
    HttpClient,
    HttpRequest,
    HttpResponse,
)
from pydantic_core import from_json

ENTRY_TIMEOUT_MS = 2000
DEADLINE_MARGIN_MS = 1000
EVENT_STREAM = "text/event-stream"


class CallRequest(NamedTuple):
    """Describe one request to a pipeline or a service."""

    workspace: str
    target: str
    payload: dict[str, Any]
    is_pipeline: bool = True
    deadline_ms: int = 3000
    idempotency_key: str = ""
    ordering_key: str = ""
    request_id: str = ""


class Entry(NamedTuple):
    """Describe an entry that a caller may use."""

    daemon_id: str
    address: str
    place: str


class StreamEvent(NamedTuple):
    """Represent one server-sent event of a streamed answer."""

    name: str
    event_id: str
    data: dict[str, Any]


def request_headers(call: CallRequest) -> tuple[tuple[str, str], ...]:
    """Return the HTTP headers of a request.

    >>> request_headers(CallRequest("clerks", "fit", {}))
    (('Workspace', 'clerks'), ('Deadline-Ms', '3000'))
    """
    headers = [
        ("Workspace", call.workspace),
        ("Deadline-Ms", str(call.deadline_ms)),
    ]
    if call.idempotency_key:
        headers.append(("Idempotency-Key", call.idempotency_key))
    if call.ordering_key:
        headers.append(("Ordering-Key", call.ordering_key))
    if call.request_id:
        headers.append(("Request-Id", call.request_id))
    return tuple(headers)


def build_http_request(address: str, call: CallRequest) -> HttpRequest:
    """Build the HTTP request for a call."""
    kind = "pipelines" if call.is_pipeline else "services"
    return HttpRequest(
        "POST",
        address,
        f"/v1/{kind}/{call.target}",
        json.dumps(call.payload).encode(),
        request_headers(call),
        call.deadline_ms + DEADLINE_MARGIN_MS,
    )


def error_from_problem(body: bytes, status: int) -> BerylcartError:
    """Convert a problem+json body to the error that it describes."""
    try:
        problem = from_json(body)
        return BerylcartError(
            Code(problem["code"]),
            str(problem["detail"]),
            ran=Ran(problem["ran"]),
            retry_after_ms=problem.get("retry_after_ms"),
            entries=tuple(problem.get("entries", ())),
        )
    except (ValueError, KeyError, TypeError):
        return BerylcartError(
            Code.INTERNAL, f"HTTP status {status}", ran=Ran.UNKNOWN
        )


def parse_answer(answer: HttpResponse) -> dict[str, Any]:
    """Parse a complete answer; raises the BerylcartError that it contains."""
    if answer.status != 200:
        raise error_from_problem(answer.body, answer.status)
    value: dict[str, Any] = from_json(answer.body)
    return value


async def fetch_entries(
    client: HttpClient, address: str, workspace: str = ""
) -> tuple[Entry, ...]:
    """Fetch the entries that a workspace may use, best first."""
    path = f"/v1/entries?workspace={workspace}"
    answer = await client.request(
        HttpRequest("GET", address, path, timeout_ms=ENTRY_TIMEOUT_MS)
    )
    entries = parse_answer(answer)["entries"]
    return tuple(
        Entry(entry["daemon_id"], entry["address"], entry["place"])
        for entry in entries
    )


async def call_unary(
    client: HttpClient, address: str, call: CallRequest
) -> dict[str, Any]:
    """Send a request and return the complete answer; raises BerylcartError."""
    answer = await client.request(build_http_request(address, call))
    return parse_answer(answer)


async def call_stream(
    client: HttpClient, address: str, call: CallRequest
) -> AsyncIterator[StreamEvent]:
    """Send a request and yield the streamed events; raises BerylcartError.

    A stream that ends without a done event is an error.
    """
    request = build_http_request(address, call)
    accept = ("Accept", EVENT_STREAM)
    request = request._replace(headers=(*request.headers, accept))
    async with client.stream(request) as stream:
        if stream.status != 200:
            raise error_from_problem(await stream.read_body(), stream.status)
        parser = EventParser()
        async for part in stream.chunks:
            for event in parser.feed(part):
                data = from_json(event.data)
                if event.name == "error":
                    raise error_from_problem(
                        event.data.encode(), stream.status
                    )
                yield StreamEvent(event.name, event.event_id, data)
                if event.name == "done":
                    return
    raise BerylcartError(
        Code.INTERNAL, "the stream ended without a done event", ran=Ran.UNKNOWN
    )
