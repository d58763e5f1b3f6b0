"""Inject faults into a running deployment and check the histories."""

from dataclasses import dataclass, field
from pathlib import Path
from typing import TYPE_CHECKING, Annotated

import cappa

if TYPE_CHECKING:
    from berylcart_tools.faults.plans import Plan


@cappa.command(
    name="faults",
    help="Inject faults into real processes and check the histories.",
)
@dataclass
class Faults:
    """Run fault plans in sequence and print a table of violations."""

    plans: Annotated[
        list[str],
        cappa.Arg(long="--plan", help="Run only this plan; may be repeated."),
    ] = field(default_factory=list)
    pairs: Annotated[
        int,
        cappa.Arg(long=True, help="Number of random pairs of plans to add."),
    ] = 0
    seed: Annotated[int, cappa.Arg(long=True)] = 1
    out: Annotated[
        Path, cappa.Arg(long=True, help="Output directory for the histories.")
    ] = Path("runs/faults")

    def __call__(self) -> int:
        """Run the plans; return HISTORY_VIOLATION's status on a violation."""
        import anyio
        from berylcart.state.errors import CODE_INFO, Code

        from berylcart_tools.faults.table import (
            print_violation_table,
            run_plans,
        )

        self.out.mkdir(parents=True, exist_ok=True)
        outcomes = anyio.run(
            run_plans, self.selected_plans(), self.seed, self.out
        )
        print_violation_table(outcomes)
        if any(outcome.violations for outcome in outcomes):
            return CODE_INFO[Code.HISTORY_VIOLATION].exit_status
        return 0

    def selected_plans(self) -> "list[Plan]":
        """Return the plans to run; raises BAD_REQUEST for an unknown name."""
        from berylcart.state.errors import BerylcartError, Code

        from berylcart_tools.faults.plans import (
            PLANS,
            PLANS_BY_NAME,
            random_pairs,
        )

        unknown = [name for name in self.plans if name not in PLANS_BY_NAME]
        if unknown:
            known = ", ".join(PLANS_BY_NAME)
            detail = f"unknown plan {unknown[0]!r}; expected one of: {known}"
            raise BerylcartError(Code.BAD_REQUEST, detail)
        single_plans = [PLANS_BY_NAME[name] for name in self.plans] or list(
            PLANS
        )
        return [*single_plans, *random_pairs(self.pairs, self.seed)]
