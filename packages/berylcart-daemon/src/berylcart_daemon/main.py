"""Implement the berylcartd command line."""

import sys
from dataclasses import dataclass
from pathlib import Path
from typing import Annotated

import anyio
import cappa
from berylcart import events
from berylcart.state.errors import CODE_INFO, BerylcartError

from berylcart_daemon.settings import Settings, load_settings


@cappa.command(
    name="berylcartd",
    help="Serve multi-stage model pipelines at one entry.",
)
@dataclass
class Berylcartd:
    """Hold the parsed command line arguments."""

    settings: Annotated[
        Path, cappa.Arg(long=True, help="The settings file (TOML).")
    ]
    check: Annotated[
        bool, cappa.Arg(long=True, help="Only say whether it is valid.")
    ] = False


def serve(settings: Settings) -> None:
    """Serve until SIGTERM or SIGINT."""
    from berylcart_daemon.daemon import run_daemon

    events.start_logging()
    anyio.run(run_daemon, settings)


def run(command: Berylcartd) -> int:
    """Check the settings or serve; return the exit status."""
    try:
        settings = load_settings(command.settings)
        if command.check:
            sys.stdout.write(f"{command.settings}: valid\n")
            return 0
        serve(settings)
    except BerylcartError as error:
        sys.stderr.write(f"berylcartd: {error}\n")
        return CODE_INFO[error.code].exit_status
    return 0


def main() -> None:
    """Parse the command line and exit with its status."""
    sys.exit(run(cappa.parse(Berylcartd)))


if __name__ == "__main__":
    main()
