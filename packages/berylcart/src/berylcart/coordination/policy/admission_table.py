"""Keep one admission for each pool that bounds what callers ask for."""

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
HEAVIEST = 8
MS_PER_S = 1000


def bounding_pool(target: str, stages: Sequence[Service]) -> str:
    """Name what bounds a target: its engines' pool, else the target.

    >>> model = Service("model", ServiceKind.ENGINE, frozenset())
    >>> ranker = Service("ranker", ServiceKind.RERANKER, frozenset())
    >>> bounding_pool("answer", [ranker, model])
    'model'
    >>> bounding_pool("ranker", [ranker])
    'ranker'
    """
    engines = [s.name for s in stages if s.kind is ServiceKind.ENGINE]
    return engines[0] if engines else target


def no_demand(workspace: str) -> int:
    """Know of no demand at other entries."""
    return 0


class AdmissionTable:
    """Admit requests by pool; all pools share the entry's own limit."""

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
        self.by_workspace: Counter[str] = Counter()
        self.demand_elsewhere: Callable[[str], int] = no_demand

    def heaviest(self) -> list[tuple[str, int]]:
        """List the workspaces with the most requests here, and how many."""
        return self.by_workspace.most_common(HEAVIEST)

    def check_workspace(self, workspace: Workspace) -> None:
        """Raise WORKSPACE_LIMIT at the limit that all entries share.

        What other entries report is late, so the limit is approximate.
        """
        here = self.by_workspace[workspace.name]
        total = here + self.demand_elsewhere(workspace.name)
        if total >= workspace.max_in_flight:
            raise BerylcartError(
                Code.WORKSPACE_LIMIT,
                f"{total} requests of {workspace.name} are in flight",
                retry_after_ms=MS_PER_S,
            )

    def expected_ms(self, stages: Sequence[Service]) -> float:
        """Estimate how long a target's stages take together."""
        return sum(self.policy.expected_ms(stage, MEDIAN) for stage in stages)

    @asynccontextmanager
    async def admit(
        self,
        target: str,
        workspace: Workspace,
        stages: Sequence[Service],
        left_s: float,
    ) -> AsyncIterator[None]:
        """Hold a slot for one request; raises BerylcartError at once."""
        if self.in_flight >= self.max_in_flight:
            raise BerylcartError(
                Code.OVERLOADED,
                f"{self.in_flight} requests are in flight at this entry",
                retry_after_ms=MS_PER_S,
            )
        self.check_workspace(workspace)
        self.in_flight += 1
        self.by_workspace[workspace.name] += 1
        try:
            if not self.is_admitting:
                yield
                return
            async with self.enter(target, workspace, stages, left_s):
                yield
        finally:
            self.in_flight -= 1
            self.by_workspace[workspace.name] -= 1
            if not self.by_workspace[workspace.name]:
                del self.by_workspace[workspace.name]

    def find(self, pool: str) -> Admission:
        """Find the admission of a pool, or begin one."""
        if pool not in self.pools:
            self.pools[pool] = Admission(self.settings)
        return self.pools[pool]

    @asynccontextmanager
    async def enter(
        self,
        target: str,
        workspace: Workspace,
        stages: Sequence[Service],
        left_s: float,
    ) -> AsyncIterator[None]:
        """Hold a slot of one pool, and tell it of overloaded upstreams."""
        admission = self.find(bounding_pool(target, stages))
        expected_ms = self.expected_ms(stages)
        async with admission.admit(
            workspace, expected_ms, left_s * MS_PER_S
        ) as ticket:
            try:
                yield
            except UpstreamError as error:
                if error.retry_after_ms is not None:
                    ticket.note_strain()
                raise
