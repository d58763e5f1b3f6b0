"""Estimates of the load and the unloaded latency of each upstream."""

from collections.abc import Callable, Iterable
from typing import NamedTuple

import anyio

from berylcart.state.config import Service, ServiceKind
from berylcart.state.vm import Vm

ReplicaKey = tuple[str, str, int]

REPORT_HALF_LIFE_S = 5.0
REPORT_SMOOTHING = 0.1
ESTIMATE_HALF_LIFE_S = 10.0
SMOOTHING = 0.2
TRACKED_QUANTILE = 0.35
QUANTILE_STEP = 0.1
# Smaller differences are noise: if routing followed them, all entries would
# choose the same replicas.
SIGNIFICANT_FACTOR = 1.5
FAILURE_PENALTY = 2.0
DEFAULT_CAPACITY = 8
MS_PER_S = 1000
DEFAULT_LATENCY_MS = 20.0
DEFAULT_ENGINE_LATENCY_MS = 300.0


def replica_key(vm: Vm) -> ReplicaKey:
    """Return the key of one incarnation of an upstream's instance.

    An upstream may restart with the same vm_id and instance.
    """
    return (vm.vm_id, vm.instance, vm.incarnation)


def age_weight(age_s: float, half_life_s: float) -> float:
    """Return the exponential weight of information of some age.

    >>> age_weight(0, 10), age_weight(10, 10), age_weight(20, 10)
    (1.0, 0.5, 0.25)
    """
    return float(0.5 ** (max(0.0, age_s) / half_life_s))


def exponential_average(old: float, new: float, weight: float) -> float:
    """Update an exponentially weighted moving average.

    >>> exponential_average(10.0, 20.0, 0.5)
    15.0
    """
    return old + weight * (new - old)


def track_quantile(typical_ms: float, sample_ms: float) -> float:
    """Update an estimate of a low quantile, robust against slow outliers.

    >>> track_quantile(100.0, 1000.0) < 104, track_quantile(100.0, 10.0) < 94
    (True, True)
    """
    if sample_ms > typical_ms:
        return typical_ms * (1 + QUANTILE_STEP * TRACKED_QUANTILE)
    return typical_ms * (1 - QUANTILE_STEP * (1 - TRACKED_QUANTILE))


class ExternalLoad(NamedTuple):
    """Hold the work of other entries at an upstream, from its report."""

    external: float
    capacity: int
    as_of_s: float


class VmEstimate:
    """Hold the load and latency estimates of one instance."""

    def __init__(self) -> None:
        self.in_flight = 0
        self.report: ExternalLoad | None = None
        self.unloaded_ms: float | None = None
        self.sampled_s = 0.0

    @property
    def capacity(self) -> int:
        """Return the reported capacity, or the default."""
        if self.report is None:
            return DEFAULT_CAPACITY
        return max(1, self.report.capacity)


