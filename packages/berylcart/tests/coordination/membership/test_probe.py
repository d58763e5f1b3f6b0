"""Check the order of probes."""

from random import Random

from berylcart.coordination.membership.probe import ProbeOrder
from hypothesis import given
from hypothesis import strategies as st

NAMES = st.lists(st.text(min_size=1, max_size=2), unique=True, min_size=1)


@given(NAMES, st.integers(0, 9))
def test_each_round_visits_each_once(names, seed):
    order = ProbeOrder(Random(seed))
    for _ in range(3):
        visits = [order.next(names) for _ in names]
        assert sorted(visits) == sorted(names)


@given(NAMES, NAMES, st.integers(0, 9))
def test_newcomers_are_visited_in_the_present_round(names, others, seed):
    order = ProbeOrder(Random(seed))
    everybody = sorted({*names, *others})
    visits = [order.next(names)]
    visits += [order.next(everybody) for _ in everybody[1:]]
    assert sorted(visits) == everybody


@given(NAMES, st.integers(0, 9))
def test_those_gone_are_passed_over(names, seed):
    order = ProbeOrder(Random(seed))
    order.next(names)
    rest = names[1:]
    assert {order.next(rest) for _ in range(9)} <= {*rest, None}


def test_nobody_to_probe():
    assert ProbeOrder(Random(1)).next([]) is None
