"""Estimate how busy each upstream is and how long work there takes."""

from collections.abc import Callable, Iterable
from typing import NamedTuple

import anyio

from berylcart.state.config import Service, ServiceKind
from berylcart.state.vm import Vm

VmKey = tuple[str, str, int]

REPORT_HALF_LIFE_S = 5.0
REPORT_SMOOTHING = 0.1
ESTIMATE_HALF_LIFE_S = 10.0
SMOOTHING = 0.2
TYPICAL_QUANTILE = 0.35
TYPICAL_STEP = 0.1
# Smaller differences are noise, and following it makes entries crowd.
NOTABLE_FACTOR = 1.5
FAILURE_FACTOR = 2.0
DEFAULT_CAPACITY = 8
MS_PER_S = 1000
DEFAULT_MS = 20.0
DEFAULT_ENGINE_MS = 300.0


def key_of(vm: Vm) -> VmKey:
    """Identify one start of one instance behind a VM's address.

    An upstream may start again under the same names.
    """
    return (vm.vm_id, vm.instance, vm.incarnation)


def decay(age_s: float, half_life_s: float) -> float:
    """Weigh information by its age.

    >>> decay(0, 10), decay(10, 10), decay(20, 10)
    (1.0, 0.5, 0.25)
    """
    return float(0.5 ** (max(0.0, age_s) / half_life_s))


def blend(old: float, new: float, weight: float) -> float:
    """Move a mean towards a new value.

    >>> blend(10.0, 20.0, 0.5)
    15.0
    """
    return old + weight * (new - old)


def track(typical_ms: float, sample_ms: float) -> float:
    """Move an estimate of a low quantile, which stragglers do not lift.

    >>> track(100.0, 1000.0) < 104, track(100.0, 10.0) < 94
    (True, True)
    """
    if sample_ms > typical_ms:
        return typical_ms * (1 + TYPICAL_STEP * TYPICAL_QUANTILE)
    return typical_ms * (1 - TYPICAL_STEP * (1 - TYPICAL_QUANTILE))


class Report(NamedTuple):
    """Hold what an upstream said about work that is not ours."""

    others: float
    capacity: int
    as_of_s: float


class VmLoad:
    """Hold the estimate for one instance."""

    def __init__(self) -> None:
        self.in_flight = 0
        self.report: Report | None = None
        self.unloaded_ms: float | None = None
        self.sampled_s = 0.0

    @property
    def capacity(self) -> int:
        """Give the reported capacity, or the default."""
        if self.report is None:
            return DEFAULT_CAPACITY
        return max(1, self.report.capacity)


