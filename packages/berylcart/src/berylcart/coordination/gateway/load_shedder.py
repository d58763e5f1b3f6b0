"""Deprioritize and reject orders of one service's queue under overload."""

from collections.abc import Callable, Set
from math import inf

from berylcart import events
from berylcart.coordination.gateway.batch_selection import (
    PieceOrder,
    pieces_per_s,
)
from berylcart.coordination.gateway.gateway_policy import no_replica
from berylcart.coordination.gateway.moore_hodgson import orders_to_deprioritize
from berylcart.coordination.gateway.order_queue import OrderQueue
from berylcart.coordination.gateway.order_rejection import (
    orders_blocking_memory,
    orders_missing_deadline,
    orders_without_replica,
)
from berylcart.coordination.gateway.queue_rates import QueueRates
from berylcart.coordination.gateway.replica_tracker import ReplicaTracker
from berylcart.state.errors import BerylcartError
from berylcart.state.routes import BatchLimits

MS_PER_S = 1000
# Short enough that the caller of a rejected order notices no delay.
SHEDDING_INTERVAL_S = 0.1


class LoadShedder:
    """Deprioritize orders, and reject those that won't get their calls."""

    def __init__(
        self,
        service: str,
        orders: OrderQueue,
        replica_tracker: ReplicaTracker,
        rates: QueueRates,
        overloaded: Callable[[PieceOrder], BerylcartError],
        is_evacuated: Callable[[str], bool],
    ) -> None:
        self.service = service
        self.orders = orders
        self.replica_tracker = replica_tracker
        self.rates = rates
        self.overloaded = overloaded
        self.is_evacuated = is_evacuated
        self.next_run_s = -inf

    def run_if_due(self, limits: BatchLimits, now_s: float) -> None:
        """Process the queue unless the last run was too recent."""
        if now_s < self.next_run_s:
            return
        self.next_run_s = now_s + SHEDDING_INTERVAL_S
        replicas = self.replica_tracker.snapshot_all(limits, now_s)
        self.reject_without_replica({each.place for each in replicas}, now_s)
        if not replicas:
            return
        rate = pieces_per_s(replicas, limits)
        free_s = now_s + min(replica.available_in_s for replica in replicas)
        self.deprioritize(rate, free_s, now_s)
        completion_rate = self.rates.completion_rate()
        if completion_rate is not None:
            rate = min(rate, completion_rate)
        spare_rate = rate - self.rates.arrived.per_s()
        for order in orders_missing_deadline(
            self.orders.waiting, rate, spare_rate, now_s
        ):
            self.reject(order, "no call before its deadline", now_s)
        for order in orders_blocking_memory(
            self.orders.waiting, len(replicas), limits, now_s
        ):
            self.reject(
                order, "inputs hold memory needed by on-time work", now_s
            )

    def reject_without_replica(self, places: Set[str], now_s: float) -> None:
        """Reject the orders that no present replica is permitted to process.

        Unrestricted orders of a service without replicas wait, since one may
        join before they are late, unless the service is evacuated.
        """
        is_evacuated = self.is_evacuated(self.service)
        for order in orders_without_replica(self.orders.waiting, places):
            if order.places is not None or is_evacuated:
                error = no_replica(self.service)
                self.reject(order, "no permitted replica", now_s, error)

    def deprioritize(self, rate: float, free_s: float, now_s: float) -> None:
        """Deprioritize orders so that more of the others are on time."""
        names = orders_to_deprioritize(
            self.orders.waiting, rate, free_s, now_s
        )
        for order in self.orders.set_deprioritized(names):
            events.info(
                "order.deprioritized",
                request_id=order.request_id,
                service=self.service,
                stage=order.stage,
                pieces=order.pieces,
                slack_ms=int((order.due_s - now_s) * MS_PER_S),
                waiting=self.orders.count_waiting(),
                rate_per_s=round(rate, 1),
            )

    def reject(
        self,
        order: PieceOrder,
        reason: str,
        now_s: float,
        error: BerylcartError | None = None,
    ) -> None:
        """Reject an order that won't be completed."""
        pending = self.orders.find_pending(order)
        if pending is None:
            return
        events.info(
            "order.rejected",
            request_id=order.request_id,
            service=self.service,
            stage=order.stage,
            reason=reason,
            rank=order.rank,
            slack_ms=int((order.due_s - now_s) * MS_PER_S),
            waiting=self.orders.count_waiting(),
        )
        pending.fail(error or self.overloaded(order))
        self.orders.dequeue(order)
