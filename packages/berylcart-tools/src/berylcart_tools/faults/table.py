"""Run fault plans in sequence and tabulate violations by guarantee."""

import sys
from collections import Counter
from collections.abc import Sequence
from pathlib import Path

from rich.console import Console
from rich.table import Table

from berylcart_tools.faults.plans import Plan
from berylcart_tools.faults.run import FaultRunOutcome, run_plan
from berylcart_tools.history.checkers import CHECKERS

MAX_SHOWN_VIOLATIONS = 5


async def run_plans(
    plans: Sequence[Plan], seed: int, directory: Path
) -> list[FaultRunOutcome]:
    """Run the plans in sequence and print a summary of each."""
    outcomes = []
    for plan in plans:
        path = directory / f"{plan.name}-{seed}.jsonl"
        outcome = await run_plan(plan, seed, path)
        outcomes.append(outcome)
        sys.stdout.write(format_outcome(outcome) + "\n")
        sys.stdout.flush()
    return outcomes


def format_outcome(outcome: FaultRunOutcome) -> str:
    """Format the summary of a run, with its first violations."""
    answers = " ".join(
        f"{name}={count}" for name, count in sorted(outcome.answers.items())
    )
    lines = [
        f"{outcome.plan} seed={outcome.seed} sends={outcome.sends} {answers} "
        f"runs={outcome.runs} violations={len(outcome.violations)}"
    ]
    lines += [
        f"  {violation.promise}: {violation.detail} {violation.lines}"
        for violation in outcome.violations[:MAX_SHOWN_VIOLATIONS]
    ]
    return "\n".join(lines)


def print_violation_table(outcomes: Sequence[FaultRunOutcome]) -> None:
    """Print the number of violations of each guarantee under each plan."""
    table = Table(title="violations by promise and failure")
    table.add_column("failure")
    for number in range(1, len(CHECKERS) + 1):
        table.add_column(str(number))
    for outcome in outcomes:
        counts = Counter(violation.promise for violation in outcome.violations)
        cells = [str(counts[promise]) for promise in CHECKERS]
        table.add_row(outcome.plan, *cells)
    console = Console(file=sys.stdout)
    console.print(table)
    for number, promise in enumerate(CHECKERS, 1):
        console.print(f"{number}: {promise}")
