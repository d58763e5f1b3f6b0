"""Follow the configuration stream of the log."""

from berylcart.coordination.config.follower import (
    ConfigFollower,
    Snapshot,
)
from berylcart.coordination.config.lease import ConfigLease

__all__ = [
    "ConfigFollower",
    "ConfigLease",
    "Snapshot",
]
