"""Admission control per upstream pool, below the entry's own limit."""

from collections import Counter
from collections.abc import AsyncIterator, Callable, Sequence
from contextlib import asynccontextmanager

from berylcart.coordination.policy.admission import (
    Admission,
    AdmissionSettings,
)
from berylcart.coordination.policy.stage_policy import StagePolicy
from berylcart.state.config import Service, ServiceKind, Workspace
from berylcart.state.errors import BerylcartError, Code, UpstreamError

MEDIAN = 0.5
MAX_HEAVIEST = 8
MS_PER_S = 1000


def limiting_pool(target: str, stages: Sequence[Service]) -> str:
    """Name the pool that limits a target: its first engine, else itself.

    >>> model = Service("model", ServiceKind.ENGINE, frozenset())
    >>> ranker = Service("ranker", ServiceKind.RERANKER, frozenset())
    >>> limiting_pool("answer", [ranker, model])
    'model'
    >>> limiting_pool("ranker", [ranker])
    'ranker'
    """
    engines = [s.name for s in stages if s.kind is ServiceKind.ENGINE]
    return engines[0] if engines else target


def no_remote_demand(workspace: str) -> int:
    """Report no requests in flight at other entries."""
    return 0


class AdmissionTable:
    """Admit requests per pool, within one limit for the whole entry."""

    def __init__(
        self,
        policy: StagePolicy,
        settings: AdmissionSettings,
        max_in_flight: int,
        *,
        is_admitting: bool = True,
    ) -> None:
        self.policy = policy
        self.settings = settings
        self.max_in_flight = max_in_flight
        self.is_admitting = is_admitting
        self.in_flight = 0
        self.pools: dict[str, Admission] = {}
        self.requests_by_workspace: Counter[str] = Counter()
        self.remote_demand: Callable[[str], int] = no_remote_demand

    def heaviest(self) -> list[tuple[str, int]]:
        """List the workspaces with the most requests in flight here."""
        return self.requests_by_workspace.most_common(MAX_HEAVIEST)

    def check_workspace(self, workspace: Workspace) -> None:
        """Raise WORKSPACE_LIMIT if a workspace is at its global limit.

        The limit is approximate, as the counts of other entries arrive with
        a delay.
        """
        here = self.requests_by_workspace[workspace.name]
        total = here + self.remote_demand(workspace.name)
        if total >= workspace.max_in_flight:
            raise BerylcartError(
                Code.WORKSPACE_LIMIT,
                f"{total} requests of {workspace.name} are in flight",
                retry_after_ms=MS_PER_S,
            )

    def expected_ms(self, stages: Sequence[Service]) -> float:
        """Add the median latencies of a target's stages."""
        return sum(self.policy.expected_ms(stage, MEDIAN) for stage in stages)

    @asynccontextmanager
    async def admit(
        self,
        target: str,
        workspace: Workspace,
        stages: Sequence[Service],
        remaining_s: float,
    ) -> AsyncIterator[None]:
        """Hold a slot for one request; raises BerylcartError if refused."""
        if self.in_flight >= self.max_in_flight:
            raise BerylcartError(
                Code.OVERLOADED,
                f"{self.in_flight} requests are in flight at this entry",
                retry_after_ms=MS_PER_S,
            )
        self.check_workspace(workspace)
        self.in_flight += 1
        self.requests_by_workspace[workspace.name] += 1
        try:
            if not self.is_admitting:
                yield
                return
            async with self.admit_to_pool(
                target, workspace, stages, remaining_s
            ):
                yield
        finally:
            self.in_flight -= 1
            self.requests_by_workspace[workspace.name] -= 1
            if not self.requests_by_workspace[workspace.name]:
                del self.requests_by_workspace[workspace.name]

    def find(self, pool: str) -> Admission:
        """Return the admission control of a pool, creating it if needed."""
        if pool not in self.pools:
            self.pools[pool] = Admission(self.settings)
        return self.pools[pool]

    @asynccontextmanager
    async def admit_to_pool(
        self,
        target: str,
        workspace: Workspace,
        stages: Sequence[Service],
        remaining_s: float,
    ) -> AsyncIterator[None]:
        """Hold a slot of a pool and report overloaded upstreams to it."""
        admission = self.find(limiting_pool(target, stages))
        expected_ms = self.expected_ms(stages)
        async with admission.admit(
            workspace, expected_ms, remaining_s * MS_PER_S
        ) as admitted:
            try:
                yield
            except UpstreamError as error:
                if error.retry_after_ms is not None:
                    admitted.record_overload()
                raise
