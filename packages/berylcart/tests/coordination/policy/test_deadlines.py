"""Test the split of a deadline between stages."""

from berylcart.coordination.policy.deadlines import (
    can_finish,
    max_first_stage_ms,
    split_deadline,
)
from hypothesis import given
from hypothesis import strategies as st

STAGES = st.lists(
    st.tuples(st.just("s"), st.floats(0, 1e5)), min_size=1, max_size=8
)


@given(remaining_ms=st.floats(0, 1e6), stages=STAGES)
def test_stage_budgets_sum_to_the_remaining_time(remaining_ms, stages):
    budgets = split_deadline(remaining_ms, stages)
    assert len(budgets) == len(stages)
    assert abs(sum(budgets) - remaining_ms) <= 1e-6 * max(1, remaining_ms)


@given(remaining_ms=st.floats(0, 1e6), stages=STAGES)
def test_first_stage_gets_its_expected_latency_if_all_can_finish(
    remaining_ms, stages
):
    if can_finish(remaining_ms, stages):
        budget_ms = max_first_stage_ms(remaining_ms, stages)
        assert budget_ms >= stages[0][1] - 1e-6 * max(1, remaining_ms)


def test_denormal_expected_latency_does_not_inflate_a_budget():
    assert split_deadline(1.5, [("s", 5e-324)]) == (1.5,)
