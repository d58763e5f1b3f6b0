"""Know the replicas that make pieces, and what they hold."""

from collections.abc import Callable, Iterator, Sequence
from typing import NamedTuple

import anyio

from berylcart import clock, events
from berylcart.coordination.gateway.maker_state import MakerState
from berylcart.coordination.gateway.piece_queue import Maker
from berylcart.coordination.gateway.ports import PieceCaller
from berylcart.coordination.gateway.replica_pauses import ReplicaPauses
from berylcart.state.errors import UpstreamError
from berylcart.state.routes import BatchLimits
from berylcart.state.vm import Vm

MS_PER_S = 1000


class Former(NamedTuple):
    """Tell which start of a replica made a result, and until when it lasts."""

    key: tuple[str, int]
    until_s: float


class Makers:
    """Hold what is known of one service's replicas."""

    def __init__(
        self,
        caller: PieceCaller,
        pool: Callable[[], Sequence[Vm]],
        pauses: ReplicaPauses,
    ) -> None:
        self.caller = caller
        self.pool = pool
        self.pauses = pauses
        self.states: dict[tuple[str, int], MakerState] = {}
        # Results of replicas that are not in use any more, by handle.
        self.former: dict[str, Former] = {}

    def state(self, vm: Vm) -> MakerState:
        """Find what is known of a replica."""
        key = (vm.vm_id, vm.incarnation)
        state = self.states.get(key)
        if state is None:
            state = self.states[key] = MakerState()
        return state

    def retain(self, pool: Sequence[Vm]) -> None:
        """Forget replicas that are gone and have no call."""
        kept = {(vm.vm_id, vm.incarnation) for vm in pool}
        for key in self.states.keys() - kept:
            state = self.states[key]
            self.note_former(key, state)
            if not state.calls:
                del self.states[key]

    def count_calls(self, vms: Sequence[Vm]) -> int:
        """Count the calls that run at some replicas."""
        states = (self.states.get((vm.vm_id, vm.incarnation)) for vm in vms)
        return sum(state.calls for state in states if state is not None)

    def note_former(self, key: tuple[str, int], state: MakerState) -> None:
        """Remember whose the results of a replica were while they last."""
        now_s = clock.now_s()
        for handle, former in list(self.former.items()):
            if former.until_s <= now_s:
                del self.former[handle]
        for handle, held in state.results.items():
            self.former[handle] = Former(key, held.until_s)

    def describe(self, vm: Vm, limits: BatchLimits, now_s: float) -> Maker:
        """Describe a replica for a decision."""
        state = self.state(vm)
        pause_end_s = now_s + self.pauses.left_s(vm)
        busy_until_s = max(state.paused_until_s, pause_end_s)
        if state.calls >= limits.slots:
            busy_until_s = max(busy_until_s, state.busy_until_s)
        return Maker(
            vm_id=vm.vm_id,
            place=vm.place,
            free_in_s=max(0.0, busy_until_s - now_s),
            room_bytes=state.room_bytes(limits.room_bytes, now_s),
            slowness=state.slowness_at(now_s),
        )

    def describe_all(self, limits: BatchLimits, now_s: float) -> list[Maker]:
        """Describe all replicas for a decision."""
        return [self.describe(vm, limits, now_s) for vm in self.pool()]

    def note_unread(self, handles: Sequence[str], until_s: float) -> list[Vm]:
        """Note results to drop, and list replicas that had none before.

        Another daemon may have had them made. They expire until then.
        """
        new: list[Vm] = []
        for vm, group in self.by_holder(handles):
            state = self.state(vm)
            if not state.unread:
                new.append(vm)
            for handle in group:
                state.note_unread(handle, until_s)
        return new

    async def free_unread(self, vm: Vm) -> None:
        """Drop a replica's results that nobody reads any more.

        Waits until the replica is not paused; what expires before is left.
        """
        left_s = self.pauses.left_s(vm)
        if left_s:
            await anyio.sleep(left_s)
            await self.free_unread(vm)
            return
        state = self.state(vm)
        handles = state.take_unread(clock.now_s())
        was_wanted = state.is_room_wanted.is_set()
        state.is_room_wanted = anyio.Event()
        state.is_clearing = state.is_clearing or was_wanted
        try:
            await self.free_at(vm, handles)
        finally:
            if was_wanted:
                state.is_clearing = False

    def by_holder(
        self, handles: Sequence[str]
    ) -> Iterator[tuple[Vm, list[str]]]:
        """Group results by the replica that holds them.

        Another start of a replica at the same address holds none of them.
        """
        pool = self.pool()
        self.retain(pool)
        holders = {vm.address: vm for vm in pool}
        held: dict[str, list[str]] = {}
        for handle in handles:
            vm = holders.get(self.caller.holder(handle))
            if vm is not None and not self.is_former(handle, vm):
                held.setdefault(vm.address, []).append(handle)
        for address, group in held.items():
            yield holders[address], group

    def is_former(self, handle: str, vm: Vm) -> bool:
        """Tell whether a result went with another start of its replica."""
        former = self.former.get(handle)
        return former is not None and former.key != (vm.vm_id, vm.incarnation)

    def note_spare(self, handles: Sequence[str]) -> None:
        """Note results that may give way to others."""
        for vm, group in self.by_holder(handles):
            for handle in group:
                self.state(vm).note_spare(handle)

    async def clear_spare(self, vm: Vm) -> None:
        """Drop a replica's results that may give way to others."""
        state = self.state(vm)
        handles = sorted(state.spare)
        state.spare.clear()
        state.is_clearing = True
        try:
            await self.free_at(vm, handles)
        finally:
            state.is_clearing = False

    async def free_at(self, vm: Vm, handles: Sequence[str]) -> None:
        """Drop results at one replica, none where it takes no new work."""
        if not handles or vm not in self.pool():
            return
        state = self.state(vm)
        try:
            await self.caller.free_results(vm, handles)
        except UpstreamError as error:
            # The replica drops them by itself after a while.
            events.info(
                "results.not_freed", vm_id=vm.vm_id, detail=error.detail
            )
            return
        now_s = clock.now_s()
        dropped = [state.drop(handle) for handle in handles]
        held_s = [now_s - each.since_s for each in dropped if each is not None]
        events.info(
            "results.dropped",
            service=vm.service,
            vm_id=vm.vm_id,
            results=len(handles),
            held_ms=round(max(held_s, default=0.0) * MS_PER_S),
        )
