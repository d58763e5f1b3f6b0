"""Stop a gateway: take no more requests, answer those that are left."""

import anyio
from berylcart import events
from berylcart.clock import now_s
from berylcart.coordination.gateway.drain import DrainSchedule
from berylcart.coordination.gateway.gateway import Gateway
from berylcart.coordination.gateway.order_router import OrderRouter
from berylcart.transport.caller_server import CallerServer


class GatewayStop:
    """Carry out the schedule of a planned stop."""

    def __init__(
        self,
        gateway: Gateway,
        caller_server: CallerServer,
        order_router: OrderRouter,
    ) -> None:
        self.gateway = gateway
        self.caller_server = caller_server
        self.order_router = order_router

    async def run(self, schedule: DrainSchedule) -> None:
        """Return once all requests have ended, at end_s at the latest."""
        self.gateway.drain.begin(schedule)
        await anyio.sleep(schedule.refuse_s - now_s())
        self.caller_server.close_idle()
        with anyio.move_on_after(schedule.answer_s - now_s()):
            await self.gateway.wait_idle()
            await self.order_router.wait_idle()
        withdrawn = self.gateway.withdraw_unanswered()
        self.caller_server.refuse_incomplete()
        with anyio.move_on_after(schedule.end_s - now_s()):
            await self.gateway.wait_idle()
            await self.caller_server.wait_quiet()
        events.info(
            "daemon.drained",
            withdrawn=withdrawn,
            cut=self.gateway.in_flight,
            foreign_orders=self.order_router.foreign_orders,
        )
