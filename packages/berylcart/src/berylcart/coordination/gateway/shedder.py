"""Shed the load of one service's queue, and log why."""

from collections.abc import Callable, Set
from math import inf

from berylcart import events
from berylcart.coordination.gateway.gateway_policy import no_replica
from berylcart.coordination.gateway.giving_up import (
    crowded_out,
    hopeless,
    without_maker,
)
from berylcart.coordination.gateway.makers import Makers
from berylcart.coordination.gateway.on_time import yielding_orders
from berylcart.coordination.gateway.orders import Orders
from berylcart.coordination.gateway.piece_queue import Order, pieces_per_s
from berylcart.coordination.gateway.queue_rates import QueueRates
from berylcart.state.errors import BerylcartError
from berylcart.state.routes import BatchLimits

MS_PER_S = 1000
# A caller of a late order notices no shorter time.
PERIOD_S = 0.1


class Shedder:
    """Choose the orders that yield, and give up those that get no calls."""

    def __init__(
        self,
        service: str,
        orders: Orders,
        makers: Makers,
        rates: QueueRates,
        overloaded: Callable[[Order], BerylcartError],
        is_evacuated: Callable[[str], bool],
    ) -> None:
        self.service = service
        self.orders = orders
        self.makers = makers
        self.rates = rates
        self.overloaded = overloaded
        self.is_evacuated = is_evacuated
        self.next_s = -inf

    def look(self, limits: BatchLimits, now_s: float) -> None:
        """Look at the queue if the last look was long enough ago."""
        if now_s < self.next_s:
            return
        self.next_s = now_s + PERIOD_S
        makers = self.makers.describe_all(limits, now_s)
        self.refuse_without_maker({each.place for each in makers}, now_s)
        if not makers:
            return
        rate = pieces_per_s(makers, limits)
        free_s = now_s + min(maker.free_in_s for maker in makers)
        self.note_yielding(rate, free_s, now_s)
        measured = self.rates.measured()
        if measured is not None:
            rate = min(rate, measured)
        spare = rate - self.rates.arrived.per_s()
        for order in hopeless(self.orders.waiting, rate, spare, now_s):
            self.give_up(order, "no call in time", now_s)
        for order in crowded_out(
            self.orders.waiting, len(makers), limits, now_s
        ):
            self.give_up(order, "holds inputs behind work in time", now_s)

    def refuse_without_maker(self, places: Set[str], now_s: float) -> None:
        """Refuse the orders that only replicas could make that may not.

        A service without any replica may get one before its orders are late.
        """
        is_evacuated = self.is_evacuated(self.service)
        for order in without_maker(self.orders.waiting, places):
            if order.places is not None or is_evacuated:
                error = no_replica(self.service)
                self.give_up(order, "no replica may make it", now_s, error)

    def note_yielding(self, rate: float, free_s: float, now_s: float) -> None:
        """Choose the orders that yield so that more are in time."""
        names = yielding_orders(self.orders.waiting, rate, free_s, now_s)
        for order in self.orders.note_yielding(names):
            events.info(
                "order.yields",
                request_id=order.request_id,
                service=self.service,
                stage=order.stage,
                pieces=order.pieces,
                slack_ms=int((order.due_s - now_s) * MS_PER_S),
                waiting=self.orders.count_waiting(),
                rate_per_s=round(rate, 1),
            )

    def give_up(
        self,
        order: Order,
        reason: str,
        now_s: float,
        error: BerylcartError | None = None,
    ) -> None:
        """Refuse an order that won't be made."""
        job = self.orders.job_of(order)
        if job is None:
            return
        events.info(
            "order.given_up",
            request_id=order.request_id,
            service=self.service,
            stage=order.stage,
            reason=reason,
            rank=order.rank,
            slack_ms=int((order.due_s - now_s) * MS_PER_S),
            waiting=self.orders.count_waiting(),
        )
        job.fail(error or self.overloaded(order))
        self.orders.drop_pieces(order)
