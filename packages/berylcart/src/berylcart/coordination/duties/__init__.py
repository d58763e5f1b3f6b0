"""Reconcile the engines of pools under a duty fenced by log offsets."""

from berylcart.coordination.duties.controller import (
    PoolController,
    PoolControllerSettings,
    PoolView,
)
from berylcart.coordination.duties.ports import (
    DesiredState,
    EngineOrders,
    Order,
    WeightStore,
)

__all__ = [
    "DesiredState",
    "EngineOrders",
    "Order",
    "PoolController",
    "PoolControllerSettings",
    "PoolView",
    "WeightStore",
]
