"""Permissions, routing and budgets of the attempts at a stage."""

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
from berylcart.coordination.policy.places import permitted_upstreams
from berylcart.coordination.policy.routing import Policy, Routing
from berylcart.coordination.policy.vm_directory import VmDirectory, do_nothing
from berylcart.state.config import Configuration, Service, ServiceKind
from berylcart.state.errors import BerylcartError, Code
from berylcart.state.vm import Vm

NO_UPSTREAM_RETRY_AFTER_MS = 1000
AFFINITY_PREFIX_CHARS = 256
HEDGE_QUANTILE = 0.95
HEDGE_FACTOR = 2.0
MEDIAN = 0.5
FAST_QUANTILE = 0.1
MS_PER_S = 1000


class Configurations(Protocol):
    """Provide the newest configuration that is not stale."""

    def require(self) -> Configuration:
        """Return the configuration.

        Raises BerylcartError with NOT_READY or CONFIG_STALE.
        """
        ...


class WasteCause(StrEnum):
    """List the reasons why the work of an attempt was wasted."""

    CANCELLED = "cancelled"
    FAILED = "failed"


class PolicyParts(NamedTuple):
    """Hold the components that StagePolicy combines."""

    configurations: Configurations
    directory: VmDirectory
    router: Routing
    load_table: LoadTable
    ejector: Ejector
    latencies: LatencyTable
    retries: RetryBudget
    hedges: ServiceBudgets
    policy: Policy


def affinity_prefix(service: Service, payload: dict[str, Any]) -> str:
    """Return the prompt prefix used for cache affinity, "" if none.

    >>> affinity_prefix(Service("llm", ServiceKind.ENGINE, frozenset()),
    ...                 {"prompt": "hem the sleeves"})
    'hem the sleeves'
    """
    if service.kind is not ServiceKind.ENGINE:
        return ""
    return str(payload.get("prompt", ""))[:AFFINITY_PREFIX_CHARS]


class StagePolicy:
    """Apply permissions, routing and budgets to stage attempts."""

    def __init__(self, parts: PolicyParts) -> None:
        self.parts = parts
        self.on_attempt_start: Callable[[Vm], None] = do_nothing
        self.on_wasted_attempt: Callable[[str, float, WasteCause], None] = (
            do_nothing
        )

    def pool(self, service: Service, workspace: str) -> tuple[Vm, ...]:
        """List the upstreams that the newest configuration permits."""
        configuration = self.parts.configurations.require()
        newest = configuration.services.get(service.name)
        owner = configuration.workspaces.get(workspace)
        if newest is None or owner is None:
            return ()
        pool = self.parts.directory.pool(service.name)
        return permitted_upstreams(pool, newest, owner, configuration)

    def choose(
        self,
        service: Service,
        workspace: str,
        payload: dict[str, Any],
        tried: Set[str],
    ) -> Vm:
        """Choose the upstream of an attempt; raises NO_UPSTREAM."""
        vm = self.parts.router.choose(
            self.pool(service, workspace),
            service=service,
            affinity=affinity_prefix(service, payload),
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
        """Choose a replica for a hedge, None without one or a budget."""
        vm = self.parts.router.hedge_target(
            self.pool(service, workspace),
            service=service,
            affinity=affinity_prefix(service, payload),
            exclude=frozenset(tried),
        )
        if vm is None or not self.parts.hedges.try_take(service.name):
            return None
        return vm

    def record_request(self, service: str) -> None:
        """Add the retry and hedge tokens that a new stage request earns."""
        self.parts.retries.record_request()
        self.parts.hedges.record_request(service)

    def may_retry(self) -> bool:
        """Take a token for a retry; tell whether a retry is allowed."""
        if not self.parts.policy.is_retrying:
            return False
        return self.parts.retries.try_take()

    def record_stage(self, service: str, latency_ms: float) -> None:
        """Record the latency of a completed stage."""
        self.parts.latencies.record(service, latency_ms)

    def expected_ms(self, service: Service, quantile: float) -> float:
        """Return a quantile of a stage's recent latencies, 0 if unknown."""
        return self.parts.latencies.quantile_ms(service.name, quantile, 0.0)

    def can_finish(
        self, stages: Sequence[Service], remaining_s: float
    ) -> bool:
        """Tell whether low-quantile latencies fit in the remaining time."""
        fast = [
            (stage.name, self.expected_ms(stage, FAST_QUANTILE))
            for stage in stages
        ]
        return deadlines.can_finish(remaining_s * MS_PER_S, fast)

    def hedge_delay_ms(self, service: Service) -> float | None:
        """Return the delay before a hedge is sent, None for no hedge."""
        if not service.is_idempotent or not self.parts.policy.is_hedging:
            return None
        slow_ms = self.expected_ms(service, HEDGE_QUANTILE)
        typical_ms = self.expected_ms(service, MEDIAN)
        return max(slow_ms, HEDGE_FACTOR * typical_ms) or None

    def mark_leaving(self, vm: Vm) -> None:
        """Stop sending new work to a draining upstream."""
        self.parts.directory.mark_leaving(vm.vm_id, vm.incarnation)

    def retain(self, vms: tuple[Vm, ...]) -> None:
        """Discard the statistics of VMs that are not in vms."""
        self.parts.load_table.retain(vms)
        self.parts.ejector.retain(vms)

    @contextlib.contextmanager
    def in_flight(self, vm: Vm) -> Iterator[None]:
        """Record the start and the result of the attempt in the block."""
        start_s = now_s()
        self.on_attempt_start(vm)
        self.parts.load_table.started(vm)
        try:
            yield
        except BerylcartError as error:
            self.record_failure(vm, elapsed_ms(start_s), error)
            raise
        except BaseException:
            attempt_ms = elapsed_ms(start_s)
            self.parts.load_table.cancelled(vm, attempt_ms)
            self.parts.ejector.cancelled(vm, attempt_ms)
            self.on_wasted_attempt(
                vm.service, attempt_ms, WasteCause.CANCELLED
            )
            raise
        latency_ms = elapsed_ms(start_s)
        self.parts.load_table.finished(vm, latency_ms, True)
        self.parts.ejector.record_outcome(vm, latency_ms, True)

    def record_failure(
        self, vm: Vm, latency_ms: float, error: BerylcartError
    ) -> None:
        """Record an attempt that failed.

        A rejected payload is the caller's error, and a refusal as overloaded
        is a sign of load; neither counts as a failure of the replica.
        """
        if error.code is Code.UPSTREAM_REJECTED or error.retry_after_ms:
            self.parts.load_table.cancelled(vm, 0.0)
            return
        self.parts.load_table.finished(vm, latency_ms, False)
        self.parts.ejector.record_outcome(vm, latency_ms, False)
        self.on_wasted_attempt(vm.service, latency_ms, WasteCause.FAILED)


def elapsed_ms(start_s: float) -> float:
    """Return the milliseconds since start_s."""
    return (now_s() - start_s) * MS_PER_S
