"""Reconcile a pool's engines with the active configuration."""

import random
import secrets
from collections.abc import Callable, Sequence
from typing import NamedTuple

import anyio

from berylcart import events
from berylcart.coordination.duties.ports import (
    DesiredState,
    EngineOrders,
    Order,
    WeightStore,
)
from berylcart.coordination.duties.reader import DutyReader
from berylcart.coordination.ports import Log
from berylcart.state.errors import BerylcartError, LogAmbiguousError
from berylcart.state.records import DUTY_STREAM, DutyClaim
from berylcart.state.vm import Vm

MS_PER_S = 1000
SESSION_BYTES = 6


class PoolControllerSettings(NamedTuple):
    """Set the reconciliation interval and the jitter before acquisition."""

    verify_interval_ms: int = 2000
    acquisition_jitter_ms: int = 500


class PoolView(NamedTuple):
    """Provide the daemon's current view of a pool.

    desired_state returns None while no configuration is active.
    is_live returns whether the daemon with that id may still hold a duty.
    """

    replicas: Callable[[], Sequence[Vm]]
    desired_state: Callable[[], DesiredState | None]
    is_live: Callable[[str], bool]


def max_unavailable(replica_count: int) -> int:
    """Return how many replicas of a pool may change at once.

    >>> [max_unavailable(count) for count in (1, 2, 3, 5)]
    [1, 1, 1, 2]
    """
    return max(1, replica_count // 2)


class DutyLostError(Exception):
    """Signal that another daemon now holds the duty."""


class PoolController:
    """Reconcile one pool while holding its duty; call run() in a task.

    The duty is acquired by a claim in the log, when its holder is not live.
    The claim's offset is the fencing token of every order, and each order
    holds the complete desired state.
    """

    def __init__(
        self,
        log: Log,
        pool: str,
        daemon_id: str,
        view: PoolView,
        engines: EngineOrders,
        weights: WeightStore,
        settings: PoolControllerSettings | None = None,
    ) -> None:
        self.log = log
        self.pool = pool
        self.daemon_id = daemon_id
        self.holder = f"{daemon_id}/{secrets.token_hex(SESSION_BYTES)}"
        self.view = view
        self.engines = engines
        self.weights = weights
        self.settings = settings or PoolControllerSettings()
        self.reader = DutyReader(log)
        self.rng = random.Random(f"{daemon_id}/{pool}")

    async def run(self) -> None:
        """Acquire the duty and reconcile the pool until cancelled."""
        while True:
            try:
                await self.step()
            except DutyLostError:
                events.info("duty.lost", pool=self.pool)
            except BerylcartError as error:
                events.warning("duty.failed", pool=self.pool, error=str(error))
            await self._pause(self.settings.verify_interval_ms)

    async def step(self) -> None:
        """Acquire the duty if it is free, and reconcile if it is held.

        Raises DutyLostError, and BerylcartError when the log is unavailable.
        """
        duty = await self.reader.find(self.pool)
        if duty is None or not self._is_live(duty.holder):
            await self._acquire()
        duty = await self.reader.find(self.pool)
        if duty is not None and duty.holder == self.holder:
            await self._reconcile(duty.fencing)

    def _is_live(self, holder: str) -> bool:
        daemon_id = holder.rpartition("/")[0]
        if daemon_id == self.daemon_id:
            return holder == self.holder
        return self.view.is_live(daemon_id)

    async def _acquire(self) -> None:
        """Claim the duty, unless another daemon claimed it meanwhile."""
        duty_before = self.reader.ledger.duty(self.pool)
        await self._pause(self.settings.acquisition_jitter_ms)
        if await self.reader.find(self.pool) != duty_before:
            return
        try:
            claim = DutyClaim(self.pool, self.holder)
            await self.log.append(DUTY_STREAM, [claim])
        except LogAmbiguousError:
            events.info("duty.append_ambiguous", pool=self.pool)

    async def _reconcile(self, fencing: int) -> None:
        """Order the desired state at one replica after another.

        The pass ends after max_unavailable() failed orders, so that a bad
        state never reaches the whole pool.
        """
        replicas = self.view.replicas()
        failures = 0
        for vm in replicas:
            state = await self._read_state(vm)
            if state is None:
                continue
            try:
                await self._reconcile_replica(vm, state, fencing)
            except BerylcartError as error:
                failures += 1
                self._log_failure("duty.order_failed", vm, error)
            if failures >= max_unavailable(len(replicas)):
                return

    async def _read_state(self, vm: Vm) -> Order | None:
        try:
            return await self.engines.state(vm)
        except BerylcartError as error:
            self._log_failure("duty.state_read_failed", vm, error)
            return None

    def _log_failure(self, event: str, vm: Vm, error: BerylcartError) -> None:
        events.warning(event, pool=self.pool, vm=vm.vm_id, error=str(error))

    async def _reconcile_replica(
        self, vm: Vm, state: Order, fencing: int
    ) -> None:
        """Order the desired state at a replica unless it is already in force.

        An older fencing token alone also causes an order, so that an engine
        that checks tokens refuses orders of former holders from then on.
        """
        desired = self.view.desired_state()
        if desired is None or state == Order(fencing, desired):
            return
        models_to_load = set(desired.models) - set(state.desired.models)
        total_load_s = 0.0
        for model in sorted(models_to_load):
            total_load_s += await self._load(vm, model)
        await self._order(vm, fencing, desired)
        await anyio.sleep(total_load_s)

    async def _order(
        self, vm: Vm, fencing: int, desired: DesiredState
    ) -> None:
        """Send an order immediately after verifying that the duty is held."""
        duty = await self.reader.find(self.pool)
        if duty is None or duty.fencing != fencing:
            raise DutyLostError
        if desired != self.view.desired_state():
            return
        if not await self.engines.order(vm, Order(fencing, desired)):
            raise DutyLostError

    async def _load(self, vm: Vm, model: str) -> float:
        """Wait until the weight store admits a load; return its duration."""
        while True:
            try:
                return await self.weights.load(vm.instance, model)
            except BerylcartError as error:
                if error.retry_after_ms is None:
                    raise
                wait_ms = max(error.retry_after_ms, 1)
            await anyio.sleep(wait_ms / MS_PER_S)

    async def _pause(self, max_ms: int) -> None:
        await anyio.sleep(max_ms * self.rng.uniform(0.5, 1) / MS_PER_S)
