"""Choose the engine replica of each request of a whole fleet of daemons.

The load is many daemons that each send few requests to each replica, prompts
that share long parts, and replicas of unequal speed: by its own requests no
daemon can tell which replica is behind.
"""

from collections.abc import Callable, Sequence
from itertools import count

from berylcart import clock, events
from berylcart.coordination.gateway.engine_load import EngineLoad, FleetSpeed
from berylcart.coordination.policy.routing import rank
from berylcart.state.peer_messages import (
    AttemptNews,
    Placement,
    PlacementQuery,
)
from berylcart.state.vm import Vm

MS_PER_S = 1000
# Reading a shared part that another replica holds delays the request itself
# and the requests that come after it there, of which two are counted.
READ_AGAIN_FACTOR = 3
# What it is worth that results stay in their place: links between places are
# shared, and their time is that of some tokens read.
MOVE_S_PER_BYTE = 0.015e-6
MAX_MOVE_S = 0.2
# A request without news for longer was never sent, or its replica is silent
# and is tried again.
MAX_LEFT_MS = 5000

Key = tuple[str, int]


class EnginePlacement:
    """Choose by expected time to the first token, for one service.

    Its state is a few seconds of requests: a daemon that takes over begins
    with none and knows the load again once the running requests have ended.
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
        self.fleet = FleetSpeed()
        self.loads: dict[Key, EngineLoad] = {}
        self.numbers = count(1)
        self.sent: dict[int, Key] = {}

    def load(self, vm: Vm) -> EngineLoad:
        """Find what is known of a replica."""
        key = (vm.vm_id, vm.incarnation)
        load = self.loads.get(key)
        if load is None:
            load = EngineLoad(self.fleet, self.kv_tokens())
            self.loads[key] = load
        return load

    def place(self, query: PlacementQuery) -> Placement | None:
        """Choose a replica and count the request there, None without any.

        A question is answered without a request that counts.
        """
        pool = self.pool()
        if not pool:
            return None
        now_s = clock.now_s()
        likely = self.likely_holder(query, pool)
        vm = min(pool, key=lambda each: self.cost(each, query, now_s, likely))
        load = self.load(vm)
        tokens = query.own_tokens + self.missing(vm, query, likely)
        expected_ms = int(load.expected_s(tokens, now_s) * MS_PER_S)
        if query.is_question:
            return Placement(vm.vm_id, vm.incarnation, 0, expected_ms)
        number = next(self.numbers)
        left_s = min(MAX_LEFT_MS, query.left_ms) / MS_PER_S
        load.send(
            number,
            tokens,
            query.output_tokens,
            now_s=now_s,
            until_s=now_s + left_s,
        )
        load.keep(query.parts)
        self.sent[number] = (vm.vm_id, vm.incarnation)
        self.retain(pool)
        return Placement(vm.vm_id, vm.incarnation, number, expected_ms)

    def likely_holder(
        self, query: PlacementQuery, pool: Sequence[Vm]
    ) -> Vm | None:
        """Name the replica that a home of before has most likely chosen.

        That is the first by rendezvous hashing, where nothing is known of the
        shared part. Without it, all parts would move with the home.
        """
        if not query.parts:
            return None
        part_id = query.parts[-1].part_id
        if any(part_id in self.load(vm).parts for vm in pool):
            return None
        return rank(part_id, pool)[0]

    def missing(self, vm: Vm, query: PlacementQuery, likely: Vm | None) -> int:
        """Estimate the tokens of shared parts that a replica has to read."""
        missing = self.load(vm).missing(query.parts)
        return missing // 2 if vm is likely else missing

    def cost(
        self, vm: Vm, query: PlacementQuery, now_s: float, likely: Vm | None
    ) -> tuple[float, float]:
        """Compare by how long a failing replica is avoided, then by cost."""
        load = self.load(vm)
        avoided_s = max(0.0, load.avoided_until_s - now_s)
        missing = READ_AGAIN_FACTOR * self.missing(vm, query, likely)
        cost_s = load.expected_s(query.own_tokens + missing, now_s)
        if query.place not in ("", vm.place):
            cost_s += min(MAX_MOVE_S, MOVE_S_PER_BYTE * query.moved_bytes)
        return avoided_s, cost_s

    def note(self, news: AttemptNews) -> None:
        """Take that a request has begun or has ended before."""
        key = self.sent.pop(news.number, None)
        load = self.loads.get(key) if key is not None else None
        if load is None:
            return
        if news.is_failed:
            load.fail(news.number, clock.now_s())
            return
        if not news.is_begun:
            load.end(news.number)
            return
        latency_s = news.latency_ms / MS_PER_S
        load.begin(news.number, latency_s, now_s=clock.now_s())

    def retain(self, pool: Sequence[Vm]) -> None:
        """Forget replicas that are gone, and requests without news."""
        if len(self.loads) > len(pool):
            kept = {(vm.vm_id, vm.incarnation) for vm in pool}
            for key in self.loads.keys() - kept:
                del self.loads[key]
        unread = sum(len(load.readings) for load in self.loads.values())
        if len(self.sent) > 2 * unread + len(pool):
            numbers = {n for e in self.loads.values() for n in e.readings}
            lost = self.sent.keys() - numbers
            events.info(
                "placements.expired", service=self.service, requests=len(lost)
            )
            for number in lost:
                del self.sent[number]
