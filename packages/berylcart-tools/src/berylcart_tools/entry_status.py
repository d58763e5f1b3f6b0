"""Ask an entry which configuration version it has in force."""

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
    """Name the fields of a status that tell the version in force."""

    daemon_id: str
    config_version: int


STATUS = TypeAdapter(EntryStatus)


class EntryVersions:
    """Read the versions in force at entries; addresses are IP:PORT."""

    def __init__(self, client: HttpClient) -> None:
        self.client = client

    async def read(self, address: str) -> int | None:
        """Read an entry's version; None when it does not tell."""
        request = HttpRequest(
            "GET", address, STATUS_PATH, timeout_ms=STATUS_TIMEOUT_MS
        )
        try:
            answer = await self.client.request(request)
            return STATUS.validate_json(answer.body)["config_version"]
        except (HttpError, ValidationError):
            return None
