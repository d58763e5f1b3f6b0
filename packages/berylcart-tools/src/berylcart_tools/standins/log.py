"""Simulate the platform's log service in memory."""

from typing import Any, NamedTuple, cast

import anyio
from anyio.abc import TaskStatus
from berylcart.protocol.json_codec import MessageError, read_message
from berylcart.protocol.log_messages import APPEND
from berylcart.state.errors import LogGapError, LogUnavailableError
from berylcart.state.records import LogPage, Record
from berylcart.transport.memory_log import MemoryLog
from starlette.applications import Starlette
from starlette.requests import Request
from starlette.responses import Response
from starlette.routing import Route

from berylcart_tools.standins.faults import Faults
from berylcart_tools.standins.http_responses import (
    json_response,
    reject_malformed,
    retry_after_header,
)
from berylcart_tools.standins.serve import serve_app
from berylcart_tools.standins.token_bucket import TokenBucket

RECORDS_PATH = "/v1/streams/{stream}/records"
APPENDS_PER_S = 300
BURST_S = 0.1
MAX_WAIT_MS = 30_000
MAX_LIMIT = 1000


class LogSettings(NamedTuple):
    """Configure the log's address, retention and append rate limit.

    A retention_ms of 0 disables expiry.
    """

    address: str = "127.0.0.1:0"
    retention_ms: int = 0
    appends_per_s: float = APPENDS_PER_S


class ReadQuery(NamedTuple):
    """Hold the validated parameters of a read."""

    offset: int
    wait_ms: int
    limit: int


def parse_read_query(request: Request) -> ReadQuery:
    """Parse and clamp a read's query; raises MessageError if malformed."""
    query = request.query_params
    try:
        offset = int(query.get("offset", "-1"))
        wait_ms = int(query.get("wait_ms", "0"))
        limit = int(query.get("limit", "100"))
    except ValueError:
        raise MessageError("the query holds whole numbers") from None
    if offset < -1 or wait_ms < 0 or limit < 1:
        raise MessageError("the query is out of range")
    return ReadQuery(offset, min(wait_ms, MAX_WAIT_MS), min(limit, MAX_LIMIT))


def encode_page(page: LogPage) -> dict[str, Any]:
    """Encode a page whose records are any JSON values."""
    records = [
        {"offset": e.offset, "time_ms": e.time_ms, "value": e.record}
        for e in page.entries
    ]
    return {
        "start_offset": page.start_offset,
        "end_offset": page.end_offset,
        "records": records,
    }


class LogStandin:
    """Serve a log whose records may be any JSON values."""

    def __init__(self, settings: LogSettings) -> None:
        self.faults = Faults()
        self.log = MemoryLog(settings.retention_ms or None)
        burst = max(1.0, settings.appends_per_s * BURST_S)
        self.bucket = TokenBucket(settings.appends_per_s, burst)

    def app(self) -> Starlette:
        """Build the ASGI application."""
        append, read = (
            reject_malformed(self.append),
            reject_malformed(self.read),
        )
        return Starlette(
            routes=[
                Route(RECORDS_PATH, append, methods=["POST"]),
                Route(RECORDS_PATH, read, methods=["GET"]),
                *self.faults.routes(),
            ]
        )

    def apply_expiry(self) -> None:
        """Discard all stored records if the expire fault is enabled."""
        if self.faults.consume_expire():
            for stream in self.log.streams.values():
                stream.entries.clear()

    async def end_pending_reads(self, stop: anyio.Event) -> None:
        """Wake up the long-polling reads once stop is set."""
        await stop.wait()
        for stream in self.log.streams.values():
            stream.changed.set()

    async def append(self, request: Request) -> Response:
        """Append the records of one request, subject to the rate limit."""
        message = read_message(APPEND, await request.body())
        self.apply_expiry()
        if not self.bucket.try_take():
            headers = retry_after_header(self.bucket.wait_ms())
            return json_response({"detail": "append rate"}, 429, headers)
        # The platform's log stores any JSON value. MemoryLog is typed for
        # Record but does not inspect what it stores.
        values = cast(list[Record], message["records"])
        first = await self.log.append(request.path_params["stream"], values)
        body = {"first_offset": first, "end_offset": first + len(values)}
        return json_response(body)

    async def read(self, request: Request) -> Response:
        """Read a page, waiting up to wait_ms for its first record."""
        query = parse_read_query(request)
        self.apply_expiry()
        stream = request.path_params["stream"]
        try:
            page = await self.log.read(
                stream, query.offset, wait_ms=query.wait_ms, limit=query.limit
            )
        except LogGapError as error:
            bounds = {
                "start_offset": error.start_offset,
                "end_offset": self.log.stream(stream).end_offset,
            }
            return json_response(bounds, 410)
        except LogUnavailableError as error:
            return json_response({"detail": error.detail}, 503)
        if self.faults.has_outage:
            return json_response({"detail": "outage"}, 503)
        return json_response(encode_page(page))


async def serve_log(
    settings: LogSettings,
    *,
    stop: anyio.Event | None = None,
    task_status: TaskStatus[str] = anyio.TASK_STATUS_IGNORED,
) -> None:
    """Serve the log until stop is set; reports its address once started."""
    standin = LogStandin(settings)
    stop = stop or anyio.Event()
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(standin.end_pending_reads, stop)
        await serve_app(
            "log",
            standin.app(),
            standin.faults,
            settings.address,
            stop=stop,
            task_status=task_status,
        )
        tasks.cancel_scope.cancel()