class LoadTable:
    """Track this entry's in-flight work and each upstream's load reports.

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
        self.loads: dict[ReplicaKey, VmEstimate] = {}
        self.service_ms: dict[str, float] = {}

    def started(self, vm: Vm) -> None:
        """Count an attempt as in flight."""
        self._find_or_create(vm).in_flight += 1

    def finished(self, vm: Vm, latency_ms: float, is_ok: bool) -> None:
        """Count an attempt as ended and update the latency estimate."""
        estimate = self._find_or_create(vm)
        slowdown = self._slowdown(estimate)
        estimate.in_flight = max(0, estimate.in_flight - 1)
        sample_ms = latency_ms / slowdown
        if not is_ok:
            known_ms = estimate.unloaded_ms or self.service_ms.get(
                vm.service, 0
            )
            sample_ms = max(sample_ms, FAILURE_PENALTY * known_ms)
        self._update_estimate(vm, estimate, sample_ms, is_ok)

    def cancelled(self, vm: Vm, elapsed_ms: float) -> None:
        """Count a cancelled attempt as ended.

        The elapsed time is a lower bound of its latency, so it can only raise
        the estimate.
        """
        estimate = self._find_or_create(vm)
        sample_ms = elapsed_ms / self._slowdown(estimate)
        estimate.in_flight = max(0, estimate.in_flight - 1)
        if sample_ms > (estimate.unloaded_ms or 0):
            self._update_estimate(vm, estimate, sample_ms, is_ok=False)

    def reported(
        self,
        vm: Vm,
        in_flight: int,
        queued: int,
        capacity: int,
        age_ms: float,
    ) -> None:
        """Record an upstream's own load report, which is age_ms old."""
        estimate = self._find_or_create(vm)
        external = float(max(0, in_flight + queued - estimate.in_flight))
        if estimate.report is not None:
            external = exponential_average(
                estimate.report.external, external, REPORT_SMOOTHING
            )
        as_of_s = self.clock_s() - age_ms / MS_PER_S
        estimate.report = ExternalLoad(external, capacity, as_of_s)

    def expected_ms(self, vm: Vm, service: Service) -> float:
        """Estimate the latency of one more attempt at an upstream."""
        estimate = self.loads.get(replica_key(vm))
        typical_ms = self.service_ms.get(vm.service, default_ms(service))
        if estimate is None:
            return typical_ms
        return self._unloaded_ms(estimate, typical_ms) * self._slowdown(
            estimate
        )

    def in_flight(self, vm: Vm) -> int:
        """Return the number of this entry's attempts in flight."""
        estimate = self.loads.get(replica_key(vm))
        return 0 if estimate is None else estimate.in_flight

    def capacity(self, vm: Vm) -> int:
        """Return the reported capacity, or the default."""
        estimate = self.loads.get(replica_key(vm))
        return DEFAULT_CAPACITY if estimate is None else estimate.capacity

    def occupancy(self, vm: Vm) -> float:
        """Estimate the ratio of all entries' work to the capacity."""
        estimate = self.loads.get(replica_key(vm))
        if estimate is None:
            return 0.0
        return self._work(estimate) / estimate.capacity

    def retain(self, vms: Iterable[Vm]) -> None:
        """Discard the estimates of idle instances that are not in vms."""
        kept = {replica_key(vm) for vm in vms}
        for key in self.loads.keys() - kept:
            if self.loads[key].in_flight == 0:
                del self.loads[key]

    def _find_or_create(self, vm: Vm) -> VmEstimate:
        return self.loads.setdefault(replica_key(vm), VmEstimate())

    def _work(self, estimate: VmEstimate) -> float:
        if estimate.report is None:
            return estimate.in_flight
        age_s = self.clock_s() - estimate.report.as_of_s
        weight = age_weight(age_s, REPORT_HALF_LIFE_S)
        # Only the excess over the capacity counts: with the reported counts,
        # which are out of date, all entries would choose the same replica.
        excess = estimate.report.external * weight - estimate.capacity
        return estimate.in_flight + max(0.0, excess)

    def _slowdown(self, estimate: VmEstimate) -> float:
        return 1.0 + self._work(estimate) / estimate.capacity

    def _unloaded_ms(self, estimate: VmEstimate, typical_ms: float) -> float:
        if estimate.unloaded_ms is None:
            return typical_ms
        age_s = self.clock_s() - estimate.sampled_s
        weight = age_weight(age_s, ESTIMATE_HALF_LIFE_S)
        own_ms = exponential_average(typical_ms, estimate.unloaded_ms, weight)
        return (
            own_ms if own_ms > SIGNIFICANT_FACTOR * typical_ms else typical_ms
        )

    def _update_estimate(
        self, vm: Vm, estimate: VmEstimate, sample_ms: float, is_ok: bool
    ) -> None:
        known_ms = estimate.unloaded_ms
        if known_ms is None:
            known_ms = self.service_ms.get(vm.service, sample_ms)
        estimate.unloaded_ms = exponential_average(
            known_ms, sample_ms, SMOOTHING
        )
        estimate.sampled_s = self.clock_s()
        if is_ok:
            typical_ms = self.service_ms.get(vm.service, sample_ms)
            self.service_ms[vm.service] = track_quantile(typical_ms, sample_ms)


def default_ms(service: Service) -> float:
    """Return the assumed latency of a service without any samples.

    >>> default_ms(Service("model", ServiceKind.ENGINE, frozenset()))
    300.0
    """
    if service.kind is ServiceKind.ENGINE:
        return DEFAULT_ENGINE_LATENCY_MS
    return DEFAULT_LATENCY_MS
