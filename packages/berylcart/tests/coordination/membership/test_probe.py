"""Test the order of probes."""

from random import Random

from berylcart.coordination.membership.probe import ProbeOrder
from hypothesis import given
from hypothesis import strategies as st

NAMES = st.lists(st.text(min_size=1, max_size=2), unique=True, min_size=1)


@given(NAMES, st.integers(0, 9))
def test_each_round_visits_each_member_once(names, seed):
    order = ProbeOrder(Random(seed))
    for _ in range(3):
        visits = [order.next(names) for _ in names]
        assert sorted(visits) == sorted(names)


@given(NAMES, NAMES, st.integers(0, 9))
def test_new_members_are_visited_in_the_current_round(names, others, seed):
    order = ProbeOrder(Random(seed))
    all_names = sorted({*names, *others})
    visits = [order.next(names)]
    visits += [order.next(all_names) for _ in all_names[1:]]
    assert sorted(visits) == all_names


@given(NAMES, st.integers(0, 9))
def test_removed_members_are_skipped(names, seed):
    order = ProbeOrder(Random(seed))
    order.next(names)
    rest = names[1:]
    assert {order.next(rest) for _ in range(9)} <= {*rest, None}


def test_no_candidates_give_none():
    assert ProbeOrder(Random(1)).next([]) is None
