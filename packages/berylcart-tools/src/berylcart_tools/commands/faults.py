"""Break a running deployment and judge what was left."""

from dataclasses import dataclass, field
from pathlib import Path
from typing import TYPE_CHECKING, Annotated

import cappa

if TYPE_CHECKING:
    from berylcart_tools.faults.plans import Plan


@cappa.command(
    name="faults",
    help="Bring failures about over real processes and judge the histories.",
)
@dataclass
class Faults:
    """Run plans one after another and print a table."""

    plans: Annotated[
        list[str],
        cappa.Arg(long="--plan", help="Only this plan; may be repeated."),
    ] = field(default_factory=list)
    pairs: Annotated[
        int, cappa.Arg(long=True, help="Also this many random pairs.")
    ] = 0
    seed: Annotated[int, cappa.Arg(long=True)] = 1
    out: Annotated[
        Path, cappa.Arg(long=True, help="Directory for the histories.")
    ] = Path("runs/faults")

    def __call__(self) -> int:
        """Run the plans; exit with HISTORY_VIOLATION's status on any."""
        import anyio
        from berylcart.state.errors import CODE_INFO, Code

        from berylcart_tools.faults.table import run_all, show

        self.out.mkdir(parents=True, exist_ok=True)
        outcomes = anyio.run(run_all, self.chosen(), self.seed, self.out)
        show(outcomes)
        if any(outcome.violations for outcome in outcomes):
            return CODE_INFO[Code.HISTORY_VIOLATION].exit_status
        return 0

    def chosen(self) -> "list[Plan]":
        """Choose the plans; raises BAD_REQUEST for an unknown one."""
        from berylcart.state.errors import BerylcartError, Code

        from berylcart_tools.faults.plans import BY_NAME, PLANS, random_pairs

        unknown = [name for name in self.plans if name not in BY_NAME]
        if unknown:
            known = ", ".join(BY_NAME)
            detail = f"no plan {unknown[0]!r}; there are {known}"
            raise BerylcartError(Code.BAD_REQUEST, detail)
        singles = [BY_NAME[name] for name in self.plans] or list(PLANS)
        return [*singles, *random_pairs(self.pairs, self.seed)]
