"""Run duty keepers for the engine pools that have models assigned."""

from collections.abc import Mapping
from functools import partial

import anyio
from anyio.abc import TaskGroup
from berylcart.coordination.claims.homes import rendezvous_weight
from berylcart.coordination.config.follower import ConfigFollower
from berylcart.coordination.duties.controller import PoolController, PoolView
from berylcart.coordination.duties.ports import (
    DesiredState,
    EngineOrders,
    WeightStore,
)
from berylcart.coordination.membership.membership import Membership
from berylcart.coordination.policy.vm_directory import VmDirectory
from berylcart.coordination.ports import Log
from berylcart.state.config import Service, ServiceKind

MAX_CANDIDATES = 3
CHECK_PERIOD_S = 2.0


def has_assigned_models(service: Service) -> bool:
    """Tell whether a service has engine replicas with assigned models.

    >>> has_assigned_models(Service("m", ServiceKind.ENGINE, frozenset()))
    False
    """
    return service.kind is ServiceKind.ENGINE and bool(service.models)


def candidates(pool: str, daemon_ids: list[str]) -> list[str]:
    """Choose the few duty candidates of a pool by rendezvous hashing.

    >>> candidates("m", ["d1"])
    ['d1']
    >>> len(candidates("m", [f"d{n}" for n in range(400)]))
    3
    """
    ranked = sorted(
        daemon_ids,
        key=lambda daemon_id: (rendezvous_weight(pool, daemon_id), daemon_id),
        reverse=True,
    )
    return ranked[:MAX_CANDIDATES]


class DutySupervisor:
    """Start and stop duty keepers as configuration and membership change."""

    def __init__(
        self,
        log: Log,
        configs: ConfigFollower,
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
        self.keeper_scopes: dict[str, anyio.CancelScope] = {}

    async def run(self) -> None:
        """Reconcile the running keepers periodically until cancelled."""
        async with anyio.create_task_group() as tasks:
            while True:
                self.reconcile(tasks)
                await anyio.sleep(CHECK_PERIOD_S)

    def candidate_pools(self) -> set[str]:
        """Find the pools for which this daemon is a candidate."""
        daemon_ids = [
            each.daemon_id for each in self.membership.live_members()
        ]
        services = self.services()
        own_id = self.membership.local_member.daemon_id
        return {
            name
            for name, service in services.items()
            if has_assigned_models(service)
            and own_id in candidates(name, daemon_ids)
        }

    def services(self) -> Mapping[str, Service]:
        """Give the services of the configuration in force."""
        return self.configs.current.configuration.services

    def reconcile(self, tasks: TaskGroup) -> None:
        """Start keepers for new candidate pools and stop the others."""
        pools = self.candidate_pools()
        for pool in self.keeper_scopes.keys() - pools:
            self.keeper_scopes.pop(pool).cancel()
        for pool in pools - self.keeper_scopes.keys():
            scope = anyio.CancelScope()
            self.keeper_scopes[pool] = scope
            tasks.start_soon(self.run_keeper, pool, scope)

    async def run_keeper(self, pool: str, scope: anyio.CancelScope) -> None:
        """Run the keeper of one pool until its scope is cancelled."""
        keeper = PoolController(
            self.log,
            pool,
            self.membership.local_member.daemon_id,
            self.make_view(pool),
            self.engines,
            self.weights,
        )
        with scope:
            await keeper.run()

    def make_view(self, pool: str) -> PoolView:
        """Build the keeper's view of a pool from this daemon's state."""
        return PoolView(
            replicas=partial(self.directory.pool, pool),
            desired_state=partial(self.find_desired, pool),
            is_live=self.is_live,
        )

    def find_desired(self, pool: str) -> DesiredState | None:
        """Give a pool's desired state, None without a valid configuration."""
        if not self.configs.is_current:
            return None
        service = self.services().get(pool)
        if service is None or not has_assigned_models(service):
            return None
        return DesiredState(service.models)

    def is_live(self, daemon_id: str) -> bool:
        """Tell whether a daemon is a live member."""
        members = self.membership.live_members()
        return any(member.daemon_id == daemon_id for member in members)
