"""Reconcile the engines of pools under a duty fenced by log offsets."""

from berylcart.coordination.duties.keeper import (
    DutyKeeper,
    DutySettings,
    PoolView,
)
from berylcart.coordination.duties.ports import (
    Desired,
    EngineOrders,
    Order,
    WeightStore,
)

__all__ = [
    "Desired",
    "DutyKeeper",
    "DutySettings",
    "EngineOrders",
    "Order",
    "PoolView",
    "WeightStore",
]
