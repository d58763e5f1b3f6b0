"""Keep the configuration in force up to date."""

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
