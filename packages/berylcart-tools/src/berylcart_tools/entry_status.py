"""Read the configuration version in force at an entry."""

from berylcart.transport.http_client import (
    HttpClient,
    HttpError,
    HttpRequest,
)
from pydantic import TypeAdapter, ValidationError
from typing_extensions import TypedDict

STATUS_PATH = "/v1/status"
STATUS_TIMEOUT_MS = 2000


class EntryStatus(TypedDict):
    """Declare the status fields needed to read the version in force."""

    daemon_id: str
    config_version: int


STATUS_ADAPTER = TypeAdapter(EntryStatus)


class EntryVersionReader:
    """Read the version in force at entries, addressed by IP:PORT."""

    def __init__(self, client: HttpClient) -> None:
        self.client = client

    async def read(self, address: str) -> int | None:
        """Return the version of an entry, None if it can't be read."""
        request = HttpRequest(
            "GET", address, STATUS_PATH, timeout_ms=STATUS_TIMEOUT_MS
        )
        try:
            answer = await self.client.request(request)
            return STATUS_ADAPTER.validate_json(answer.body)["config_version"]
        except (HttpError, ValidationError):
            return None
