"""Run the berylcart command line."""

import sys
from dataclasses import dataclass
from typing import TypeAlias

import cappa
from berylcart.state.errors import CODE_INFO, BerylcartError

from berylcart_tools.commands.call import Call
from berylcart_tools.commands.check import Check
from berylcart_tools.commands.demo import Demo
from berylcart_tools.commands.entries import Entries
from berylcart_tools.commands.experiment import Experiment
from berylcart_tools.commands.faults import Faults
from berylcart_tools.commands.history import History
from berylcart_tools.commands.load import Load
from berylcart_tools.commands.publish import Publish
from berylcart_tools.commands.report import Report
from berylcart_tools.commands.standin import StandinCommand
from berylcart_tools.commands.status import Status
from berylcart_tools.commands.versions import Versions

Command: TypeAlias = (
    Call
    | Check
    | Demo
    | Entries
    | Experiment
    | Faults
    | History
    | Load
    | Publish
    | Report
    | StandinCommand
    | Status
    | Versions
)

INTERRUPTED_EXIT_STATUS = 130


@cappa.command(
    name="berylcart",
    help="Configure, call, monitor and measure a berylcart deployment.",
)
@dataclass
class Berylcart:
    """Define the command line of berylcart."""

    command: cappa.Subcommands[Command]


def run() -> int:
    """Parse the command line, run the command and return its exit status."""
    try:
        return cappa.invoke(Berylcart) or 0
    except BerylcartError as error:
        sys.stderr.write(f"berylcart: {error}\n")
        return CODE_INFO[error.code].exit_status
    except KeyboardInterrupt:
        return INTERRUPTED_EXIT_STATUS


def main() -> None:
    """Run the command line and exit with its status."""
    sys.exit(run())


if __name__ == "__main__":
    main()
