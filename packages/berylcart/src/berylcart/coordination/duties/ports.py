"""Define what the duty for a pool needs from engines and weights."""

from typing import NamedTuple, Protocol

from berylcart.state.vm import Vm


class Desired(NamedTuple):
    """State all that an engine shall hold and be."""

    models: tuple[str, ...]
    adapters: tuple[str, ...] = ()
    version: str = ""
    role: str = ""


class Order(NamedTuple):
    """Order a whole desired state under a fencing number."""

    fencing: int
    desired: Desired


class EngineOrders(Protocol):
    """Order engines and read what they hold."""

    async def order(self, vm: Vm, order: Order) -> bool:
        """Apply an order; False when its fencing number is too old.

        Raises UpstreamError.
        """
        ...

    async def state(self, vm: Vm) -> Order:
        """Read the order in force; raises UpstreamError."""
        ...


class WeightStore(Protocol):
    """Ask the rate-limited weight store for loads."""

    async def load(self, instance: str, model: str) -> float:
        """Grant one load and return its duration in seconds.

        Raises BerylcartError with retry_after_ms over the store's rate.
        """
        ...
