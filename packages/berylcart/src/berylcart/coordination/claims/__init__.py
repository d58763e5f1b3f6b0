"""Execute non-idempotent requests at most once, by claims in the log."""

from berylcart.coordination.claims.coordinator import ClaimCoordinator
from berylcart.coordination.claims.key_issuer import KeyIssuer
from berylcart.coordination.claims.results import (
    ClaimSettings,
    Granted,
    PriorResult,
)
from berylcart.coordination.claims.run_once import run_once

__all__ = [
    "ClaimCoordinator",
    "ClaimSettings",
    "Granted",
    "KeyIssuer",
    "PriorResult",
    "run_once",
]
