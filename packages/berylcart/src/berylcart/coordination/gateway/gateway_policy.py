"""Choose the replica of each attempt of a gateway's request."""

from collections.abc import Callable, Iterator, Sequence, Set
from contextlib import contextmanager
from random import Random
from typing import Protocol

from berylcart.clock import now_s
from berylcart.coordination.gateway.request_limits import RequestLimits
from berylcart.coordination.gateway.retry_window import RetryWindow
from berylcart.coordination.policy.ejection import Ejector
from berylcart.coordination.policy.load_table import LoadTable
from berylcart.coordination.policy.routing import Router
from berylcart.state.config import Service, ServiceKind
from berylcart.state.errors import BerylcartError, Code
from berylcart.state.routes import Backend, Route, RouteTable
from berylcart.state.vm import Vm

MS_PER_S = 1000
NO_REPLICA_RETRY_AFTER_MS = 500


class RouteTables(Protocol):
    """Give the newest routes that may be acted upon."""

    def require(self) -> RouteTable:
        """Return them; raises BerylcartError NOT_READY."""
        ...


class PrefixRouter(Router):
    """Send every shared prefix to its preferred replica from the start.

    Which replica has read a prefix is then the same for all daemons.
    """

    def _is_shared(self, affinity: str) -> bool:
        """Say whether there is a prefix that others may share."""
        return bool(affinity)


class AttemptClock:
    """Note when an attempt's answer began, and how a cancelled one ended.

    is_outrun says that another attempt of the request won before this one
    had a first byte, has_stalled that its replica was silent before as well.
    """

    def __init__(self, vm: Vm) -> None:
        self.vm = vm
        self.started_s = now_s()
        self.answered_s: float | None = None
        self.is_outrun = False
        self.has_stalled = False

    def note_answer(self) -> None:
        """Take the first part of the answer."""
        if self.answered_s is None:
            self.answered_s = now_s()

    @property
    def latency_ms(self) -> float:
        """Give the time to the answer's first part, or until now."""
        end_s = self.answered_s or now_s()
        return (end_s - self.started_s) * MS_PER_S


def choose_service(backends: Sequence[Backend], random: Random) -> str:
    """Choose a service by the weights.

    >>> choose_service((Backend("a", 1), Backend("b", 0)), Random(1))
    'a'
    """
    names = [backend.service for backend in backends]
    weights = [backend.weight for backend in backends]
    return random.choices(names, weights)[0]


class GatewayPolicy:
    """Combine permission, routing and the retry budget."""

    def __init__(
        self,
        tables: RouteTables,
        pool: Callable[[str], Sequence[Vm]],
        budget: RetryWindow,
        random: Random,
        limits: RequestLimits,
    ) -> None:
        self.tables = tables
        self.limits = limits
        self.pool = pool
        self.budget = budget
        self.random = random
        self.load_table = LoadTable()
        self.ejector = Ejector()
        self.router = PrefixRouter(self.load_table, self.ejector, random)

    def service_of(self, route: Route) -> str:
        """Choose the service of a request; raises NO_UPSTREAM."""
        live = [each for each in route.backends if self.pool(each.service)]
        usable = [each for each in live if each.weight > 0]
        if not usable:
            raise no_replica(route.name)
        return choose_service(usable, self.random)

    def is_allowed(self, route: Route, service: str) -> bool:
        """Tell whether the newest table still sends a route to a service."""
        for newest in self.tables.require().routes:
            if newest.name == route.name:
                return any(b.service == service for b in newest.backends)
        return False

    def choose(self, service: str, affinity: str, tried: Set[str]) -> Vm:
        """Choose where an attempt runs; raises NO_UPSTREAM."""
        info = self.tables.require().services.get(service)
        is_engine = info is not None and info.engine is not None
        kind = ServiceKind.ENGINE if is_engine else ServiceKind.PLAIN
        vm = self.router.choose(
            self.limits.usable(self.pool(service)),
            service=Service(service, kind, frozenset()),
            affinity=affinity,
            exclude=frozenset(tried),
        )
        if vm is None:
            raise no_replica(service)
        return vm

    def takes_now(self, vm: Vm, service: str) -> bool:
        """Tell whether a replica takes work, and within its limit."""
        return vm in self.pool(service) and self.limits.allows(vm)

    def retain(self, vms: tuple[Vm, ...]) -> None:
        """Forget what was learnt about VMs that are gone."""
        self.limits.retain(vms)
        self.load_table.retain(vms)
        self.ejector.retain(vms)

    @contextmanager
    def in_flight(self, vm: Vm) -> Iterator[AttemptClock]:
        """Account for one attempt from its start to its end."""
        clock = AttemptClock(vm)
        self.limits.take(vm)
        self.load_table.started(vm)
        try:
            yield clock
        except BerylcartError as error:
            is_refusal = error.retry_after_ms is not None
            if is_refusal or error.code is Code.UPSTREAM_REJECTED:
                self.load_table.cancelled(vm, 0.0)
            else:
                self.load_table.finished(vm, clock.latency_ms, False)
                self.ejector.note(vm, clock.latency_ms, False)
            raise
        except BaseException:
            self.load_table.cancelled(vm, clock.latency_ms)
            if clock.is_outrun:
                self.ejector.outrun(
                    vm, clock.latency_ms, has_stalled=clock.has_stalled
                )
            elif clock.answered_s is None:
                self.ejector.cancelled(vm, clock.latency_ms)
            raise
        self.load_table.finished(vm, clock.latency_ms, True)
        self.ejector.note(vm, clock.latency_ms, True)


def no_replica(name: str) -> BerylcartError:
    """Describe a service without a replica that takes work."""
    return BerylcartError(
        Code.NO_UPSTREAM,
        f"no replica of {name} takes new work",
        retry_after_ms=NO_REPLICA_RETRY_AFTER_MS,
    )
