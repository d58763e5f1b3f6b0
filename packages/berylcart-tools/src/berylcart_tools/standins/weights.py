"""Load weights from the platform's store at the rate that it grants."""

from berylcart.protocol.json_values import (
    MessageError,
    read_message,
    write_json,
)
from berylcart.transport.http_client import (
    HttpClient,
    HttpError,
    HttpRequest,
    retry_after_ms,
)
from pydantic import TypeAdapter
from typing_extensions import TypedDict

from berylcart_tools.standins.clock import MS_PER_S, sleep_ms

LOADS_PATH = "/v1/loads"
RETRY_MS = 200
STATUS_OK = 200


class GrantMessage(TypedDict):
    """Carry how long a granted load takes."""

    seconds: float


GRANT = TypeAdapter(GrantMessage)


class WeightLoader:
    """Load weights for one instance; an empty store loads at once."""

    def __init__(self, store: str, instance: str, client: HttpClient) -> None:
        self.store = store
        self.instance = instance
        self.client = client

    async def load(self, name: str) -> None:
        """Load one model or adapter, trying until the store grants it."""
        if not self.store:
            return
        seconds = await self.try_load(name)
        while seconds is None:
            seconds = await self.try_load(name)
        await sleep_ms(seconds * MS_PER_S)

    async def try_load(self, name: str) -> float | None:
        """Ask for one load; give its seconds, or None after waiting."""
        body = write_json({"instance": self.instance, "model": name})
        request = HttpRequest("POST", self.store, LOADS_PATH, body)
        wait_ms = RETRY_MS
        try:
            answer = await self.client.request(request)
            if answer.status == STATUS_OK:
                return read_message(GRANT, answer.body)["seconds"]
            wait_ms = retry_after_ms(answer.headers) or RETRY_MS
        except (HttpError, MessageError):
            pass
        await sleep_ms(wait_ms)
        return None
