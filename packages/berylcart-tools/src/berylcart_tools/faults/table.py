"""Run plans one after another and show promise by failure."""

import sys
from collections import Counter
from collections.abc import Sequence
from pathlib import Path

from rich.console import Console
from rich.table import Table

from berylcart_tools.faults.plans import Plan
from berylcart_tools.faults.run import Outcome, run_plan
from berylcart_tools.history.judges import JUDGES

SHOWN_VIOLATIONS = 5


async def run_all(
    plans: Sequence[Plan], seed: int, directory: Path
) -> list[Outcome]:
    """Run every plan, printing one line for each."""
    outcomes = []
    for plan in plans:
        path = directory / f"{plan.name}-{seed}.jsonl"
        outcome = await run_plan(plan, seed, path)
        outcomes.append(outcome)
        sys.stdout.write(describe(outcome) + "\n")
        sys.stdout.flush()
    return outcomes


def describe(outcome: Outcome) -> str:
    """Sum up one run in a line, with its first violations."""
    answers = " ".join(
        f"{name}={count}" for name, count in sorted(outcome.answers.items())
    )
    lines = [
        f"{outcome.plan} seed={outcome.seed} sends={outcome.sends} {answers} "
        f"runs={outcome.runs} violations={len(outcome.violations)}"
    ]
    lines += [
        f"  {violation.promise}: {violation.detail} {violation.lines}"
        for violation in outcome.violations[:SHOWN_VIOLATIONS]
    ]
    return "\n".join(lines)


def show(outcomes: Sequence[Outcome]) -> None:
    """Show the violations of each promise under each failure."""
    table = Table(title="violations by promise and failure")
    table.add_column("failure")
    for number in range(1, len(JUDGES) + 1):
        table.add_column(str(number))
    for outcome in outcomes:
        counts = Counter(one.promise for one in outcome.violations)
        cells = [str(counts[promise]) for promise in JUDGES]
        table.add_row(outcome.plan, *cells)
    console = Console(file=sys.stdout)
    console.print(table)
    for number, promise in enumerate(JUDGES, 1):
        console.print(f"{number}: {promise}")
