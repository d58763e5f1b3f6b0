"""Judge a recorded history against each promise."""

from dataclasses import dataclass
from pathlib import Path
from typing import Annotated

import cappa

IN_FORCE_MS = 8000


@cappa.command(name="check", help="Judge a recorded history.")
@dataclass
class HistoryCheck:
    """Print every violation of a promise, with the lines that show it."""

    file: Annotated[Path, cappa.Arg(help="One JSON event a line.")]
    in_force_ms: Annotated[
        int,
        cappa.Arg(
            long="--in-force-ms",
            help="How long a configuration may take to come into force.",
        ),
    ] = IN_FORCE_MS

    def __call__(self) -> None:
        """Judge the file; exit with HISTORY_VIOLATION's status if broken."""
        from berylcart.state.errors import BerylcartError, Code

        from berylcart_tools.commands.exits import exit_with, report
        from berylcart_tools.history.judges import JUDGES, judge_history
        from berylcart_tools.history.reading import read_history, read_lines

        try:
            history = read_history(read_lines(self.file), self.in_force_ms)
        except BerylcartError as error:
            raise exit_with(error, str(self.file)) from error
        violations = judge_history(history)
        for each in violations:
            lines = ", ".join(str(number) for number in each.lines)
            report(f"{self.file}: {each.promise}: {each.detail} ({lines})")
        if violations:
            fault = BerylcartError(
                Code.HISTORY_VIOLATION, f"{len(violations)} violations"
            )
            raise exit_with(fault, str(self.file))
        report(
            f"{self.file}: {len(JUDGES)} promises hold "
            f"over {history.count} events"
        )


@cappa.command(name="history", help="Judge recorded histories.")
@dataclass
class History:
    """Group the subcommands over histories."""

    command: cappa.Subcommands[HistoryCheck]