class LoadTable:
    """Track own in-flight work and aged reports of each upstream.

    >>> from berylcart.state.vm import VmRole, VmState
    >>> vm = Vm("v1", 1, "127.0.0.1:1", "lahore-1", VmRole.UPSTREAM,
    ...         "model", VmState.LIVE, "i1")
    >>> table = LoadTable(clock_s=lambda: 0.0)
    >>> table.started(vm)
    >>> table.in_flight(vm)
    1
    >>> table.finished(vm, 40.0, True)
    >>> table.in_flight(vm)
    0
    """

    def __init__(
        self, clock_s: Callable[[], float] = anyio.current_time
    ) -> None:
        self.clock_s = clock_s
        self.loads: dict[VmKey, VmLoad] = {}
        self.service_ms: dict[str, float] = {}

    def started(self, vm: Vm) -> None:
        """Count one attempt in flight."""
        self._load(vm).in_flight += 1

    def finished(self, vm: Vm, latency_ms: float, is_ok: bool) -> None:
        """Count one attempt out and learn from its latency."""
        load = self._load(vm)
        slowdown = self._slowdown(load)
        load.in_flight = max(0, load.in_flight - 1)
        sample_ms = latency_ms / slowdown
        if not is_ok:
            known_ms = load.unloaded_ms or self.service_ms.get(vm.service, 0)
            sample_ms = max(sample_ms, FAILURE_FACTOR * known_ms)
        self._learn(vm, load, sample_ms, is_ok)

    def cancelled(self, vm: Vm, elapsed_ms: float) -> None:
        """Count one cancelled attempt out.

        It would have taken longer still, so it only ever raises an estimate.
        """
        load = self._load(vm)
        sample_ms = elapsed_ms / self._slowdown(load)
        load.in_flight = max(0, load.in_flight - 1)
        if sample_ms > (load.unloaded_ms or 0):
            self._learn(vm, load, sample_ms, is_ok=False)

    def reported(
        self,
        vm: Vm,
        in_flight: int,
        queued: int,
        capacity: int,
        age_ms: float,
    ) -> None:
        """Keep an upstream's own report, as old as age_ms."""
        load = self._load(vm)
        others = float(max(0, in_flight + queued - load.in_flight))
        if load.report is not None:
            others = blend(load.report.others, others, REPORT_SMOOTHING)
        as_of_s = self.clock_s() - age_ms / MS_PER_S
        load.report = Report(others, capacity, as_of_s)

    def expected_ms(self, vm: Vm, service: Service) -> float:
        """Estimate how long one more attempt would take there."""
        load = self.loads.get(key_of(vm))
        typical_ms = self.service_ms.get(vm.service, default_ms(service))
        if load is None:
            return typical_ms
        return self._unloaded_ms(load, typical_ms) * self._slowdown(load)

    def in_flight(self, vm: Vm) -> int:
        """Count own attempts in flight."""
        load = self.loads.get(key_of(vm))
        return 0 if load is None else load.in_flight

    def capacity(self, vm: Vm) -> int:
        """Give the reported capacity, or the default."""
        load = self.loads.get(key_of(vm))
        return DEFAULT_CAPACITY if load is None else load.capacity

    def occupancy(self, vm: Vm) -> float:
        """Estimate the work there, own and others', per unit of capacity."""
        load = self.loads.get(key_of(vm))
        if load is None:
            return 0.0
        return self._work(load) / load.capacity

    def retain(self, vms: Iterable[Vm]) -> None:
        """Drop the entries of VMs that are gone."""
        kept = {key_of(vm) for vm in vms}
        for key in self.loads.keys() - kept:
            if self.loads[key].in_flight == 0:
                del self.loads[key]

    def _load(self, vm: Vm) -> VmLoad:
        return self.loads.setdefault(key_of(vm), VmLoad())

    def _work(self, load: VmLoad) -> float:
        if load.report is None:
            return load.in_flight
        age_s = self.clock_s() - load.report.as_of_s
        weight = decay(age_s, REPORT_HALF_LIFE_S)
        # Smaller aged counts would make all entries choose the same replica.
        excess = load.report.others * weight - load.capacity
        return load.in_flight + max(0.0, excess)

    def _slowdown(self, load: VmLoad) -> float:
        return 1.0 + self._work(load) / load.capacity

    def _unloaded_ms(self, load: VmLoad, typical_ms: float) -> float:
        if load.unloaded_ms is None:
            return typical_ms
        age_s = self.clock_s() - load.sampled_s
        weight = decay(age_s, ESTIMATE_HALF_LIFE_S)
        own_ms = blend(typical_ms, load.unloaded_ms, weight)
        return own_ms if own_ms > NOTABLE_FACTOR * typical_ms else typical_ms

    def _learn(
        self, vm: Vm, load: VmLoad, sample_ms: float, is_ok: bool
    ) -> None:
        known_ms = load.unloaded_ms
        if known_ms is None:
            known_ms = self.service_ms.get(vm.service, sample_ms)
        load.unloaded_ms = blend(known_ms, sample_ms, SMOOTHING)
        load.sampled_s = self.clock_s()
        if is_ok:
            typical_ms = self.service_ms.get(vm.service, sample_ms)
            self.service_ms[vm.service] = track(typical_ms, sample_ms)


def default_ms(service: Service) -> float:
    """Guess the latency of a service that was never called.

    >>> default_ms(Service("model", ServiceKind.ENGINE, frozenset()))
    300.0
    """
    if service.kind is ServiceKind.ENGINE:
        return DEFAULT_ENGINE_MS
    return DEFAULT_MS
