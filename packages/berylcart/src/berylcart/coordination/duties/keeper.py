"""Keep the engines of a pool at the wish of the configuration in force."""

import random
import secrets
from collections.abc import Callable, Sequence
from typing import NamedTuple

import anyio

from berylcart import events
from berylcart.coordination.duties.ports import (
    Desired,
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


class DutySettings(NamedTuple):
    """Say how often a duty is verified and how long a taker hesitates."""

    verify_ms: int = 2000
    take_jitter_ms: int = 500


class PoolView(NamedTuple):
    """Look at a pool through the daemon's newest knowledge.

    wish gives None while the configuration in force is not known, and
    is_live says whether the daemon of that id may still hold a duty.
    """

    replicas: Callable[[], Sequence[Vm]]
    wish: Callable[[], Desired | None]
    is_live: Callable[[str], bool]


def max_in_change(replica_count: int) -> int:
    """Bound how many replicas of a pool may change at once.

    >>> [max_in_change(count) for count in (1, 2, 3, 5)]
    [1, 1, 1, 2]
    """
    return max(1, replica_count // 2)


class DutyLostError(Exception):
    """Report that another daemon holds the duty now."""


class DutyKeeper:
    """Take the duty for one pool when nobody has it; call run() in a task.

    The duty's claim is a record of the log and its offset is the fencing
    number. Every order states the whole desired state.
    """

    def __init__(
        self,
        log: Log,
        pool: str,
        daemon_id: str,
        view: PoolView,
        engines: EngineOrders,
        weights: WeightStore,
        settings: DutySettings | None = None,
    ) -> None:
        self.log = log
        self.pool = pool
        self.daemon_id = daemon_id
        self.holder = f"{daemon_id}/{secrets.token_hex(SESSION_BYTES)}"
        self.view = view
        self.engines = engines
        self.weights = weights
        self.settings = settings or DutySettings()
        self.reader = DutyReader(log)
        self.jitter = random.Random(f"{daemon_id}/{pool}")

    async def run(self) -> None:
        """Verify and repair the pool until cancelled."""
        while True:
            try:
                await self.step()
            except DutyLostError:
                events.info("duty.lost", pool=self.pool)
            except BerylcartError as error:
                events.warning("duty.failed", pool=self.pool, error=str(error))
            await self._pause(self.settings.verify_ms)

    async def step(self) -> None:
        """Take a free duty, and act on it while it is held.

        Raises DutyLostError, and BerylcartError when the log is down.
        """
        duty = await self.reader.find(self.pool)
        if duty is None or not self._is_live(duty.holder):
            await self._take()
        duty = await self.reader.find(self.pool)
        if duty is not None and duty.holder == self.holder:
            await self._repair(duty.fencing)

    def _is_live(self, holder: str) -> bool:
        daemon_id = holder.rpartition("/")[0]
        if daemon_id == self.daemon_id:
            return holder == self.holder
        return self.view.is_live(daemon_id)

    async def _take(self) -> None:
        """Claim the duty unless another daemon did so meanwhile."""
        seen = self.reader.ledger.duty(self.pool)
        await self._pause(self.settings.take_jitter_ms)
        if await self.reader.find(self.pool) != seen:
            return
        try:
            claim = DutyClaim(self.pool, self.holder)
            await self.log.append(DUTY_STREAM, [claim])
        except LogAmbiguousError:
            events.info("duty.append_ambiguous", pool=self.pool)

    async def _repair(self, fencing: int) -> None:
        """Bring replicas to the wish, one after another.

        Failed orders end the pass before they reach half of the pool.
        """
        replicas = self.view.replicas()
        failures = 0
        for vm in replicas:
            state = await self._read_state(vm)
            if state is None:
                continue
            try:
                await self._repair_one(vm, state, fencing)
            except BerylcartError as error:
                failures += 1
                self._warn("duty.order_failed", vm, error)
            if failures >= max_in_change(len(replicas)):
                return

    async def _read_state(self, vm: Vm) -> Order | None:
        try:
            return await self.engines.state(vm)
        except BerylcartError as error:
            self._warn("duty.state_unread", vm, error)
            return None

    def _warn(self, name: str, vm: Vm, error: BerylcartError) -> None:
        events.warning(name, pool=self.pool, vm=vm.vm_id, error=str(error))

    async def _repair_one(self, vm: Vm, state: Order, fencing: int) -> None:
        """Order one replica unless it holds the wish under this duty.

        The order goes out even if only the fencing number is older, so that
        an engine that checks it refuses a former holder from then on.
        """
        desired = self.view.wish()
        if desired is None or state == Order(fencing, desired):
            return
        missing = set(desired.models) - set(state.desired.models)
        loading_s = 0.0
        for model in sorted(missing):
            loading_s += await self._load(vm, model)
        await self._order(vm, fencing, desired)
        await anyio.sleep(loading_s)

    async def _order(self, vm: Vm, fencing: int, desired: Desired) -> None:
        """Read the duty once more, then order at once."""
        duty = await self.reader.find(self.pool)
        if duty is None or duty.fencing != fencing:
            raise DutyLostError
        if desired != self.view.wish():
            return
        if not await self.engines.order(vm, Order(fencing, desired)):
            raise DutyLostError

    async def _load(self, vm: Vm, model: str) -> float:
        """Wait for the weight store's leave to load a model."""
        while True:
            try:
                return await self.weights.load(vm.instance, model)
            except BerylcartError as error:
                if error.retry_after_ms is None:
                    raise
                wait_ms = max(error.retry_after_ms, 1)
            await anyio.sleep(wait_ms / MS_PER_S)

    async def _pause(self, most_ms: int) -> None:
        await anyio.sleep(most_ms * self.jitter.uniform(0.5, 1) / MS_PER_S)
