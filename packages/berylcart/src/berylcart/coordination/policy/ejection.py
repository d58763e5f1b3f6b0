"""Outlier ejection: temporarily remove slow or failing replicas."""

from collections.abc import Callable, Iterable, Sequence
from statistics import median

import anyio

from berylcart import events
from berylcart.coordination.policy.load_table import (
    ReplicaKey,
    exponential_average,
    replica_key,
)
from berylcart.state.vm import Vm

EJECT_FACTOR = 3.0
RETURN_FACTOR = 1.5
EJECT_MIN_EXCESS_MS = 20.0
MAX_CONSECUTIVE_FAILURES = 3
MIN_SAMPLES = 5
SMOOTHING = 0.3
INITIAL_EJECTION_S = 2.0
MAX_EJECTION_S = 30.0
PROBE_TIMEOUT_S = 10.0
PROBES_TO_RESTORE = 2


class ReplicaHealth:
    """Track the latency, failures and ejection state of one replica."""

    def __init__(self) -> None:
        self.latency_ms = 0.0
        self.samples = 0
        self.consecutive_failures = 0
        self.is_ejected = False
        self.is_probing = False
        self.probe_due_s = 0.0
        self.ejection_s = INITIAL_EJECTION_S
        self.successful_probes = 0

    def record_attempt(self, latency_ms: float, is_ok: bool) -> None:
        """Update the failure count or the mean latency with one attempt."""
        if not is_ok:
            self.consecutive_failures += 1
            return
        self.consecutive_failures = 0
        weight = SMOOTHING if self.samples else 1.0
        self.latency_ms = exponential_average(
            self.latency_ms, latency_ms, weight
        )
        self.samples += 1

    def eject(self, now_s: float) -> None:
        """Eject the replica until its next probe, doubling the period."""
        if self.is_ejected:
            self.ejection_s = min(MAX_EJECTION_S, 2 * self.ejection_s)
        self.is_ejected = True
        self.is_probing = False
        self.successful_probes = 0
        self.probe_due_s = now_s + self.ejection_s

    def restore(self) -> None:
        """End the ejection and reset the statistics."""
        self.is_ejected = False
        self.ejection_s = INITIAL_EJECTION_S
        self.samples = 0
        self.consecutive_failures = 0


