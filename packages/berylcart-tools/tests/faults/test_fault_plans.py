"""Inject some faults into real processes and check the histories.

`make faults` runs every fault plan, and random pairs of plans.
"""

import anyio
import pytest
from berylcart_tools.faults.plans import PLANS_BY_NAME, combine
from berylcart_tools.faults.run import run_plan

SEED = 3
PLANS = [
    PLANS_BY_NAME["operators-race"],
    PLANS_BY_NAME["daemon-killed"],
    combine(
        PLANS_BY_NAME["answers-dropped"], PLANS_BY_NAME["log-answers-lost"]
    ),
]

pytestmark = pytest.mark.processes


@pytest.mark.parametrize("plan", PLANS, ids=[plan.name for plan in PLANS])
def test_guarantees_hold_under_faults(plan, tmp_path):
    path = tmp_path / "history.jsonl"
    outcome = anyio.run(run_plan, plan, SEED, path)
    assert outcome.violations == []
    assert outcome.answers["whole"] > 0
    assert outcome.runs > 0
