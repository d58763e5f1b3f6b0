"""Stand in for the platform's log service."""

from typing import Any, NamedTuple, cast

import anyio
from anyio.abc import TaskStatus
from berylcart.protocol.json_values import MessageError, read_message
from berylcart.protocol.log_messages import APPEND
from berylcart.state.errors import LogGapError, LogUnavailableError
from berylcart.state.records import LogPage, Record
from berylcart.transport.memory_log import MemoryLog
from starlette.applications import Starlette
from starlette.requests import Request
from starlette.responses import Response
from starlette.routing import Route

from berylcart_tools.standins.faults import Faults
from berylcart_tools.standins.replies import (
    checked,
    json_answer,
    retry_header,
)
from berylcart_tools.standins.serve import serve_app
from berylcart_tools.standins.token_bucket import TokenBucket

RECORDS_PATH = "/v1/streams/{stream}/records"
APPENDS_PER_S = 300
BURST_S = 0.1
MAX_WAIT_MS = 30_000
MAX_LIMIT = 1000


class LogSettings(NamedTuple):
    """Set the log's address, retention and append rate.

    A retention_ms of 0 keeps every record.
    """

    address: str = "127.0.0.1:0"
    retention_ms: int = 0
    appends_per_s: float = APPENDS_PER_S


class ReadQuery(NamedTuple):
    """Ask for entries from an offset."""

    offset: int
    wait_ms: int
    limit: int


def read_query(request: Request) -> ReadQuery:
    """Read a query's numbers; raises MessageError."""
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


def page_message(page: LogPage) -> dict[str, Any]:
    """Write a page of raw values."""
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
    """Serve a log whose values may be any JSON."""

    def __init__(self, settings: LogSettings) -> None:
        self.faults = Faults()
        self.log = MemoryLog(settings.retention_ms or None)
        burst = max(1.0, settings.appends_per_s * BURST_S)
        self.bucket = TokenBucket(settings.appends_per_s, burst)

    def app(self) -> Starlette:
        """Build the application."""
        append, read = checked(self.append), checked(self.read)
        return Starlette(
            routes=[
                Route(RECORDS_PATH, append, methods=["POST"]),
                Route(RECORDS_PATH, read, methods=["GET"]),
                *self.faults.routes(),
            ]
        )

    def expire(self) -> None:
        """Drop every record that is kept now, if that is switched on."""
        if self.faults.take_expire():
            for stream in self.log.streams.values():
                stream.entries.clear()

    async def end_reads(self, stop: anyio.Event) -> None:
        """Let waiting reads answer once the log stops."""
        await stop.wait()
        for stream in self.log.streams.values():
            stream.changed.set()

    async def append(self, request: Request) -> Response:
        """Append the values of one call."""
        message = read_message(APPEND, await request.body())
        self.expire()
        if not self.bucket.take():
            headers = retry_header(self.bucket.wait_ms())
            return json_answer({"detail": "append rate"}, 429, headers)
        # The platform's log keeps any value; MemoryLog only moves it.
        values = cast(list[Record], message["records"])
        first = await self.log.append(request.path_params["stream"], values)
        body = {"first_offset": first, "end_offset": first + len(values)}
        return json_answer(body)

    async def read(self, request: Request) -> Response:
        """Read a page, waiting for a first record."""
        query = read_query(request)
        self.expire()
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
            return json_answer(bounds, 410)
        except LogUnavailableError as error:
            return json_answer({"detail": error.detail}, 503)
        if self.faults.has_outage:
            return json_answer({"detail": "outage"}, 503)
        return json_answer(page_message(page))


async def serve_log(
    settings: LogSettings,
    *,
    stop: anyio.Event | None = None,
    task_status: TaskStatus[str] = anyio.TASK_STATUS_IGNORED,
) -> None:
    """Serve the log until stop is set; starts with its address."""
    standin = LogStandin(settings)
    stop = stop or anyio.Event()
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(standin.end_reads, stop)
        await serve_app(
            "log",
            standin.app(),
            standin.faults,
            settings.address,
            stop=stop,
            task_status=task_status,
        )
        tasks.cancel_scope.cancel()
