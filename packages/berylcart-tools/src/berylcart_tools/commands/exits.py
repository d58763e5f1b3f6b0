"""Write command output and convert errors to exit statuses."""

import sys

import cappa
from berylcart.state.config_text import ConfigTextError
from berylcart.state.errors import CODE_INFO, BerylcartError


def report(line: str) -> None:
    """Write one line to stdout without wrapping or markup."""
    sys.stdout.write(f"{line}\n")
    sys.stdout.flush()


def exit_with(error: BerylcartError, subject: str) -> cappa.Exit:
    """Write each fault to stderr; return the exit status of the error code."""
    details: list[object] = [error]
    if isinstance(error, ConfigTextError):
        details = list(error.faults)
    for detail in details:
        sys.stderr.write(f"{subject}: {detail}\n")
    return cappa.Exit(code=CODE_INFO[error.code].exit_status)
