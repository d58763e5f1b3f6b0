"""Take stragglers and failing replicas out of a pool for a while."""

from collections.abc import Callable, Iterable, Sequence
from statistics import median

import anyio

from berylcart import events
from berylcart.coordination.policy.load_table import VmKey, blend, key_of
from berylcart.state.vm import Vm

EJECT_FACTOR = 3.0
RETURN_FACTOR = 1.5
EJECT_MIN_EXCESS_MS = 20.0
MAX_FAILURES_IN_ROW = 3
MIN_SAMPLES = 5
SMOOTHING = 0.3
FIRST_EJECTION_S = 2.0
MAX_EJECTION_S = 30.0
PROBE_TIMEOUT_S = 10.0
GOOD_PROBES = 2


class Replica:
    """Hold what is known of one instance."""

    def __init__(self) -> None:
        self.latency_ms = 0.0
        self.samples = 0
        self.failures_in_row = 0
        self.is_ejected = False
        self.is_probing = False
        self.probe_due_s = 0.0
        self.ejection_s = FIRST_EJECTION_S
        self.good_probes = 0

    def learn(self, latency_ms: float, is_ok: bool) -> None:
        """Take in one result."""
        if not is_ok:
            self.failures_in_row += 1
            return
        self.failures_in_row = 0
        weight = SMOOTHING if self.samples else 1.0
        self.latency_ms = blend(self.latency_ms, latency_ms, weight)
        self.samples += 1

    def eject(self, now_s: float) -> None:
        """Take it out until its next probe."""
        if self.is_ejected:
            self.ejection_s = min(MAX_EJECTION_S, 2 * self.ejection_s)
        self.is_ejected = True
        self.is_probing = False
        self.good_probes = 0
        self.probe_due_s = now_s + self.ejection_s

    def restore(self) -> None:
        """Put it back with a clean record."""
        self.is_ejected = False
        self.ejection_s = FIRST_EJECTION_S
        self.samples = 0
        self.failures_in_row = 0


class Ejector:
    """Eject with hysteresis, never below half of a pool.

    An ejected replica gets single probes, and comes back after a few good
    ones in a row.
    """

    def __init__(
        self, clock_s: Callable[[], float] = anyio.current_time
    ) -> None:
        self.clock_s = clock_s
        self.services: dict[str, dict[VmKey, Replica]] = {}

    def note(self, vm: Vm, latency_ms: float, is_ok: bool) -> None:
        """Take in one attempt's result and judge its replica."""
        replica = self._replica(vm)
        if replica.is_probing:
            self._judge_probe(vm, replica, latency_ms, is_ok)
        elif not replica.is_ejected:
            self._judge(vm, replica, latency_ms, is_ok)

    def cancelled(self, vm: Vm, elapsed_ms: float) -> None:
        """Take in a cancelled attempt: it counts only as a slow one."""
        typical_ms = self._typical_ms(vm)
        if typical_ms is not None and elapsed_ms > typical_ms:
            self.note(vm, elapsed_ms, is_ok=True)

    def outrun(self, vm: Vm, elapsed_ms: float, *, has_stalled: bool) -> None:
        """Take in an attempt that ended as another replica was faster.

        It fails a replica only where that has stalled, and says nothing good
        of one on probation.
        """
        if has_stalled:
            self.note(vm, elapsed_ms, is_ok=False)
        elif not self._replica(vm).is_probing:
            self.cancelled(vm, elapsed_ms)

    def is_ejected(self, vm: Vm) -> bool:
        """Tell whether a replica is taken out."""
        replica = self._known(vm)
        return replica is not None and replica.is_ejected

    def usable(self, pool: Sequence[Vm]) -> tuple[Vm, ...]:
        """Leave out ejected replicas, but never more than half."""
        ejected = [vm for vm in pool if self.is_ejected(vm)]
        ejected.sort(key=self._badness, reverse=True)
        left_out = {key_of(vm) for vm in ejected[: len(pool) // 2]}
        return tuple(vm for vm in pool if key_of(vm) not in left_out)

    def probe(self, pool: Sequence[Vm]) -> Vm | None:
        """Pick an ejected replica that is due for a single request."""
        now_s = self.clock_s()
        for vm in pool:
            replica = self._known(vm)
            if replica is None or not replica.is_ejected:
                continue
            if now_s >= replica.probe_due_s:
                replica.probe_due_s = now_s + PROBE_TIMEOUT_S
                replica.is_probing = True
                return vm
        return None

    def retain(self, vms: Iterable[Vm]) -> None:
        """Drop the records of VMs that are gone."""
        kept = {key_of(vm) for vm in vms}
        for replicas in self.services.values():
            for key in replicas.keys() - kept:
                del replicas[key]

    def _known(self, vm: Vm) -> Replica | None:
        return self.services.get(vm.service, {}).get(key_of(vm))

    def _replica(self, vm: Vm) -> Replica:
        replicas = self.services.setdefault(vm.service, {})
        return replicas.setdefault(key_of(vm), Replica())

    def _badness(self, vm: Vm) -> tuple[int, float]:
        replica = self._replica(vm)
        return (replica.failures_in_row, replica.latency_ms)

    def _typical_ms(self, vm: Vm) -> float | None:
        others = [
            replica.latency_ms
            for key, replica in self.services.get(vm.service, {}).items()
            if key != key_of(vm)
            and replica.samples >= MIN_SAMPLES
            and not replica.is_ejected
        ]
        return median(others) if others else None

    def _is_failing(self, replica: Replica) -> bool:
        return replica.failures_in_row >= MAX_FAILURES_IN_ROW

    def _is_slow(self, vm: Vm, replica: Replica) -> bool:
        typical_ms = self._typical_ms(vm)
        if typical_ms is None or replica.samples < MIN_SAMPLES:
            return False
        excess_ms = replica.latency_ms - typical_ms
        return (
            replica.latency_ms > EJECT_FACTOR * typical_ms
            and excess_ms > EJECT_MIN_EXCESS_MS
        )

    def _judge(
        self, vm: Vm, replica: Replica, latency_ms: float, is_ok: bool
    ) -> None:
        replica.learn(latency_ms, is_ok)
        if self._is_failing(replica) or self._is_slow(vm, replica):
            replica.eject(self.clock_s())
            events.warning("replica.ejected", vm=vm.vm_id, service=vm.service)

    def _judge_probe(
        self, vm: Vm, replica: Replica, latency_ms: float, is_ok: bool
    ) -> None:
        replica.is_probing = False
        typical_ms = self._typical_ms(vm)
        is_fast = typical_ms is None or latency_ms <= max(
            RETURN_FACTOR * typical_ms, EJECT_MIN_EXCESS_MS
        )
        if not (is_ok and is_fast):
            replica.eject(self.clock_s())
            return
        replica.good_probes += 1
        replica.probe_due_s = self.clock_s()
        if replica.good_probes >= GOOD_PROBES:
            replica.restore()
            events.info("replica.restored", vm=vm.vm_id, service=vm.service)
