"""Check how a deadline is split_deadline."""

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
def test_budgets_add_up_to_what_remains(remaining_ms, stages):
    budgets = split_deadline(remaining_ms, stages)
    assert len(budgets) == len(stages)
    assert abs(sum(budgets) - remaining_ms) <= 1e-6 * max(1, remaining_ms)


@given(remaining_ms=st.floats(0, 1e6), stages=STAGES)
def test_finishable_stages_get_what_they_expect(remaining_ms, stages):
    if can_finish(remaining_ms, stages):
        budget_ms = max_first_stage_ms(remaining_ms, stages)
        assert budget_ms >= stages[0][1] - 1e-6 * max(1, remaining_ms)


def test_tiny_expectations_do_not_inflate_a_budget():
    assert split_deadline(1.5, [("s", 5e-324)]) == (1.5,)
