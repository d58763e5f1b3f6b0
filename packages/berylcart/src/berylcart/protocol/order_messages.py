"""Read and write orders to engines and grants of the weight store."""

import json

from pydantic import TypeAdapter
from typing_extensions import TypedDict

from berylcart.coordination.duties.ports import Desired, Order
from berylcart.protocol.json_values import read_message
from berylcart.protocol.upstream_messages import Seconds


class StateMessage(TypedDict):
    """Carry the order in force at an engine."""

    fencing: int
    models: list[str]
    adapters: list[str]
    version: str
    role: str


class GrantMessage(TypedDict):
    """Carry how long a granted load takes."""

    seconds: Seconds


STATE = TypeAdapter(StateMessage)
GRANT = TypeAdapter(GrantMessage)


def write_order(order: Order) -> bytes:
    """Write an order as JSON.

    >>> write_order(Order(7, Desired(("m",))))[:28]
    b'{"fencing": 7, "desired": {"'
    """
    desired = order.desired
    message = {
        "fencing": order.fencing,
        "desired": {
            "models": list(desired.models),
            "adapters": list(desired.adapters),
            "version": desired.version,
            "role": desired.role,
        },
    }
    return json.dumps(message).encode()


def read_state(body: bytes) -> Order:
    """Read the order in force; raises MessageError."""
    message = read_message(STATE, body)
    desired = Desired(
        tuple(message["models"]),
        tuple(message["adapters"]),
        message["version"],
        message["role"],
    )
    return Order(message["fencing"], desired)


def write_load(instance: str, model: str) -> bytes:
    """Write the wish to load a model."""
    return json.dumps({"instance": instance, "model": model}).encode()


def read_grant(body: bytes) -> float:
    """Read how many seconds a load takes; raises MessageError."""
    return read_message(GRANT, body)["seconds"]
