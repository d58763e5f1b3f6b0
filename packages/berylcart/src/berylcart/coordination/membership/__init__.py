"""Detect which daemons run and disseminate updates between them."""

from berylcart.coordination.membership.hooks import MembershipHooks
from berylcart.coordination.membership.membership import Membership
from berylcart.coordination.membership.peer_port import (
    PeerHandlers,
    Peers,
)
from berylcart.coordination.membership.settings import MembershipSettings

__all__ = [
    "Membership",
    "MembershipHooks",
    "MembershipSettings",
    "PeerHandlers",
    "Peers",
]
