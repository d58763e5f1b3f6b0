"""Print tables of experiment results and draw plots."""

import sys
from dataclasses import dataclass
from pathlib import Path
from typing import Annotated

import cappa


@cappa.command(
    name="report", help="Print tables of experiment results and draw plots."
)
@dataclass
class Report:
    """Print tables of experiment results and draw plots."""

    directory: Annotated[
        Path, cappa.Arg(help="Directory with experiment results in JSON.")
    ]
    plots: Annotated[
        Path | None,
        cappa.Arg(long=True, help="Output directory for the plots."),
    ] = None

    def __call__(self) -> int:
        """Print the tables; draw plots if an output directory is given."""
        from berylcart.state.errors import BerylcartError, Code

        from berylcart_tools.experiments.report import (
            draw_plots,
            format_results_table,
            format_workspace_table,
            load_experiments,
        )

        experiments = load_experiments(self.directory)
        if not experiments:
            raise BerylcartError(
                Code.BAD_REQUEST, f"no experiment results in {self.directory}"
            )
        sys.stdout.write(format_results_table(experiments))
        for experiment in experiments:
            name = f"{experiment['deployment']} {experiment['scenario']}"
            sys.stdout.write(
                f"\n{name}\n\n{format_workspace_table(experiment)}"
            )
        if self.plots is not None:
            self.plots.mkdir(parents=True, exist_ok=True)
            draw_plots(experiments, self.plots)
        return 0
