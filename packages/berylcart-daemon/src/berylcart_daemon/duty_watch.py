"""Run a duty keeper for each pool of engines that has models to hold."""

from collections.abc import Mapping
from functools import partial

import anyio
from anyio.abc import TaskGroup
from berylcart.coordination.claims.homes import weight
from berylcart.coordination.config.keeper import ConfigKeeper
from berylcart.coordination.duties.keeper import DutyKeeper, PoolView
from berylcart.coordination.duties.ports import (
    Desired,
    EngineOrders,
    WeightStore,
)
from berylcart.coordination.membership.membership import Membership
from berylcart.coordination.policy.vm_directory import VmDirectory
from berylcart.coordination.ports import Log
from berylcart.state.config import Service, ServiceKind

CANDIDATES = 3
CHECK_PERIOD_S = 2.0


def is_ordered(service: Service) -> bool:
    """Tell whether a service's replicas are ordered to hold models.

    >>> is_ordered(Service("m", ServiceKind.ENGINE, frozenset()))
    False
    """
    return service.kind is ServiceKind.ENGINE and bool(service.models)


def candidates(pool: str, daemon_ids: list[str]) -> list[str]:
    """Choose the few daemons that may hold the duty for a pool.

    >>> candidates("m", ["d1"])
    ['d1']
    >>> len(candidates("m", [f"d{n}" for n in range(400)]))
    3
    """
    ranked = sorted(
        daemon_ids, key=lambda each: (weight(pool, each), each), reverse=True
    )
    return ranked[:CANDIDATES]


class DutyWatch:
    """Start and stop duty keepers as configuration and members change."""

    def __init__(
        self,
        log: Log,
        configs: ConfigKeeper,
        directory: VmDirectory,
        membership: Membership,
        engines: EngineOrders,
        weights: WeightStore,
    ) -> None:
        self.log = log
        self.configs = configs
        self.directory = directory
        self.membership = membership
        self.engines = engines
        self.weights = weights
        self.running: dict[str, anyio.CancelScope] = {}

    async def run(self) -> None:
        """Keep the right keepers running until cancelled."""
        async with anyio.create_task_group() as tasks:
            while True:
                self.adjust(tasks)
                await anyio.sleep(CHECK_PERIOD_S)

    def wanted(self) -> set[str]:
        """Name the pools for which this daemon is a candidate."""
        members = [m.daemon_id for m in self.membership.live_members()]
        services = self.services()
        me = self.membership.me.daemon_id
        return {
            name
            for name, service in services.items()
            if is_ordered(service) and me in candidates(name, members)
        }

    def services(self) -> Mapping[str, Service]:
        """Give the services of the newest configuration."""
        return self.configs.current.configuration.services

    def adjust(self, tasks: TaskGroup) -> None:
        """Start keepers that are wanted and stop the others."""
        wanted = self.wanted()
        for pool in self.running.keys() - wanted:
            self.running.pop(pool).cancel()
        for pool in wanted - self.running.keys():
            scope = anyio.CancelScope()
            self.running[pool] = scope
            tasks.start_soon(self.keep, pool, scope)

    async def keep(self, pool: str, scope: anyio.CancelScope) -> None:
        """Run one pool's keeper until its scope is cancelled."""
        keeper = DutyKeeper(
            self.log,
            pool,
            self.membership.me.daemon_id,
            self.view(pool),
            self.engines,
            self.weights,
        )
        with scope:
            await keeper.run()

    def view(self, pool: str) -> PoolView:
        """Look at a pool through what this daemon knows."""
        return PoolView(
            replicas=partial(self.directory.pool, pool),
            wish=partial(self.wish, pool),
            is_live=self.is_live,
        )

    def wish(self, pool: str) -> Desired | None:
        """State what the configuration wants, while it is current."""
        if not self.configs.is_current:
            return None
        service = self.services().get(pool)
        if service is None or not is_ordered(service):
            return None
        return Desired(service.models)

    def is_live(self, daemon_id: str) -> bool:
        """Tell whether a daemon counts as running."""
        members = self.membership.live_members()
        return any(member.daemon_id == daemon_id for member in members)
