"""Follow the configuration stream of the log."""

from berylcart.coordination.config.keeper import (
    ConfigKeeper,
    Snapshot,
)
from berylcart.coordination.config.lease import ConfigLease

__all__ = [
    "ConfigKeeper",
    "ConfigLease",
    "Snapshot",
]
