"""Choose the replica for each attempt of a gateway request."""

from collections.abc import Callable, Iterator, Mapping, Sequence, Set
from contextlib import contextmanager
from math import ceil
from random import Random
from typing import Protocol

from typing_extensions import override

from berylcart.clock import now_s
from berylcart.coordination.gateway.permitted_places import (
    Places,
    permits,
    permitted_places,
)
from berylcart.coordination.gateway.replica_pauses import ReplicaPauses
from berylcart.coordination.gateway.request_limits import RequestLimits
from berylcart.coordination.gateway.retry_window import RetryWindow
from berylcart.coordination.policy.ejection import Ejector
from berylcart.coordination.policy.load_table import LoadTable
from berylcart.coordination.policy.routing import Router
from berylcart.state.config import Service, ServiceKind
from berylcart.state.errors import BerylcartError, Code
from berylcart.state.peer_messages import Placement
from berylcart.state.relay_messages import ReplicaNotice
from berylcart.state.routes import Backend, KeyOwner, Route, RouteTable
from berylcart.state.vm import Vm

MS_PER_S = 1000
NO_REPLICA_RETRY_AFTER_MS = 500


class RouteTableSource(Protocol):
    """Provide the current route table."""

    def require(self) -> RouteTable:
        """Return the route table; raises BerylcartError NOT_READY."""
        ...


class PrefixRouter(Router):
    """Route a prompt prefix to its preferred replica from the start.

    All daemons then agree on which replica has a prefix in its cache.
    """

    @override
    def _is_repeated(self, affinity: str) -> bool:
        """Return whether the request has a prefix."""
        return bool(affinity)


class AttemptTiming:
    """Timing of an attempt, and how it ended if it was cancelled.

    has_lost_race is set if another attempt of the request won before this one
    received a first byte, has_stalled if its replica had also been silent
    before. has_event is set once the answer has begun.
    """

    def __init__(self, vm: Vm) -> None:
        self.vm = vm
        self.started_s = now_s()
        self.first_byte_s: float | None = None
        self.has_lost_race = False
        self.has_stalled = False
        self.has_event = False

    def record_first_byte(self) -> None:
        """Record the first byte of the response."""
        if self.first_byte_s is None:
            self.first_byte_s = now_s()

    @property
    def latency_ms(self) -> float:
        """Return the time to the first byte, or until now if there is none."""
        end_s = self.first_byte_s or now_s()
        return (end_s - self.started_s) * MS_PER_S


def choose_service(backends: Sequence[Backend], random: Random) -> str:
    """Choose a service at random by the backend weights.

    >>> choose_service((Backend("a", 1), Backend("b", 0)), Random(1))
    'a'
    """
    names = [backend.service for backend in backends]
    weights = [backend.weight for backend in backends]
    return random.choices(names, weights)[0]


