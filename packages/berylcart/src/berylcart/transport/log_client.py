"""Read from and append to the platform's log service over HTTP."""

from collections.abc import Sequence
from urllib.parse import quote

from berylcart.protocol.json_codec import MessageError
from berylcart.protocol.log_messages import (
    read_appended,
    read_bounds,
    read_page,
    write_append,
)
from berylcart.state.errors import (
    LogAmbiguousError,
    LogGapError,
    LogUnavailableError,
)
from berylcart.state.records import LogEntry, LogPage, Record
from berylcart.transport.http_client import (
    HttpClient,
    HttpError,
    HttpRequest,
    HttpResponse,
    HttpTooLargeError,
    retry_after_ms,
)

APPEND_TIMEOUT_MS = 2000
READ_TIMEOUT_MS = 2000

STATUS_OK = 200
STATUS_GONE = 410
STATUS_UNAVAILABLE = (429, 503)
STATUS_REJECTED = (400, 404, 413)


def records_path(stream: str) -> str:
    """Return the URL path of a stream's records.

    >>> records_path("config")
    '/v1/streams/config/records'
    """
    return f"/v1/streams/{quote(stream, safe='')}/records"


def unavailable_error(response: HttpResponse) -> LogUnavailableError:
    """Build the error for a status that means the call had no effect."""
    return LogUnavailableError(
        f"the log answered {response.status}",
        retry_after_ms(response.headers),
    )


class HttpLog:
    """Implement the Log port over HTTP; address is IP:PORT."""

    def __init__(
        self,
        address: str,
        client: HttpClient,
        *,
        append_timeout_ms: int = APPEND_TIMEOUT_MS,
        read_timeout_ms: int = READ_TIMEOUT_MS,
    ) -> None:
        self.address = address
        self.client = client
        self.append_timeout_ms = append_timeout_ms
        self.read_timeout_ms = read_timeout_ms

    async def append(self, stream: str, records: Sequence[Record]) -> int:
        """Append records in order and return the first one's offset.

        Raises LogUnavailableError when nothing was appended, and
        LogAmbiguousError when the records may have been appended.
        """
        request = HttpRequest(
            "POST",
            self.address,
            records_path(stream),
            write_append(records),
            timeout_ms=self.append_timeout_ms,
        )
        try:
            response = await self.client.request(request)
        except HttpError as error:
            if error.is_sent:
                raise LogAmbiguousError(error.detail) from error
            raise LogUnavailableError(error.detail) from error
        if response.status in (*STATUS_UNAVAILABLE, *STATUS_REJECTED):
            raise unavailable_error(response)
        if response.status != STATUS_OK:
            raise LogAmbiguousError(f"the log answered {response.status}")
        try:
            return read_appended(response.body, len(records))
        except MessageError as error:
            raise LogAmbiguousError(error.detail) from error

    async def read(
        self, stream: str, offset: int, *, wait_ms: int, limit: int
    ) -> LogPage:
        """Read from an offset, waiting up to wait_ms for a first entry.

        Raises LogUnavailableError, and LogGapError when the offset expired.
        An offset of -1 returns the bounds of the stream without entries.
        """
        query = f"offset={offset}&wait_ms={wait_ms}&limit={limit}"
        request = HttpRequest(
            "GET",
            self.address,
            f"{records_path(stream)}?{query}",
            timeout_ms=wait_ms + self.read_timeout_ms,
        )
        try:
            response = await self.client.request(request)
            return parse_read_response(response, offset)
        except HttpTooLargeError as error:
            if limit > 1 or offset < 0:
                raise LogUnavailableError(error.detail) from error
            return await self.skip_oversized_record(
                stream, offset, error.detail
            )
        except (HttpError, MessageError) as error:
            raise LogUnavailableError(error.detail) from error

    async def skip_oversized_record(
        self, stream: str, offset: int, detail: str
    ) -> LogPage:
        """Return a page with an unreadable entry for an oversized record.

        Otherwise every reader would retry the read for ever. No valid record
        exceeds the response limit.
        """
        bounds = await self.read(stream, -1, wait_ms=0, limit=1)
        return bounds._replace(entries=(LogEntry(offset, 0, None, detail),))


def parse_read_response(response: HttpResponse, offset: int) -> LogPage:
    """Parse the response to a read.

    Raises LogGapError, LogUnavailableError and MessageError.
    """
    if response.status == STATUS_GONE:
        bounds = read_bounds(response.body)
        raise LogGapError(offset, bounds["start_offset"])
    if response.status != STATUS_OK:
        raise unavailable_error(response)
    return read_page(response.body, offset)
