"""Define the ports to the engines and the weight store."""

from typing import NamedTuple, Protocol

from berylcart.state.vm import Vm


class DesiredState(NamedTuple):
    """Hold the desired state of an engine."""

    models: tuple[str, ...]
    adapters: tuple[str, ...] = ()
    version: str = ""
    role: str = ""


class Order(NamedTuple):
    """Hold a complete desired state with a fencing token."""

    fencing: int
    desired: DesiredState


class EngineOrders(Protocol):
    """Send orders to engines and read their state."""

    async def order(self, vm: Vm, order: Order) -> bool:
        """Apply an order; False when its fencing token is too old.

        Raises UpstreamError.
        """
        ...

    async def state(self, vm: Vm) -> Order:
        """Read the order in effect; raises UpstreamError."""
        ...


class WeightStore(Protocol):
    """Request loads from the rate-limited weight store."""

    async def load(self, instance: str, model: str) -> float:
        """Admit one load and return its duration in seconds.

        Raises BerylcartError, with retry_after_ms when over the rate limit.
        """
        ...
