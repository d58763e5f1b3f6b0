"""Admit requests that can finish in time and refuse the rest at once."""

from collections import Counter
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager
from typing import NamedTuple

import anyio
from cachetools import TTLCache

from berylcart.coordination.policy.concurrency import (
    AdaptiveLimit,
    LimitSettings,
)
from berylcart.coordination.policy.fair_queue import FairQueue, Waiting
from berylcart.state.config import Workspace
from berylcart.state.errors import BerylcartError, Code

MS_PER_S = 1000
LEAST_RETRY_MS = 50
LONGEST_RETRY_MS = 5000
MAX_WORKSPACES = 1024
ACTIVE_S = 10.0


class AdmissionSettings(NamedTuple):
    """Bound what one entry takes in for one target.

    wait_share is the part of the spare time that may be spent waiting.
    headroom is the part of the limit kept from workspaces that already use
    their share; longest_wait_ms bounds the wait of these alone.
    """

    limit: LimitSettings = LimitSettings()
    max_waiting: int = 256
    wait_share: float = 0.5
    longest_wait_ms: float = 500.0
    headroom: float = 0.2


class Ticket:
    """Stand for one admitted request."""

    def __init__(
        self, workspace: str, admitted_s: float, deadline_ms: float
    ) -> None:
        self.workspace = workspace
        self.deadline_ms = deadline_ms
        self.admitted_s = admitted_s
        self.waited_ms = 0.0
        self.is_strained = False

    def note_strain(self) -> None:
        """Report that an upstream refused work as overloaded."""
        self.is_strained = True


class Waiter:
    """Hold one request that waits for a slot."""

    def __init__(self) -> None:
        self.granted = anyio.Event()


