"""Keep blocked parts and requests, and suspected ones, in the store."""

from collections.abc import Callable

import anyio
from berylcart import clock, events
from berylcart.coordination.gateway.part_faults import PartFaults
from berylcart.coordination.gateway.store_era import StoreEra
from berylcart.state.errors import BerylcartError
from berylcart.state.peer_messages import PartCrash, PartReport

from berylcart_daemon.gateway_ports import BlockedPartStore

PERIOD_S = 1.0
# A daemon that saw no crash of a part stores its block only after this time,
# in which one that did normally has.
DEFER_S = 3.0


class BlockedPartsSync:
    """Read the store's records at the start, store new ones, remove old ones.

    is_first tells whether this daemon is the one that removes.
    """

    def __init__(
        self,
        faults: PartFaults,
        store: BlockedPartStore,
        store_era: StoreEra,
        is_first: Callable[[], bool],
    ) -> None:
        self.faults = faults
        self.store = store
        self.store_era = store_era
        self.is_first = is_first
        self.read_era: int | None = None
        self.blocked_s: dict[str, float] = {}
        self.forgotten: set[str] = set()
        # The number of crashes that the store is known to hold of a suspect,
        # and those that this daemon stored.
        self.stored_crashes: dict[str, int] = {}
        self.own_suspects: set[str] = set()
        self.changed = anyio.Event()
        faults.on_blocked = self.handle_blocked
        faults.on_suspected = lambda: self.changed.set()
        faults.on_forgotten = self.handle_forgotten

    def handle_blocked(self, part_id: str) -> None:
        """Schedule a write."""
        self.forgotten.discard(part_id)
        self.blocked_s[part_id] = clock.now_s()
        self.changed.set()

    def handle_forgotten(self, part_id: str) -> None:
        """Schedule a removal by one of the daemons."""
        self.blocked_s.pop(part_id, None)
        if self.is_first():
            self.forgotten.add(part_id)

    async def run(self) -> None:
        """Synchronize until cancelled; a failed call is repeated."""
        while True:
            self.changed = anyio.Event()
            try:
                await self.synchronize()
            except BerylcartError as error:
                events.warning(
                    "blocked_parts.store_failed", detail=error.detail
                )
                await anyio.sleep(PERIOD_S)
            with anyio.move_on_after(PERIOD_S):
                await self.changed.wait()

    async def synchronize(self) -> None:
        """Read after a start or a change of era, then write changes."""
        if self.read_era != self.store_era.current:
            era = self.store_era.current
            self.faults.forget_stored()
            self.stored_crashes.clear()
            suspects = await self.store.suspects()
            self.faults.merge("store", suspects)
            for report in suspects:
                self.stored_crashes[report.part_id] = len(report.crashes)
            parts = await self.store.parts()
            self.faults.merge(
                "store",
                [
                    PartReport(
                        part_id,
                        tuple(PartCrash(each, 0) for each in replicas),
                        blocked_age_ms=0,
                        is_stored=True,
                    )
                    for part_id, replicas in parts.items()
                ],
            )
            self.read_era = era
        for part_id, evidence in self.faults.unstored():
            waited_s = clock.now_s() - self.blocked_s.get(part_id, 0.0)
            if evidence.is_own or waited_s >= DEFER_S:
                await self.store.put(part_id, list(evidence.crashes))
                self.faults.mark_stored(part_id)
                events.info("part.stored", part=part_id)
        for part_id in list(self.forgotten):
            await self.store.remove(part_id)
            self.forgotten.discard(part_id)
        await self.synchronize_suspects()

    async def synchronize_suspects(self) -> None:
        """Store evidence that has grown, remove what was cleared or blocked.

        Daemons that saw a crash store it. The first daemon removes it too, as
        the one that stored it may be gone.
        """
        for report in self.faults.suspects():
            part_id, count = report.part_id, len(report.crashes)
            stored = self.stored_crashes.setdefault(part_id, 0)
            if count > stored and self.faults.is_own(part_id):
                self.own_suspects.add(part_id)
                await self.store.put_suspect(report)
                self.stored_crashes[part_id] = count
                events.info("part.suspect_stored", part=part_id, crashes=count)
        for part_id in list(self.stored_crashes):
            if self.faults.is_suspected(part_id):
                continue
            if self.is_first() or part_id in self.own_suspects:
                await self.store.remove_suspect(part_id)
            self.own_suspects.discard(part_id)
            del self.stored_crashes[part_id]
