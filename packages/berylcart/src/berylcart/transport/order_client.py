"""Send orders to engines and load requests to the weight store."""

from berylcart.coordination.duties.ports import Order
from berylcart.protocol.order_messages import (
    read_grant,
    read_state,
    write_load,
    write_order,
)
from berylcart.state.errors import BerylcartError, Code, Ran, UpstreamError
from berylcart.state.vm import Vm
from berylcart.transport.http_client import (
    HttpClient,
    HttpRequest,
    HttpResponse,
    retry_after_ms,
)

ORDERS_PATH = "/v1/orders"
LOADS_PATH = "/v1/loads"
STATUS_OK = 200
STATUS_CONFLICT = 409
STATE_TIMEOUT_MS = 1000
# An engine responds to an order once its weights are loaded.
ORDER_TIMEOUT_MS = 120_000
GRANT_TIMEOUT_MS = 2000


def unexpected_status(vm: Vm, response: HttpResponse) -> UpstreamError:
    """Build the error for a status that the protocol does not define."""
    return UpstreamError(
        Code.UPSTREAM_FAILED,
        f"{vm.vm_id} answered an order with status {response.status}",
        ran=Ran.UNKNOWN,
    )


class HttpEngineOrders:
    """Implement the EngineOrders port over HTTP."""

    def __init__(self, client: HttpClient) -> None:
        self.client = client

    async def order(self, vm: Vm, order: Order) -> bool:
        """Apply an order; returns False when its fencing number is stale.

        Raises BerylcartError.
        """
        response = await self.client.request(
            HttpRequest(
                "POST",
                vm.address,
                ORDERS_PATH,
                write_order(order),
                (("Expected-Instance", vm.instance),),
                ORDER_TIMEOUT_MS,
            )
        )
        if response.status == STATUS_CONFLICT:
            return False
        if response.status != STATUS_OK:
            raise unexpected_status(vm, response)
        return True

    async def state(self, vm: Vm) -> Order:
        """Fetch an engine's current order; raises BerylcartError."""
        response = await self.client.request(
            HttpRequest(
                "GET", vm.address, ORDERS_PATH, timeout_ms=STATE_TIMEOUT_MS
            )
        )
        if response.status != STATUS_OK:
            raise unexpected_status(vm, response)
        return read_state(response.body)


class HttpWeightStore:
    """Implement the WeightStore port over HTTP; address is IP:PORT."""

    def __init__(self, address: str, client: HttpClient) -> None:
        self.address = address
        self.client = client

    async def load(self, instance: str, model: str) -> float:
        """Request one load and return its duration in seconds.

        Raises BerylcartError, with retry_after_ms when the store's rate limit
        is exceeded.
        """
        response = await self.client.request(
            HttpRequest(
                "POST",
                self.address,
                LOADS_PATH,
                write_load(instance, model),
                timeout_ms=GRANT_TIMEOUT_MS,
            )
        )
        if response.status != STATUS_OK:
            raise BerylcartError(
                Code.OVERLOADED,
                f"the weight store answered with status {response.status}",
                retry_after_ms=retry_after_ms(response.headers),
            )
        return read_grant(response.body)
