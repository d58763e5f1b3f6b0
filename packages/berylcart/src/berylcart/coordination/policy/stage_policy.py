"""Choose the upstream of each attempt by the newest configuration."""

import contextlib
from collections.abc import Callable, Iterator, Sequence, Set
from enum import StrEnum
from typing import Any, NamedTuple, Protocol

from berylcart.clock import now_s
from berylcart.coordination.policy import deadlines
from berylcart.coordination.policy.budgets import RetryBudget, ServiceBudgets
from berylcart.coordination.policy.ejection import Ejector
from berylcart.coordination.policy.latency import LatencyTable
from berylcart.coordination.policy.load_table import LoadTable
from berylcart.coordination.policy.places import permitted
from berylcart.coordination.policy.routing import Policy, Routing
from berylcart.coordination.policy.vm_directory import VmDirectory, ignore
from berylcart.state.config import Configuration, Service, ServiceKind
from berylcart.state.errors import BerylcartError, Code
from berylcart.state.vm import Vm

NO_UPSTREAM_RETRY_AFTER_MS = 1000
PREFIX_CHARS = 256
HEDGE_QUANTILE = 0.95
HEDGE_FACTOR = 2.0
MEDIAN = 0.5
FAST_QUANTILE = 0.1
MS_PER_S = 1000


class Configurations(Protocol):
    """Give the newest configuration that may be acted upon."""

    def require(self) -> Configuration:
        """Return it; raises BerylcartError NOT_READY or CONFIG_STALE."""
        ...


class Waste(StrEnum):
    """Say why an attempt's work was for nothing."""

    CANCELLED = "cancelled"
    FAILED = "failed"


class PolicyParts(NamedTuple):
    """Hold the parts that a policy combines."""

    configurations: Configurations
    directory: VmDirectory
    router: Routing
    load_table: LoadTable
    ejector: Ejector
    latencies: LatencyTable
    retries: RetryBudget
    hedges: ServiceBudgets
    policy: Policy


def affinity_of(service: Service, payload: dict[str, Any]) -> str:
    """Give the prompt prefix that replicas may have cached.

    >>> affinity_of(Service("llm", ServiceKind.ENGINE, frozenset()),
    ...             {"prompt": "hem the sleeves"})
    'hem the sleeves'
    """
    if service.kind is not ServiceKind.ENGINE:
        return ""
    return str(payload.get("prompt", ""))[:PREFIX_CHARS]


class StagePolicy:
    """Combine permission, routing and budgets for stage attempts."""

    def __init__(self, parts: PolicyParts) -> None:
        self.parts = parts
        self.on_use: Callable[[Vm], None] = ignore
        self.on_waste: Callable[[str, float, Waste], None] = ignore

    def pool(self, service: Service, workspace: str) -> tuple[Vm, ...]:
        """List the upstreams that the newest configuration permits."""
        configuration = self.parts.configurations.require()
        newest = configuration.services.get(service.name)
        owner = configuration.workspaces.get(workspace)
        if newest is None or owner is None:
            return ()
        pool = self.parts.directory.pool(service.name)
        return permitted(pool, newest, owner, configuration)

    def choose(
        self,
        service: Service,
        workspace: str,
        payload: dict[str, Any],
        tried: Set[str],
    ) -> Vm:
        """Choose where an attempt runs; raises NO_UPSTREAM."""
        vm = self.parts.router.choose(
            self.pool(service, workspace),
            service=service,
            affinity=affinity_of(service, payload),
            exclude=frozenset(tried),
        )
        if vm is None:
            raise BerylcartError(
                Code.NO_UPSTREAM,
                f"no permitted upstream of {service.name} takes new work",
                retry_after_ms=NO_UPSTREAM_RETRY_AFTER_MS,
            )
        return vm

    def choose_hedge(
        self,
        service: Service,
        workspace: str,
        payload: dict[str, Any],
        tried: Set[str],
    ) -> Vm | None:
        """Choose a second replica, within the hedge budget."""
        vm = self.parts.router.hedge_target(
            self.pool(service, workspace),
            service=service,
            affinity=affinity_of(service, payload),
            exclude=frozenset(tried),
        )
        if vm is None or not self.parts.hedges.try_take(service.name):
            return None
        return vm

    def note_fresh(self, service: str) -> None:
        """Let a fresh stage earn its share of extra attempts."""
        self.parts.retries.note_request()
        self.parts.hedges.note_request(service)

    def may_retry(self) -> bool:
        """Spend retry budget on one more attempt."""
        if not self.parts.policy.is_retrying:
            return False
        return self.parts.retries.try_take()

    def note_stage(self, service: str, latency_ms: float) -> None:
        """Learn how long a stage took."""
        self.parts.latencies.record(service, latency_ms)

    def expected_ms(self, service: Service, quantile: float) -> float:
        """Estimate a stage's latency from recent ones."""
        return self.parts.latencies.quantile_ms(service.name, quantile, 0.0)

    def can_finish(self, stages: Sequence[Service], left_s: float) -> bool:
        """Say whether even fast attempts would end in the time left."""
        fast = [
            (stage.name, self.expected_ms(stage, FAST_QUANTILE))
            for stage in stages
        ]
        return deadlines.can_finish(left_s * MS_PER_S, fast)

    def hedge_delay_ms(self, service: Service) -> float | None:
        """Give the time after which a hedge is worth its cost, if ever."""
        if not service.is_idempotent or not self.parts.policy.is_hedging:
            return None
        late_ms = self.expected_ms(service, HEDGE_QUANTILE)
        typical_ms = self.expected_ms(service, MEDIAN)
        return max(late_ms, HEDGE_FACTOR * typical_ms) or None

    def mark_leaving(self, vm: Vm) -> None:
        """Give an upstream that drains no new work."""
        self.parts.directory.mark_leaving(vm.vm_id, vm.incarnation)

    def retain(self, vms: tuple[Vm, ...]) -> None:
        """Forget what was learnt about VMs that are gone."""
        self.parts.load_table.retain(vms)
        self.parts.ejector.retain(vms)

    @contextlib.contextmanager
    def in_flight(self, vm: Vm) -> Iterator[None]:
        """Account for one attempt from its start to its end."""
        started_at_s = now_s()
        self.on_use(vm)
        self.parts.load_table.started(vm)
        try:
            yield
        except BerylcartError as error:
            self.note_failure(vm, elapsed_ms(started_at_s), error)
            raise
        except BaseException:
            taken_ms = elapsed_ms(started_at_s)
            self.parts.load_table.cancelled(vm, taken_ms)
            self.parts.ejector.cancelled(vm, taken_ms)
            self.on_waste(vm.service, taken_ms, Waste.CANCELLED)
            raise
        latency_ms = elapsed_ms(started_at_s)
        self.parts.load_table.finished(vm, latency_ms, True)
        self.parts.ejector.note(vm, latency_ms, True)

    def note_failure(
        self, vm: Vm, latency_ms: float, error: BerylcartError
    ) -> None:
        """Learn from an attempt that gave no reply.

        A rejected payload is the caller's fault and a refusal as overloaded
        is load; neither makes a replica a failing one.
        """
        if error.code is Code.UPSTREAM_REJECTED or error.retry_after_ms:
            self.parts.load_table.cancelled(vm, 0.0)
            return
        self.parts.load_table.finished(vm, latency_ms, False)
        self.parts.ejector.note(vm, latency_ms, False)
        self.on_waste(vm.service, latency_ms, Waste.FAILED)


def elapsed_ms(started_at_s: float) -> float:
    """Measure the time since a start."""
    return (now_s() - started_at_s) * MS_PER_S
