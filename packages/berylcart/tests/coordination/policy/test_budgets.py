"""Test that the number of extra attempts stays within the budget."""

from berylcart.coordination.policy.budgets import RetryBudget, ServiceBudgets
from hypothesis import given
from hypothesis import strategies as st


@given(events=st.lists(st.booleans(), max_size=500))
def test_extra_attempts_never_exceed_ratio_and_burst(events):
    budget = RetryBudget(ratio=0.1, burst=3)
    requests = taken = 0
    for is_request in events:
        if is_request:
            budget.record_request()
            requests += 1
        elif budget.try_take():
            taken += 1
    assert taken <= 3 + 0.1 * requests + 1e-9


def test_services_have_separate_budgets():
    budgets = ServiceBudgets(ratio=0.1, burst=2)
    taken = [budgets.try_take("encoder") for _ in range(5)]
    assert taken.count(True) == 2
    assert budgets.try_take("model")
    budgets.record_request("model")
    assert not budgets.try_take("encoder")
