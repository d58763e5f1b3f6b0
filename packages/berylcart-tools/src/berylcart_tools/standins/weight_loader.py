"""Simulate loading weights from the platform's rate-limited store."""

from berylcart.state.errors import BerylcartError
from berylcart.transport.http_client import HttpClient
from berylcart.transport.order_client import HttpWeightStore

from berylcart_tools.standins.clock import MS_PER_S, sleep_ms

RETRY_INTERVAL_MS = 200


class WeightLoader:
    """Load weights for one instance; immediately if store is empty."""

    def __init__(self, store: str, instance: str, client: HttpClient) -> None:
        self.is_enabled = bool(store)
        self.store = HttpWeightStore(store, client)
        self.instance = instance

    async def load(self, name: str) -> None:
        """Load one model or adapter, retrying until the store grants it."""
        while self.is_enabled:
            try:
                seconds = await self.store.load(self.instance, name)
            except BerylcartError as error:
                await sleep_ms(error.retry_after_ms or RETRY_INTERVAL_MS)
                continue
            await sleep_ms(seconds * MS_PER_S)
            return
