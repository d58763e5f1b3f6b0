"""Break real processes in a few ways and judge the histories.

`make faults` brings about every failure, alone and in pairs.
"""

import anyio
import pytest
from berylcart_tools.faults.plans import BY_NAME, pair
from berylcart_tools.faults.run import run_plan

SEED = 3
PLANS = [
    BY_NAME["operators-race"],
    BY_NAME["daemon-killed"],
    pair(BY_NAME["answers-dropped"], BY_NAME["log-answers-lost"]),
]

pytestmark = pytest.mark.processes


@pytest.mark.parametrize("plan", PLANS, ids=[plan.name for plan in PLANS])
def test_promises_hold_under_failure(plan, tmp_path):
    path = tmp_path / "history.jsonl"
    outcome = anyio.run(run_plan, plan, SEED, path)
    assert outcome.violations == []
    assert outcome.answers["whole"] > 0
    assert outcome.runs > 0
