"""Choose an engine replica for each request of a fleet of daemons.

Each of many daemons sends few requests to each replica, prompts share long
parts, and replicas differ in speed. From its own requests alone, no daemon can
tell which replica is overloaded, so one daemon places the requests of all.
"""

from collections.abc import Callable, Sequence
from itertools import count

from berylcart import clock, events
from berylcart.coordination.gateway.engine_load import (
    EngineLoad,
    FleetSlowdown,
)
from berylcart.coordination.policy.routing import rendezvous_order
from berylcart.state.peer_messages import (
    AttemptReport,
    Placement,
    PlacementQuery,
)
from berylcart.state.vm import Vm

MS_PER_S = 1000
# Recomputing a shared prompt part that another replica has cached delays the
# request and those queued behind it, of which two are counted.
PREFILL_COST_FACTOR = 3
# Cost of reading results from another place: the links between places are
# shared, and a transfer takes as long as the prefill of some tokens.
TRANSFER_COST_S_PER_BYTE = 0.015e-6
MAX_TRANSFER_COST_S = 0.2
# A request without a report for this long was never sent, or its replica does
# not answer; the replica is then tried again.
MAX_PENDING_MS = 5000

Key = tuple[str, int]


class EnginePlacement:
    """Choose by the expected time to the first token, for one service.

    Its state covers a few seconds of requests: a daemon that takes over starts
    without any and knows the load once the running requests have ended.
    """

    def __init__(
        self,
        service: str,
        pool: Callable[[], Sequence[Vm]],
        kv_tokens: Callable[[], int],
    ) -> None:
        self.service = service
        self.pool = pool
        self.kv_tokens = kv_tokens
        self.fleet = FleetSlowdown()
        self.loads: dict[Key, EngineLoad] = {}
        self.numbers = count(1)
        self.sent: dict[int, Key] = {}

    def load(self, vm: Vm) -> EngineLoad:
        """Return the state of a replica's incarnation, created if missing."""
        key = (vm.vm_id, vm.incarnation)
        load = self.loads.get(key)
        if load is None:
            load = EngineLoad(self.fleet, self.kv_tokens())
            self.loads[key] = load
        return load

    def place(self, query: PlacementQuery) -> Placement | None:
        """Choose a replica and record the request; None without replicas.

        If the query is only a question, no request is recorded.
        """
        pool = self.pool()
        if not pool:
            return None
        now_s = clock.now_s()
        likely_holder = self.find_likely_holder(query, pool)
        vm = min(
            pool, key=lambda each: self.cost(each, query, now_s, likely_holder)
        )
        load = self.load(vm)
        tokens = query.own_tokens + self.uncached_tokens(
            vm, query, likely_holder
        )
        expected_ms = int(load.expected_s(tokens, now_s) * MS_PER_S)
        if query.is_question:
            return Placement(vm.vm_id, vm.incarnation, 0, expected_ms)
        number = next(self.numbers)
        pending_s = min(MAX_PENDING_MS, query.left_ms) / MS_PER_S
        load.record_sent(
            number,
            tokens,
            query.output_tokens,
            now_s=now_s,
            until_s=now_s + pending_s,
        )
        load.cache_parts(query.parts)
        self.sent[number] = (vm.vm_id, vm.incarnation)
        self.retain(pool)
        return Placement(vm.vm_id, vm.incarnation, number, expected_ms)

    def find_likely_holder(
        self, query: PlacementQuery, pool: Sequence[Vm]
    ) -> Vm | None:
        """Return the replica that a previous home daemon most likely chose.

        If no replica is known to have the shared part, this is the first one
        by rendezvous hashing. Otherwise a change of the home would move every
        part to another replica.
        """
        if not query.parts:
            return None
        part_id = query.parts[-1].part_id
        if any(part_id in self.load(vm).cached_parts for vm in pool):
            return None
        return rendezvous_order(part_id, pool)[0]

    def uncached_tokens(
        self, vm: Vm, query: PlacementQuery, likely_holder: Vm | None
    ) -> int:
        """Estimate the tokens of prompt parts that a replica has to prefill.

        For the likely holder, which may have them cached, half are counted.
        """
        uncached = self.load(vm).count_uncached(query.parts)
        return uncached // 2 if vm is likely_holder else uncached

    def cost(
        self,
        vm: Vm,
        query: PlacementQuery,
        now_s: float,
        likely_holder: Vm | None,
    ) -> tuple[float, float]:
        """Return the sort key: remaining avoidance time, then cost."""
        load = self.load(vm)
        avoidance_left_s = max(0.0, load.avoided_until_s - now_s)
        uncached = PREFILL_COST_FACTOR * self.uncached_tokens(
            vm, query, likely_holder
        )
        cost_s = load.expected_s(query.own_tokens + uncached, now_s)
        if query.place not in ("", vm.place):
            cost_s += min(
                MAX_TRANSFER_COST_S,
                TRANSFER_COST_S_PER_BYTE * query.moved_bytes,
            )
        return avoidance_left_s, cost_s

    def record_attempt(self, report: AttemptReport) -> None:
        """Record a report that a request started, failed or was cancelled."""
        key = self.sent.pop(report.number, None)
        load = self.loads.get(key) if key is not None else None
        if load is None:
            return
        if report.is_failed:
            load.record_failure(report.number, clock.now_s())
            return
        if not report.is_begun:
            load.remove(report.number)
            return
        latency_s = report.latency_ms / MS_PER_S
        load.record_first_token(report.number, latency_s, now_s=clock.now_s())

    def retain(self, pool: Sequence[Vm]) -> None:
        """Remove replicas that left the pool and requests without reports."""
        if len(self.loads) > len(pool):
            current_keys = {(vm.vm_id, vm.incarnation) for vm in pool}
            for key in self.loads.keys() - current_keys:
                del self.loads[key]
        pending_count = sum(len(load.pending) for load in self.loads.values())
        if len(self.sent) > 2 * pending_count + len(pool):
            numbers = {n for e in self.loads.values() for n in e.pending}
            expired = self.sent.keys() - numbers
            events.info(
                "placements.expired",
                service=self.service,
                requests=len(expired),
            )
            for number in expired:
                del self.sent[number]
