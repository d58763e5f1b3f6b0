"""Track the replicas of one batch service and the results they hold."""

from collections.abc import Callable, Iterator, Sequence
from typing import NamedTuple

import anyio

from berylcart import clock, events
from berylcart.coordination.gateway.batch_selection import ReplicaSnapshot
from berylcart.coordination.gateway.ports import PieceClient
from berylcart.coordination.gateway.replica_pauses import ReplicaPauses
from berylcart.coordination.gateway.replica_state import ReplicaState
from berylcart.state.errors import UpstreamError
from berylcart.state.routes import BatchLimits
from berylcart.state.vm import Vm

MS_PER_S = 1000


class PastHolder(NamedTuple):
    """Identify the incarnation that holds a result, and when that expires."""

    key: tuple[str, int]
    until_s: float


class ReplicaTracker:
    """Hold the state of one service's replicas, per incarnation."""

    def __init__(
        self,
        caller: PieceClient,
        pool: Callable[[], Sequence[Vm]],
        pauses: ReplicaPauses,
    ) -> None:
        self.caller = caller
        self.pool = pool
        self.pauses = pauses
        self.states: dict[tuple[str, int], ReplicaState] = {}
        # By handle, results held by incarnations that left the pool.
        self.past_holders: dict[str, PastHolder] = {}

    def state(self, vm: Vm) -> ReplicaState:
        """Return the state of a replica's incarnation, created if missing."""
        key = (vm.vm_id, vm.incarnation)
        state = self.states.get(key)
        if state is None:
            state = self.states[key] = ReplicaState()
        return state

    def retain(self, pool: Sequence[Vm]) -> None:
        """Remove replicas that left the pool and have no running call."""
        current_keys = {(vm.vm_id, vm.incarnation) for vm in pool}
        for key in self.states.keys() - current_keys:
            state = self.states[key]
            self.record_past_holders(key, state)
            if not state.calls:
                del self.states[key]

    def count_running_calls(self, vms: Sequence[Vm]) -> int:
        """Count the calls running on the given replicas."""
        states = (self.states.get((vm.vm_id, vm.incarnation)) for vm in vms)
        return sum(state.calls for state in states if state is not None)

    def record_past_holders(
        self, key: tuple[str, int], state: ReplicaState
    ) -> None:
        """Record which incarnation holds each result until it expires."""
        now_s = clock.now_s()
        for handle, holder in list(self.past_holders.items()):
            if holder.until_s <= now_s:
                del self.past_holders[handle]
        for handle, held in state.results.items():
            self.past_holders[handle] = PastHolder(key, held.until_s)

    def snapshot(
        self, vm: Vm, limits: BatchLimits, now_s: float
    ) -> ReplicaSnapshot:
        """Summarize a replica for batch selection."""
        state = self.state(vm)
        pause_end_s = now_s + self.pauses.remaining_s(vm)
        busy_until_s = max(state.paused_until_s, pause_end_s)
        if state.calls >= limits.slots:
            busy_until_s = max(busy_until_s, state.busy_until_s)
        return ReplicaSnapshot(
            vm_id=vm.vm_id,
            place=vm.place,
            available_in_s=max(0.0, busy_until_s - now_s),
            free_bytes=state.free_bytes(limits.room_bytes, now_s),
            slowdown=state.slowdown_at(now_s),
        )

    def snapshot_all(
        self, limits: BatchLimits, now_s: float
    ) -> list[ReplicaSnapshot]:
        """Summarize all replicas for batch selection."""
        return [self.snapshot(vm, limits, now_s) for vm in self.pool()]

    def queue_free(self, handles: Sequence[str], until_s: float) -> list[Vm]:
        """Queue results to be freed; return replicas that had none queued.

        Another daemon may have requested them. They expire by until_s.
        """
        newly_queued: list[Vm] = []
        for vm, group in self.group_by_replica(handles):
            state = self.state(vm)
            if not state.pending_frees:
                newly_queued.append(vm)
            for handle in group:
                state.queue_free(handle, until_s)
        return newly_queued

    async def free_pending(self, vm: Vm) -> None:
        """Free a replica's queued results.

        Waits until the replica is not paused; results that expire before that
        are skipped.
        """
        remaining_s = self.pauses.remaining_s(vm)
        if remaining_s:
            await anyio.sleep(remaining_s)
            await self.free_pending(vm)
            return
        state = self.state(vm)
        handles = state.take_pending_frees(clock.now_s())
        was_memory_needed = state.is_memory_needed.is_set()
        state.is_memory_needed = anyio.Event()
        state.is_freeing = state.is_freeing or was_memory_needed
        try:
            await self.free_on_replica(vm, handles)
        finally:
            if was_memory_needed:
                state.is_freeing = False

    def group_by_replica(
        self, handles: Sequence[str]
    ) -> Iterator[tuple[Vm, list[str]]]:
        """Group results by the replica that holds them.

        Skips results of an earlier incarnation at the same address, which the
        present one does not hold.
        """
        pool = self.pool()
        self.retain(pool)
        holders = {vm.address: vm for vm in pool}
        held: dict[str, list[str]] = {}
        for handle in handles:
            vm = holders.get(self.caller.holder_address(handle))
            if vm is not None and not self.is_from_other_incarnation(
                handle, vm
            ):
                held.setdefault(vm.address, []).append(handle)
        for address, group in held.items():
            yield holders[address], group

    def is_from_other_incarnation(self, handle: str, vm: Vm) -> bool:
        """Return whether another incarnation of the replica held a result."""
        holder = self.past_holders.get(handle)
        return holder is not None and holder.key != (vm.vm_id, vm.incarnation)

    def mark_evictable(self, handles: Sequence[str]) -> None:
        """Mark results as evictable."""
        for vm, group in self.group_by_replica(handles):
            for handle in group:
                self.state(vm).mark_evictable(handle)

    async def evict(self, vm: Vm) -> None:
        """Free a replica's evictable results."""
        state = self.state(vm)
        handles = sorted(state.evictable)
        state.evictable.clear()
        state.is_freeing = True
        try:
            await self.free_on_replica(vm, handles)
        finally:
            state.is_freeing = False

    async def free_on_replica(self, vm: Vm, handles: Sequence[str]) -> None:
        """Free results on one replica; does nothing once it left the pool."""
        if not handles or vm not in self.pool():
            return
        state = self.state(vm)
        try:
            await self.caller.free_results(vm, handles)
        except UpstreamError as error:
            # The replica frees them itself when they expire.
            events.info(
                "results.free_failed", vm_id=vm.vm_id, detail=error.detail
            )
            return
        now_s = clock.now_s()
        freed = [state.remove_result(handle) for handle in handles]
        held_s = [now_s - each.since_s for each in freed if each is not None]
        events.info(
            "results.freed",
            service=vm.service,
            vm_id=vm.vm_id,
            results=len(handles),
            held_ms=round(max(held_s, default=0.0) * MS_PER_S),
        )