class Ejector:
    """Eject outlier replicas, at most half of a pool at a time.

    An ejected replica receives one request at a time as a probe and is
    restored after PROBES_TO_RESTORE successful probes in a row. The latency
    bound for a probe is lower than that for an ejection (hysteresis).
    """

    def __init__(
        self, clock_s: Callable[[], float] = anyio.current_time
    ) -> None:
        self.clock_s = clock_s
        self.services: dict[str, dict[ReplicaKey, ReplicaHealth]] = {}

    def record_outcome(self, vm: Vm, latency_ms: float, is_ok: bool) -> None:
        """Record the result of one attempt and eject or restore."""
        replica = self._find_or_create(vm)
        if replica.is_probing:
            self._evaluate_probe(vm, replica, latency_ms, is_ok)
        elif not replica.is_ejected:
            self._evaluate(vm, replica, latency_ms, is_ok)

    def cancelled(self, vm: Vm, elapsed_ms: float) -> None:
        """Record a cancelled attempt if it was slower than the median."""
        median_ms = self._median_of_others_ms(vm)
        if median_ms is not None and elapsed_ms > median_ms:
            self.record_outcome(vm, elapsed_ms, is_ok=True)

    def record_lost_race(
        self, vm: Vm, elapsed_ms: float, *, has_stalled: bool
    ) -> None:
        """Record an attempt cancelled because another replica was faster.

        It counts as a failure only if the replica has stalled. For a replica
        that is being probed it does not count as a successful probe.
        """
        if has_stalled:
            self.record_outcome(vm, elapsed_ms, is_ok=False)
        elif not self._find_or_create(vm).is_probing:
            self.cancelled(vm, elapsed_ms)

    def is_ejected(self, vm: Vm) -> bool:
        """Tell whether a replica is ejected."""
        replica = self._find(vm)
        return replica is not None and replica.is_ejected

    def usable(self, pool: Sequence[Vm]) -> tuple[Vm, ...]:
        """Return the pool without ejected replicas, at least half of it."""
        ejected = [vm for vm in pool if self.is_ejected(vm)]
        ejected.sort(key=self._severity, reverse=True)
        omitted = {replica_key(vm) for vm in ejected[: len(pool) // 2]}
        return tuple(vm for vm in pool if replica_key(vm) not in omitted)

    def probe(self, pool: Sequence[Vm]) -> Vm | None:
        """Return an ejected replica whose probe is due, if any."""
        now_s = self.clock_s()
        for vm in pool:
            replica = self._find(vm)
            if replica is None or not replica.is_ejected:
                continue
            if now_s >= replica.probe_due_s:
                replica.probe_due_s = now_s + PROBE_TIMEOUT_S
                replica.is_probing = True
                return vm
        return None

    def retain(self, vms: Iterable[Vm]) -> None:
        """Discard the state of replicas that are not in vms."""
        kept = {replica_key(vm) for vm in vms}
        for replicas in self.services.values():
            for key in replicas.keys() - kept:
                del replicas[key]

    def _find(self, vm: Vm) -> ReplicaHealth | None:
        return self.services.get(vm.service, {}).get(replica_key(vm))

    def _find_or_create(self, vm: Vm) -> ReplicaHealth:
        replicas = self.services.setdefault(vm.service, {})
        return replicas.setdefault(replica_key(vm), ReplicaHealth())

    def _severity(self, vm: Vm) -> tuple[int, float]:
        replica = self._find_or_create(vm)
        return (replica.consecutive_failures, replica.latency_ms)

    def _median_of_others_ms(self, vm: Vm) -> float | None:
        others = [
            replica.latency_ms
            for key, replica in self.services.get(vm.service, {}).items()
            if key != replica_key(vm)
            and replica.samples >= MIN_SAMPLES
            and not replica.is_ejected
        ]
        return median(others) if others else None

    def _is_failing(self, replica: ReplicaHealth) -> bool:
        return replica.consecutive_failures >= MAX_CONSECUTIVE_FAILURES

    def _is_slow(self, vm: Vm, replica: ReplicaHealth) -> bool:
        median_ms = self._median_of_others_ms(vm)
        if median_ms is None or replica.samples < MIN_SAMPLES:
            return False
        excess_ms = replica.latency_ms - median_ms
        return (
            replica.latency_ms > EJECT_FACTOR * median_ms
            and excess_ms > EJECT_MIN_EXCESS_MS
        )

    def _evaluate(
        self, vm: Vm, replica: ReplicaHealth, latency_ms: float, is_ok: bool
    ) -> None:
        replica.record_attempt(latency_ms, is_ok)
        if self._is_failing(replica) or self._is_slow(vm, replica):
            replica.eject(self.clock_s())
            events.warning("replica.ejected", vm=vm.vm_id, service=vm.service)

    def _evaluate_probe(
        self, vm: Vm, replica: ReplicaHealth, latency_ms: float, is_ok: bool
    ) -> None:
        replica.is_probing = False
        median_ms = self._median_of_others_ms(vm)
        is_fast = median_ms is None or latency_ms <= max(
            RETURN_FACTOR * median_ms, EJECT_MIN_EXCESS_MS
        )
        if not (is_ok and is_fast):
            replica.eject(self.clock_s())
            return
        replica.successful_probes += 1
        replica.probe_due_s = self.clock_s()
        if replica.successful_probes >= PROBES_TO_RESTORE:
            replica.restore()
            events.info("replica.restored", vm=vm.vm_id, service=vm.service)
