"""Admission control: admit requests that can meet their deadline."""

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
from berylcart.coordination.policy.fair_queue import FairQueue, QueuedItem
from berylcart.state.config import Workspace
from berylcart.state.errors import BerylcartError, Code

MS_PER_S = 1000
MIN_RETRY_AFTER_MS = 50
MAX_RETRY_AFTER_MS = 5000
MAX_WORKSPACES = 1024
ACTIVE_WORKSPACE_TTL_S = 10.0


class AdmissionSettings(NamedTuple):
    """Configure the admission control of one target at one entry.

    slack_share is the largest fraction of a request's slack (its deadline
    less its expected latency) that it may spend in the queue.
    reserved_share is the fraction of the concurrency limit that workspaces
    at their fair share can't use; over_share_max_wait_ms bounds the queue
    wait of only those workspaces.
    """

    limit: LimitSettings = LimitSettings()
    max_queue_length: int = 256
    slack_share: float = 0.5
    over_share_max_wait_ms: float = 500.0
    reserved_share: float = 0.2


class AdmittedRequest:
    """Hold the state of one admitted request."""

    def __init__(
        self, workspace: str, admitted_s: float, deadline_ms: float
    ) -> None:
        self.workspace = workspace
        self.deadline_ms = deadline_ms
        self.admitted_s = admitted_s
        self.queue_wait_ms = 0.0
        self.is_overloaded = False

    def record_overload(self) -> None:
        """Record that an upstream refused this request as overloaded."""
        self.is_overloaded = True


class Waiter:
    """Signal a queued request that a slot was granted to it."""

    def __init__(self) -> None:
        self.granted = anyio.Event()