class GatewayPolicy:
    """Combine place restrictions, replica selection and the retry budget.

    regions maps each place to its region.
    """

    def __init__(
        self,
        tables: RouteTableSource,
        pool: Callable[[str], Sequence[Vm]],
        budget: RetryWindow,
        random: Random,
        limits: RequestLimits,
        is_evacuated: Callable[[str], bool] = lambda service: False,
        regions: Mapping[str, str] | None = None,
    ) -> None:
        self.tables = tables
        self.limits = limits
        self.pauses = ReplicaPauses()
        # Called with a replica whose response says that it is shutting down.
        self.on_leaving: Callable[[Vm], None] = lambda vm: None
        self.pool = pool
        self.is_evacuated = is_evacuated
        self.regions = regions or {}
        self.budget = budget
        self.random = random
        self.load_table = LoadTable()
        self.ejector = Ejector()
        self.router = PrefixRouter(self.load_table, self.ejector, random)

    def places_of(self, route: Route, owner: KeyOwner | None) -> Places:
        """Return the places where a request may run."""
        return permitted_places(route, owner, self.regions)

    def permitted_pool(self, service: str, places: Places) -> Sequence[Vm]:
        """List the replicas that accept requests in the permitted places."""
        pool = self.pool(service)
        if places is None:
            return pool
        return [vm for vm in pool if permits(places, vm.place)]

    def service_of(self, route: Route, places: Places) -> str:
        """Choose the backend service of a request; raises NO_UPSTREAM."""
        live = [
            each
            for each in route.backends
            if self.permitted_pool(each.service, places)
        ]
        usable = [each for each in live if each.weight > 0]
        if not usable:
            raise no_replica(route.name)
        return choose_service(usable, self.random)

    def check_stage(self, service: str, places: Places) -> None:
        """Raise NO_UPSTREAM if no replica may process a stage's pieces.

        A service that has no replica at all may get one in time.
        """
        if self.permitted_pool(service, places):
            return
        if places is not None or self.is_evacuated(service):
            raise no_replica(service)

    def is_allowed(self, route: Route, service: str) -> bool:
        """Return whether the current table still routes to a service."""
        for newest in self.tables.require().routes:
            if newest.name == route.name:
                return any(b.service == service for b in newest.backends)
        return False

    def choose(
        self, service: str, affinity: str, tried: Set[str], places: Places
    ) -> Vm:
        """Choose the replica of an attempt; raises NO_UPSTREAM."""
        pool = self.permitted_pool(service, places)
        vm = self.router.choose(
            self.ready(pool, tried),
            service=Service(service, self.kind_of(service), frozenset()),
            affinity=affinity,
            exclude=frozenset(tried),
        )
        if vm is None:
            raise no_replica(service, self.pauses.min_remaining_s(pool))
        return vm

    def unlimited_replicas(self, service: str) -> Sequence[Vm]:
        """List the replicas without a rate limit, or all if none."""
        pool = self.pool(service)
        limits = self.limits
        if not (limits.limits or limits.cold_ends_s):
            return pool
        free = [
            vm
            for vm in pool
            if limits.limit_of(vm) is None and not limits.is_cold(vm)
        ]
        return free or pool

    def find(
        self, placement: Placement, service: str, places: Places
    ) -> Vm | None:
        """Return the replica of a placement if it accepts requests."""
        for vm in self.pool(service):
            key = (vm.vm_id, vm.incarnation)
            if key == (placement.vm_id, placement.incarnation):
                return vm if self.accepts_now(vm, service, places) else None
        return None

    def kind_of(self, service: str) -> ServiceKind:
        """Return whether a service is an inference engine or a plain one."""
        info = self.tables.require().services.get(service)
        is_engine = info is not None and info.engine is not None
        return ServiceKind.ENGINE if is_engine else ServiceKind.PLAIN

    def ready(self, pool: Sequence[Vm], tried: Set[str]) -> Sequence[Vm]:
        """List the replicas that a request may be sent to now.

        Cold replicas are omitted while a warm one has capacity.
        """
        usable = self.limits.usable(self.pauses.usable(pool))
        if not self.limits.cold_ends_s:
            return usable
        warm = [vm for vm in usable if not self.limits.is_cold(vm)]
        has_capacity = any(
            vm.vm_id not in tried and self.load_table.occupancy(vm) < 1
            for vm in warm
        )
        return warm if has_capacity else usable

    def accepts_now(self, vm: Vm, service: str, places: Places) -> bool:
        """Return whether a replica is warm and may be sent a request now."""
        is_permitted = vm in self.permitted_pool(service, places)
        if not is_permitted or self.pauses.remaining_s(vm):
            return False
        return self.limits.allows(vm) and not self.limits.is_cold(vm)

    def apply_notice(self, vm: Vm, notice: ReplicaNotice) -> None:
        """Apply the replica status that a response carried."""
        self.limits.apply_response_limit(vm, notice.limit_per_s)
        if (
            notice.load is not None
            and self.kind_of(vm.service) is ServiceKind.PLAIN
        ):
            running, waiting, slots, _ = notice.load
            self.load_table.reported(vm, running, waiting, slots, age_ms=0)
        if notice.retry_after_s is not None:
            self.pauses.record(vm, notice.retry_after_s)
        if notice.cold_ms is not None:
            self.limits.record_cold(vm, notice.cold_ms, "answer")
        if notice.is_leaving:
            self.on_leaving(vm)

    def retain(self, vms: tuple[Vm, ...]) -> None:
        """Drop the state of all replicas except the given ones."""
        self.limits.retain(vms)
        self.pauses.retain(vms)
        self.load_table.retain(vms)
        self.ejector.retain(vms)

    @contextmanager
    def in_flight(self, vm: Vm) -> Iterator[AttemptTiming]:
        """Record an attempt's start, end and outcome."""
        timing = AttemptTiming(vm)
        self.limits.consume(vm)
        self.load_table.started(vm)
        try:
            yield timing
        except BerylcartError as error:
            is_refusal = error.retry_after_ms is not None
            if is_refusal or error.code is Code.UPSTREAM_REJECTED:
                self.load_table.cancelled(vm, 0.0)
            else:
                self.load_table.finished(vm, timing.latency_ms, False)
                self.ejector.record_outcome(vm, timing.latency_ms, False)
            raise
        except BaseException:
            self.load_table.cancelled(vm, timing.latency_ms)
            if timing.has_lost_race:
                self.ejector.record_lost_race(
                    vm, timing.latency_ms, has_stalled=timing.has_stalled
                )
            elif timing.first_byte_s is None:
                self.ejector.cancelled(vm, timing.latency_ms)
            raise
        self.load_table.finished(vm, timing.latency_ms, True)
        self.ejector.record_outcome(vm, timing.latency_ms, True)


def no_replica(name: str, pause_s: float = 0.0) -> BerylcartError:
    """Return the error for a service without an available replica.

    pause_s is set if all replicas are paused.

    >>> no_replica("model", 2.5).retry_after_ms
    2500
    """
    wait_ms = ceil(pause_s * MS_PER_S) or NO_REPLICA_RETRY_AFTER_MS
    return BerylcartError(
        Code.NO_UPSTREAM,
        f"no replica of {name} takes new work",
        retry_after_ms=wait_ms,
    )
