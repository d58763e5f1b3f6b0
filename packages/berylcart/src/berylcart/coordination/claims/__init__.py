"""Execute non-idempotent requests at most once, by claims in the log."""

from berylcart.coordination.claims.keeper import ClaimKeeper
from berylcart.coordination.claims.key_issuer import KeyIssuer
from berylcart.coordination.claims.results import (
    ClaimSettings,
    Found,
    Granted,
)
from berylcart.coordination.claims.run_once import run_once

__all__ = [
    "ClaimKeeper",
    "ClaimSettings",
    "Found",
    "Granted",
    "KeyIssuer",
    "run_once",
]
