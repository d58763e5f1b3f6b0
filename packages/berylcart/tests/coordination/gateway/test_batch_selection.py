"""Test the selection of pieces for a replica's next call."""

from berylcart.coordination.gateway.batch_selection import (
    PieceOrder,
    QueuedOrder,
    ReplicaSnapshot,
    is_replica_useful,
    select_batch,
)
from berylcart.state.routes import BatchLimits

LIMITS = BatchLimits(1, 2, 8, 150.0, 16.0, 1_280_000, 4.0)
NOW_S = 10.0


def waiting(request_id, pieces=1, **fields):
    known = {
        "request_id": request_id,
        "service": "sms",
        "stage": 1,
        "pieces": pieces,
        "key": "",
        "inputs": ("10.0.0.1:80/x",),
        "rank": 1,
        "due_s": NOW_S + 1,
        "deadline_s": NOW_S + 7,
        "place": "",
        "result_bytes": 60_000,
    }
    order = PieceOrder(**{**known, **fields})
    return [QueuedOrder(order, tuple(range(pieces)), NOW_S, NOW_S + 3)]


def select_ids(*queues, room_bytes=LIMITS.room_bytes):
    replica = ReplicaSnapshot("v1", "lahore-1", 0.0, room_bytes, 1.0)
    queue = [piece for pieces in queues for piece in pieces]
    batch = select_batch(queue, replica, LIMITS, NOW_S)
    return [each.order.request_id for each in batch]


def test_late_order_is_served_between_the_next_two_ranks():
    late = waiting("late", rank=0, due_s=NOW_S - 1)
    queue = [late, waiting("next", rank=1), waiting("last", rank=2)]
    assert select_ids(*queue) == ["next", "late", "last"]


def test_late_order_with_large_inputs_is_served_after_an_on_time_one():
    late = waiting("late", due_s=NOW_S - 1, moved_bytes=360_000)
    assert select_ids(waiting("in-time"), late) == ["in-time", "late"]


def test_started_order_is_served_first():
    started = [e._replace(is_begun=True) for e in waiting("begun", rank=2)]
    assert select_ids(waiting("urgent", rank=0), started) == [
        "begun",
        "urgent",
    ]


def test_order_that_fits_a_call_is_not_split_to_fill_one():
    queue = [waiting("first", 6), waiting("second", 5), waiting("third", 2)]
    assert select_ids(*queue) == ["first"] * 6 + ["third"] * 2


def test_order_with_small_results_is_split_to_fill_a_call():
    queue = [waiting("first", 6), waiting("second", 5, result_bytes=6_000)]
    assert select_ids(*queue) == ["first"] * 6 + ["second"] * 2


def test_order_larger_than_a_call_is_split_to_fill_one():
    queue = [waiting("first", 6), waiting("second", 9)]
    assert select_ids(*queue) == ["first"] * 6 + ["second"] * 2


def test_low_priority_order_is_not_started_before_a_skipped_one():
    late = waiting("late", 9, due_s=NOW_S - 1)
    queue = [waiting("first", 6), waiting("second", 5), late]
    assert select_ids(*queue) == ["first"] * 6
    assert (
        select_ids(waiting("first", 6), late) == ["first"] * 6 + ["late"] * 2
    )


def test_order_is_split_to_fit_the_free_memory():
    assert select_ids(waiting("first", 6), room_bytes=200_000) == ["first"] * 3


def test_remainder_of_a_started_order_is_split_to_fill_a_call():
    rest = [e._replace(is_begun=True) for e in waiting("begun", 6)]
    other = waiting("other", 4, due_s=NOW_S + 0.5)
    other = [e._replace(is_begun=True) for e in other]
    assert select_ids(rest, other) == ["other"] * 4 + ["begun"] * 4


def make_replicas(count, slowdown=1.0, available_in_s=0.1):
    return [
        ReplicaSnapshot(
            f"v{number}", "lahore-1", available_in_s, 1e6, slowdown
        )
        for number in range(count)
    ]


def test_free_replica_of_normal_speed_is_used_in_a_large_pool():
    free = ReplicaSnapshot("free", "lahore-1", 0.0, 1e6, 1.05)
    for others in (2, 8, 40):
        assert is_replica_useful(free, make_replicas(others), 8, LIMITS)


def test_slow_replica_of_a_large_pool_is_used_for_a_long_queue():
    slow = ReplicaSnapshot("slow", "lahore-1", 0.0, 1e6, 5.0)
    others = make_replicas(8)
    # Eight others complete 5 calls each in the duration of one slow call.
    assert not is_replica_useful(slow, others, 8 * 8, LIMITS)
    assert is_replica_useful(slow, others, 8 * 8 * 5, LIMITS)


def test_splitting_large_orders_fills_a_call():
    """Unsplit orders of 8 leave a sixth of a call of 39 empty in a burst."""
    limits = BatchLimits(1, 2, 39, 150, 3.3, 6.7e6, 4)
    queue = [
        QueuedOrder(
            PieceOrder(f"r{n}", "s", 0, 8, "k", (), 0, 9, 9, "", 132_000),
            tuple(range(8)),
            0.0,
            9.0,
        )
        for n in range(50)
    ]
    replica = ReplicaSnapshot("v1", "lahore-1", 0.0, 6.7e6, 1.0)
    unsplit = select_batch(queue, replica, limits, 0.0)
    split = select_batch(queue, replica, limits, 0.0, is_splitting=True)
    assert (len(unsplit), len(split)) == (32, 39)
    assert len({each.order.request_id for each in split}) == 5
