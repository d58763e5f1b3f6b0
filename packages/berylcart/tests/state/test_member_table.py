"""Test that the result of merging reports does not depend on order."""

from berylcart.state.leaving_marks import LeavingMark, LeavingMarks
from berylcart.state.member_table import (
    Member,
    MemberState,
    merge,
    merge_tables,
)
from hypothesis import given
from hypothesis import strategies as st

MEMBERS = st.builds(
    Member,
    daemon_id=st.just("d1"),
    incarnation=st.integers(0, 3),
    peer_address=st.sampled_from(["a", "b"]),
    http_address=st.just("h"),
    place=st.sampled_from(["p", "q"]),
    state=st.sampled_from(MemberState),
    beat=st.integers(0, 3),
    load=st.sampled_from([0.0, 0.5]),
    is_leaving=st.booleans(),
)
MARKS = st.lists(
    st.builds(LeavingMark, st.sampled_from("abc"), st.integers(0, 5))
)


@given(MEMBERS, MEMBERS)
def test_merge_is_commutative(left, right):
    assert merge(left, right) == merge(right, left)


@given(MEMBERS, MEMBERS, MEMBERS)
def test_merge_is_associative(a, b, c):
    assert merge(merge(a, b), c) == merge(a, merge(b, c))


@given(MEMBERS, MEMBERS)
def test_merge_is_idempotent(left, right):
    merged = merge(left, right)
    assert merge(left, left) == left
    assert merge(merged, right) == merged


@given(MEMBERS, MEMBERS)
def test_dead_member_is_live_again_only_with_a_higher_incarnation(
    dead, report
):
    dead = dead._replace(state=MemberState.DEAD)
    merged = merge(dead, report)
    if merged.is_live:
        assert merged.incarnation > dead.incarnation


@given(st.lists(MEMBERS), st.lists(MEMBERS))
def test_merged_tables_do_not_depend_on_the_order(first, second):
    forwards = merge_tables(merge_tables({}, first), second)
    assert forwards == merge_tables(merge_tables({}, second), first)


@given(MARKS, MARKS)
def test_leaving_marks_do_not_depend_on_the_order(first, second):
    forwards, backwards = LeavingMarks(9), LeavingMarks(9)
    for mark in first + second:
        forwards.add(mark)
    for mark in second + first + second:
        backwards.add(mark)
    assert sorted(forwards) == sorted(backwards)


def test_leaving_marks_are_bounded():
    marks = LeavingMarks(limit=3)
    for index in range(5):
        marks.add(LeavingMark(f"vm-{index}", 1))
    assert len(marks) == 3
    assert not marks.is_leaving("vm-0", 1)
    assert marks.is_leaving("vm-4", 1)
