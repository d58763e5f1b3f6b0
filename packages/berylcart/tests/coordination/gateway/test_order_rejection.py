"""Test which orders of a queue are rejected."""

from berylcart.coordination.gateway.order_rejection import (
    orders_blocking_memory,
)

from .test_batch_selection import LIMITS, NOW_S, waiting


def test_late_order_with_large_inputs_is_rejected_behind_on_time_work():
    late = waiting("late", due_s=NOW_S - 1, moved_bytes=360_000)
    started = waiting("begun", due_s=NOW_S - 1, moved_bytes=360_000)
    started = [each._replace(is_begun=True) for each in started]
    small = waiting("small", due_s=NOW_S - 1)
    queue = [*late, *started, *small, *waiting("in-time", 4)]
    rejected = orders_blocking_memory(queue, 1, LIMITS, NOW_S)
    assert [each.request_id for each in rejected] == ["late"]
    assert orders_blocking_memory(queue, 2, LIMITS, NOW_S) == []


def test_late_urgent_order_is_not_rejected_for_less_urgent_work():
    late = waiting("late", rank=0, due_s=NOW_S - 1, moved_bytes=360_000)
    queue = [*late, *waiting("plain", 8, rank=2)]
    assert not orders_blocking_memory(queue, 1, LIMITS, NOW_S)
    queue += waiting("next", 8, rank=1)
    assert orders_blocking_memory(queue, 1, LIMITS, NOW_S) == [late[0].order]