class Admission:
    """Limit the concurrent requests to one target: a pipeline or a service.

    Queued requests are scheduled by weighted fair queueing between
    workspaces, and by earliest deadline within a workspace. A refused request
    has not run.
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
        self.requests_by_workspace: Counter[str] = Counter()
        self.running: Counter[str] = Counter()
        self.shares: TTLCache[str, float] = TTLCache(
            MAX_WORKSPACES, ACTIVE_WORKSPACE_TTL_S, clock_s
        )
        self.refused: Counter[Code] = Counter()

    @asynccontextmanager
    async def admit(
        self, workspace: Workspace, expected_ms: float, deadline_ms: float
    ) -> AsyncIterator[AdmittedRequest]:
        """Hold a slot while the block runs; deadline_ms is relative to now.

        Raises BerylcartError with OVERLOADED, DEADLINE_TOO_CLOSE or
        WORKSPACE_LIMIT before the block starts.
        """
        self.shares[workspace.name] = workspace.share
        self._check_admissible(workspace, expected_ms, deadline_ms)
        arrived_s = self.clock_s()
        self.requests_by_workspace[workspace.name] += 1
        try:
            await self._acquire_slot(workspace, expected_ms, deadline_ms)
            admitted = AdmittedRequest(
                workspace.name, self.clock_s(), deadline_ms
            )
            admitted.queue_wait_ms = (
                admitted.admitted_s - arrived_s
            ) * MS_PER_S
            try:
                yield admitted
            finally:
                self._complete(admitted)
        finally:
            self._uncount(workspace.name)

    def expected_wait_ms(
        self, workspace: Workspace, expected_ms: float
    ) -> float:
        """Estimate how long a new request would wait for a slot."""
        if self._can_start_now(workspace.name):
            return 0.0
        ahead_ms = self.queue.cost_ahead(workspace.name, workspace.share)
        model_ms = (ahead_ms + expected_ms) / max(1, self.limit.value)
        return max(
            model_ms, self.queue.observed_wait_s(workspace.name) * MS_PER_S
        )

    def _check_admissible(
        self, workspace: Workspace, expected_ms: float, deadline_ms: float
    ) -> None:
        slack_ms = deadline_ms - expected_ms
        if slack_ms < 0:
            raise self._refusal(
                Code.DEADLINE_TOO_CLOSE,
                f"{expected_ms:.0f} ms are needed, {deadline_ms:.0f} remain",
                None,
            )
        if (
            self.requests_by_workspace[workspace.name]
            >= workspace.max_in_flight
        ):
            raise self._refusal(
                Code.WORKSPACE_LIMIT,
                f"{workspace.max_in_flight} requests are in flight",
                expected_ms,
            )
        wait_ms = self.expected_wait_ms(workspace, expected_ms)
        if len(self.queue) >= self.settings.max_queue_length:
            raise self._refusal(Code.OVERLOADED, "queue is full", wait_ms)
        if wait_ms > self._max_wait_ms(workspace.name, slack_ms):
            raise self._refusal(
                Code.OVERLOADED,
                f"the wait is {wait_ms:.0f} ms",
                wait_ms,
            )

    def _max_wait_ms(self, workspace: str, slack_ms: float) -> float:
        wait_ms = self.settings.slack_share * slack_ms
        if self._is_at_fair_share(workspace):
            return min(self.settings.over_share_max_wait_ms, wait_ms)
        return wait_ms

    def _is_at_fair_share(self, workspace: str) -> bool:
        """Tell whether one more request would exceed the fair share."""
        share = self.shares.get(workspace, 1.0)
        total = max(share, sum(self.shares.values()))
        fair_limit = self.limit.value * share / total
        return self.running[workspace] + 1 > fair_limit

    def _has_free_slot(self, workspace: str) -> bool:
        """Tell whether a workspace may use one more slot."""
        slots = self.limit.value
        if self._is_at_fair_share(workspace) and len(self.shares) > 1:
            slots = max(1, int(slots * (1 - self.settings.reserved_share)))
        return self.in_flight < slots

    def _can_start_now(self, workspace: str) -> bool:
        """Tell whether a new request may start without queueing."""
        if self.queue.has_queued(workspace):
            return False
        return self._has_free_slot(workspace)

    def _occupy_slot(self, workspace: str) -> None:
        self.in_flight += 1
        self.running[workspace] += 1

    def _refusal(
        self, code: Code, detail: str, wait_ms: float | None
    ) -> BerylcartError:
        self.refused[code] += 1
        retry_after_ms = None
        if wait_ms is not None:
            bounded_ms = min(
                max(wait_ms, MIN_RETRY_AFTER_MS), MAX_RETRY_AFTER_MS
            )
            retry_after_ms = int(bounded_ms)
        return BerylcartError(code, detail, retry_after_ms=retry_after_ms)

    async def _acquire_slot(
        self, workspace: Workspace, expected_ms: float, deadline_ms: float
    ) -> None:
        if self._can_start_now(workspace.name):
            self._occupy_slot(workspace.name)
            return
        waiter = Waiter()
        deadline_s = self.clock_s() + deadline_ms / MS_PER_S
        queued = self.queue.push(
            workspace.name,
            workspace.share,
            deadline_s,
            expected_ms,
            waiter,
            self.clock_s(),
        )
        await self._wait_for_slot(workspace, queued, deadline_ms - expected_ms)

    async def _wait_for_slot(
        self, workspace: Workspace, queued: QueuedItem[Waiter], slack_ms: float
    ) -> None:
        waiter = queued.item
        try:
            with anyio.move_on_after(slack_ms / MS_PER_S):
                await waiter.granted.wait()
        except BaseException:
            self._cancel_wait(workspace, queued)
            raise
        if not waiter.granted.is_set():
            self._cancel_wait(workspace, queued)
            raise self._refusal(
                Code.DEADLINE_TOO_CLOSE,
                "no slot came free in time",
                None,
            )

    def _cancel_wait(
        self, workspace: Workspace, queued: QueuedItem[Waiter]
    ) -> None:
        if queued.item.granted.is_set():
            self._release_slot(workspace.name)
        else:
            self.queue.remove(workspace.name, queued)

    def _complete(self, admitted: AdmittedRequest) -> None:
        latency_ms = (self.clock_s() - admitted.admitted_s) * MS_PER_S
        if admitted.is_overloaded:
            self.limit.record_overload()
        else:
            self.limit.record(latency_ms, self.in_flight, admitted.deadline_ms)
        self._release_slot(admitted.workspace)

    def _release_slot(self, workspace: str) -> None:
        self.in_flight -= 1
        self.running[workspace] -= 1
        if not self.running[workspace]:
            del self.running[workspace]
        self._grant_free_slots()

    def _grant_free_slots(self) -> None:
        """Grant free slots to queued requests in scheduling order."""
        while len(self.queue):
            found = self.queue.pop(self.clock_s(), self._has_free_slot)
            if found is None:
                return
            name, waiter = found
            self._occupy_slot(name)
            waiter.granted.set()

    def _uncount(self, workspace: str) -> None:
        self.requests_by_workspace[workspace] -= 1
        if not self.requests_by_workspace[workspace]:
            del self.requests_by_workspace[workspace]