class Admission:
    """Admit work for one target: a pipeline or a service.

    Waiting work is ordered fairly between workspaces, and by deadline
    within one. A refusal says that the request did not run.
    """

    def __init__(
        self,
        settings: AdmissionSettings = AdmissionSettings(),  # noqa: B008
        clock_s: Callable[[], float] = anyio.current_time,
    ) -> None:
        self.settings = settings
        self.clock_s = clock_s
        self.limit = AdaptiveLimit(settings.limit, clock_s)
        self.queue: FairQueue[Waiter] = FairQueue()
        self.in_flight = 0
        self.by_workspace: Counter[str] = Counter()
        self.running: Counter[str] = Counter()
        self.shares: TTLCache[str, float] = TTLCache(
            MAX_WORKSPACES, ACTIVE_S, clock_s
        )
        self.refused: Counter[Code] = Counter()

    @asynccontextmanager
    async def admit(
        self, workspace: Workspace, expected_ms: float, deadline_ms: float
    ) -> AsyncIterator[Ticket]:
        """Hold a slot while the block runs; deadline_ms is what remains.

        Raises BerylcartError with OVERLOADED, DEADLINE_TOO_CLOSE or
        WORKSPACE_LIMIT before anything ran.
        """
        self.shares[workspace.name] = workspace.share
        self._check(workspace, expected_ms, deadline_ms)
        arrived_s = self.clock_s()
        self.by_workspace[workspace.name] += 1
        try:
            await self._take_slot(workspace, expected_ms, deadline_ms)
            ticket = Ticket(workspace.name, self.clock_s(), deadline_ms)
            ticket.waited_ms = (ticket.admitted_s - arrived_s) * MS_PER_S
            try:
                yield ticket
            finally:
                self._finish(ticket)
        finally:
            self._leave(workspace.name)

    def expected_wait_ms(
        self, workspace: Workspace, expected_ms: float
    ) -> float:
        """Estimate how long a new request would wait for its slot."""
        if self._may_start(workspace.name):
            return 0.0
        ahead_ms = self.queue.cost_ahead(workspace.name, workspace.share)
        model_ms = (ahead_ms + expected_ms) / max(1, self.limit.value)
        return max(model_ms, self.queue.turns_s(workspace.name) * MS_PER_S)

    def _check(
        self, workspace: Workspace, expected_ms: float, deadline_ms: float
    ) -> None:
        spare_ms = deadline_ms - expected_ms
        if spare_ms < 0:
            raise self._refusal(
                Code.DEADLINE_TOO_CLOSE,
                f"{expected_ms:.0f} ms are needed, {deadline_ms:.0f} remain",
                None,
            )
        if self.by_workspace[workspace.name] >= workspace.max_in_flight:
            raise self._refusal(
                Code.WORKSPACE_LIMIT,
                f"{workspace.max_in_flight} requests are in flight",
                expected_ms,
            )
        wait_ms = self.expected_wait_ms(workspace, expected_ms)
        if len(self.queue) >= self.settings.max_waiting:
            raise self._refusal(Code.OVERLOADED, "queue is full", wait_ms)
        if wait_ms > self._longest_wait_ms(workspace.name, spare_ms):
            raise self._refusal(
                Code.OVERLOADED, f"the wait is {wait_ms:.0f} ms", wait_ms
            )

    def _longest_wait_ms(self, workspace: str, spare_ms: float) -> float:
        wait_ms = self.settings.wait_share * spare_ms
        if self._uses_its_share(workspace):
            return min(self.settings.longest_wait_ms, wait_ms)
        return wait_ms

    def _uses_its_share(self, workspace: str) -> bool:
        """Say whether one more would pass its share among active ones."""
        share = self.shares.get(workspace, 1.0)
        total = max(share, sum(self.shares.values()))
        fair = self.limit.value * share / total
        return self.running[workspace] + 1 > fair

    def _may_run(self, workspace: str) -> bool:
        """Say whether a slot is free for a workspace."""
        slots = self.limit.value
        if self._uses_its_share(workspace) and len(self.shares) > 1:
            slots = max(1, int(slots * (1 - self.settings.headroom)))
        return self.in_flight < slots

    def _may_start(self, workspace: str) -> bool:
        """Say whether a new request need not wait."""
        if self.queue.has_waiting(workspace):
            return False
        return self._may_run(workspace)

    def _start(self, workspace: str) -> None:
        self.in_flight += 1
        self.running[workspace] += 1

    def _refusal(
        self, code: Code, detail: str, wait_ms: float | None
    ) -> BerylcartError:
        self.refused[code] += 1
        retry_after_ms = None
        if wait_ms is not None:
            bounded_ms = min(max(wait_ms, LEAST_RETRY_MS), LONGEST_RETRY_MS)
            retry_after_ms = int(bounded_ms)
        return BerylcartError(code, detail, retry_after_ms=retry_after_ms)

    async def _take_slot(
        self, workspace: Workspace, expected_ms: float, deadline_ms: float
    ) -> None:
        if self._may_start(workspace.name):
            self._start(workspace.name)
            return
        waiter = Waiter()
        deadline_s = self.clock_s() + deadline_ms / MS_PER_S
        waiting = self.queue.push(
            workspace.name,
            workspace.share,
            deadline_s,
            expected_ms,
            waiter,
            self.clock_s(),
        )
        await self._wait(workspace, waiting, deadline_ms - expected_ms)

    async def _wait(
        self, workspace: Workspace, waiting: Waiting[Waiter], spare_ms: float
    ) -> None:
        waiter = waiting.item
        try:
            with anyio.move_on_after(spare_ms / MS_PER_S):
                await waiter.granted.wait()
        except BaseException:
            self._give_up(workspace, waiting)
            raise
        if not waiter.granted.is_set():
            self._give_up(workspace, waiting)
            raise self._refusal(
                Code.DEADLINE_TOO_CLOSE, "no slot came free in time", None
            )

    def _give_up(self, workspace: Workspace, waiting: Waiting[Waiter]) -> None:
        if waiting.item.granted.is_set():
            self._release(workspace.name)
        else:
            self.queue.remove(workspace.name, waiting)

    def _finish(self, ticket: Ticket) -> None:
        latency_ms = (self.clock_s() - ticket.admitted_s) * MS_PER_S
        if ticket.is_strained:
            self.limit.note_strain()
        else:
            self.limit.note(latency_ms, self.in_flight, ticket.deadline_ms)
        self._release(ticket.workspace)

    def _release(self, workspace: str) -> None:
        self.in_flight -= 1
        self.running[workspace] -= 1
        if not self.running[workspace]:
            del self.running[workspace]
        self._grant()

    def _grant(self) -> None:
        """Give free slots to those that wait."""
        while len(self.queue):
            found = self.queue.pop(self.clock_s(), self._may_run)
            if found is None:
                return
            name, waiter = found
            self._start(name)
            waiter.granted.set()

    def _leave(self, workspace: str) -> None:
        self.by_workspace[workspace] -= 1
        if not self.by_workspace[workspace]:
            del self.by_workspace[workspace]
