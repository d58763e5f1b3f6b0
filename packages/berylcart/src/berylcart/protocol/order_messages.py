"""Encode and decode the messages of engines and the weight store."""

import json

from pydantic import TypeAdapter
from typing_extensions import TypedDict

from berylcart.coordination.duties.ports import DesiredState, Order
from berylcart.protocol.json_codec import read_message
from berylcart.protocol.upstream_messages import Seconds


class EngineStateMessage(TypedDict):
    """Define the response that describes an engine's current order."""

    fencing: int
    models: list[str]
    adapters: list[str]
    version: str
    role: str


class LoadGrantMessage(TypedDict):
    """Define the response to a granted load: its duration."""

    seconds: Seconds


STATE = TypeAdapter(EngineStateMessage)
GRANT = TypeAdapter(LoadGrantMessage)


def write_order(order: Order) -> bytes:
    """Serialize an order as JSON.

    >>> write_order(Order(7, DesiredState(("m",))))[:28]
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
    """Parse an engine's current order; raises MessageError."""
    message = read_message(STATE, body)
    desired = DesiredState(
        tuple(message["models"]),
        tuple(message["adapters"]),
        message["version"],
        message["role"],
    )
    return Order(message["fencing"], desired)


def write_load(instance: str, model: str) -> bytes:
    """Serialize a request to load a model."""
    return json.dumps({"instance": instance, "model": model}).encode()


def read_grant(body: bytes) -> float:
    """Parse the duration of a load in seconds; raises MessageError."""
    return read_message(GRANT, body)["seconds"]
