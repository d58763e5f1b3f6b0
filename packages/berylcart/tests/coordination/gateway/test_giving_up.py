"""Check which orders of a queue are given up."""

from berylcart.coordination.gateway.giving_up import orders_blocking_memory

from .test_piece_queue import LIMITS, NOW_S, waiting


def test_a_late_order_behind_work_in_time_gives_up_its_inputs():
    late = waiting("late", due_s=NOW_S - 1, moved_bytes=360_000)
    begun = waiting("begun", due_s=NOW_S - 1, moved_bytes=360_000)
    begun = [each._replace(is_begun=True) for each in begun]
    small = waiting("small", due_s=NOW_S - 1)
    queue = [*late, *begun, *small, *waiting("in-time", 4)]
    given_up = orders_blocking_memory(queue, 1, LIMITS, NOW_S)
    assert [each.request_id for each in given_up] == ["late"]
    assert orders_blocking_memory(queue, 2, LIMITS, NOW_S) == []


def test_a_late_urgent_order_is_not_given_up_for_work_of_a_low_rank():
    late = waiting("late", rank=0, due_s=NOW_S - 1, moved_bytes=360_000)
    queue = [*late, *waiting("plain", 8, rank=2)]
    assert not orders_blocking_memory(queue, 1, LIMITS, NOW_S)
    queue += waiting("next", 8, rank=1)
    assert orders_blocking_memory(queue, 1, LIMITS, NOW_S) == [late[0].order]
