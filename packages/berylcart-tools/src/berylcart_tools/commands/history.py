"""Check a recorded history against the guarantees."""

from dataclasses import dataclass
from pathlib import Path
from typing import Annotated

import cappa

IN_FORCE_BOUND_MS = 8000


@cappa.command(name="check", help="Check a recorded history.")
@dataclass
class HistoryCheck:
    """Print every violated guarantee with the lines that prove it."""

    file: Annotated[
        Path, cappa.Arg(help="A history with one JSON event per line.")
    ]
    in_force_ms: Annotated[
        int,
        cappa.Arg(
            long="--in-force-ms",
            help="Time limit for a configuration to come into force.",
        ),
    ] = IN_FORCE_BOUND_MS

    def __call__(self) -> None:
        """Print violations; exit with HISTORY_VIOLATION's status if any."""
        from berylcart.state.errors import BerylcartError, Code

        from berylcart_tools.commands.exits import exit_with, report
        from berylcart_tools.history.checkers import CHECKERS, check_history
        from berylcart_tools.history.reading import read_history, read_lines

        try:
            history = read_history(read_lines(self.file), self.in_force_ms)
        except BerylcartError as error:
            raise exit_with(error, str(self.file)) from error
        violations = check_history(history)
        for violation in violations:
            lines = ", ".join(str(number) for number in violation.lines)
            report(
                f"{self.file}: {violation.promise}: "
                f"{violation.detail} ({lines})"
            )
        if violations:
            fault = BerylcartError(
                Code.HISTORY_VIOLATION, f"{len(violations)} violations"
            )
            raise exit_with(fault, str(self.file))
        report(
            f"{self.file}: {len(CHECKERS)} promises hold "
            f"over {history.count} events"
        )


@cappa.command(name="history", help="Check recorded histories.")
@dataclass
class History:
    """Group the subcommands that work on histories."""

    command: cappa.Subcommands[HistoryCheck]
