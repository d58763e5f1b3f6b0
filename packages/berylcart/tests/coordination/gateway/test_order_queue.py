"""Test the order queue of one service."""

import anyio
from berylcart.coordination.gateway.batch_selection import (
    PieceOrder,
    ReplicaSnapshot,
    select_batch,
)
from berylcart.coordination.gateway.order_queue import OrderQueue
from berylcart.state.routes import BatchLimits

from ..serving_fakes import run

LIMITS = BatchLimits(1, 2, 8, 150.0, 16.0, 1_280_000, 4.0)
MAKER = ReplicaSnapshot("v1", "lahore-1", 0.0, 1e9, 1.0)


def make_order(request_id, pieces):
    return PieceOrder(
        request_id, "s", 0, pieces, "k", (), 0, 9.0, 9.0, "", result_bytes=10
    )


def select_and_remove(orders):
    now_s = anyio.current_time()
    batch = select_batch(orders.waiting, MAKER, LIMITS, now_s)
    orders.remove_batch(batch)
    return [(each.order.request_id, each.number) for each in batch], batch


def test_queue_has_one_entry_for_each_order():
    async def check():
        orders = OrderQueue()
        for number in range(10):
            orders.add(make_order(f"r{number}", 400), 9.0)
        assert orders.count_waiting() == 4000
        assert len(orders.waiting) == 10
        select_and_remove(orders)
        assert orders.count_waiting() == 4000 - LIMITS.pieces
        assert len(orders.waiting) == 10

    run(check)


def test_remainder_of_a_started_order_is_selected_next():
    async def check():
        orders = OrderQueue()
        orders.add(make_order("r1", 10), 9.0)
        select_and_remove(orders)
        orders.add(make_order("r0", 3), 9.0)
        rest = [("r1", 8), ("r1", 9)]
        assert select_and_remove(orders)[0] == rest + [
            ("r0", n) for n in range(3)
        ]
        assert not orders.waiting

    run(check)


def test_requeued_piece_keeps_its_failure_count():
    async def check():
        orders = OrderQueue()
        orders.add(make_order("r1", 2), 9.0)
        _, batch = select_and_remove(orders)
        orders.requeue(batch[1], failures=1)
        names, again = select_and_remove(orders)
        assert names == [("r1", 1)]
        assert again[0].entry.failures == 1
        assert again[0].entry.is_begun

    run(check)
