"""Load balancing: choose the upstream of each attempt."""

from collections.abc import Callable, Sequence
from random import Random
from typing import NamedTuple, Protocol

import xxhash
from cachetools import LRUCache

from berylcart.coordination.policy.ejection import Ejector
from berylcart.coordination.policy.load_table import LoadTable
from berylcart.state.config import Service
from berylcart.state.vm import Vm

MAX_CANDIDATES = 5
LOAD_BOUND_FACTOR = 1.25
MAX_SEEN_PREFIXES = 4096
NO_VM_IDS: frozenset[str] = frozenset()


class Routing(Protocol):
    """Interface of a load balancer over live and permitted VMs."""

    def choose(
        self,
        pool: Sequence[Vm],
        *,
        service: Service,
        affinity: str = "",
        exclude: frozenset[str] = NO_VM_IDS,
    ) -> Vm | None:
        """Choose the upstream of an attempt; exclude holds vm_ids."""
        ...

    def hedge_target(
        self,
        pool: Sequence[Vm],
        *,
        service: Service,
        affinity: str = "",
        exclude: frozenset[str] = NO_VM_IDS,
    ) -> Vm | None:
        """Choose the upstream of a concurrent second attempt."""
        ...


def rendezvous_order(affinity: str, pool: Sequence[Vm]) -> list[Vm]:
    """Order a pool by rendezvous hashing, highest score first."""
    affinity_bytes = affinity.encode()

    def score(vm: Vm) -> int:
        name = f"{vm.vm_id}/{vm.instance}".encode()
        return xxhash.xxh3_64_intdigest(affinity_bytes + b"\0" + name)

    return sorted(pool, key=score, reverse=True)


def without(pool: Sequence[Vm], exclude: frozenset[str]) -> tuple[Vm, ...]:
    """Return the pool without the VMs whose vm_id is excluded."""
    return tuple(vm for vm in pool if vm.vm_id not in exclude)


class Router:
    """Choose by least expected latency, with bounded-load affinity.

    Prefixes that occur again are routed by rendezvous hashing to a replica
    whose load is close to the mean; all other attempts go to the fastest of
    MAX_CANDIDATES random replicas.
    """

    def __init__(
        self, load_table: LoadTable, ejector: Ejector, random: Random
    ) -> None:
        self.load_table = load_table
        self.ejector = ejector
        self.random = random
        self.seen_prefixes: LRUCache[int, bool] = LRUCache(MAX_SEEN_PREFIXES)

    def choose(
        self,
        pool: Sequence[Vm],
        *,
        service: Service,
        affinity: str = "",
        exclude: frozenset[str] = NO_VM_IDS,
    ) -> Vm | None:
        """Choose the upstream of an attempt, None if all are excluded."""
        if not exclude:
            probe = self.ejector.probe(pool)
            if probe is not None:
                return probe
        usable = without(self.ejector.usable(pool), exclude)
        if not usable:
            usable = without(pool, exclude)
        if usable and self._is_repeated(affinity):
            return self._choose_by_affinity(affinity, usable, service)
        return self._choose_fastest(usable, service)

    def hedge_target(
        self,
        pool: Sequence[Vm],
        *,
        service: Service,
        affinity: str = "",
        exclude: frozenset[str] = NO_VM_IDS,
    ) -> Vm | None:
        """Choose the next VM in affinity order, never an ejected one."""
        usable = without(self.ejector.usable(pool), exclude)
        if affinity and usable:
            return self._choose_by_affinity(affinity, usable, service)
        return self._choose_fastest(usable, service)

    def _is_repeated(self, affinity: str) -> bool:
        """Record a prefix and tell whether it occurred before.

        A prefix that occurs only once gains nothing from affinity.
        """
        if not affinity:
            return False
        digest = xxhash.xxh3_64_intdigest(affinity.encode())
        is_repeated = digest in self.seen_prefixes
        self.seen_prefixes[digest] = True
        return is_repeated

    def _choose_by_affinity(
        self, affinity: str, usable: Sequence[Vm], service: Service
    ) -> Vm | None:
        occupancies = [self.load_table.occupancy(vm) for vm in usable]
        mean = sum(occupancies) / len(usable)
        for vm in rendezvous_order(affinity, usable):
            one_slot = 1.0 / self.load_table.capacity(vm)
            if (
                self.load_table.occupancy(vm)
                <= LOAD_BOUND_FACTOR * mean + one_slot
            ):
                return vm
        return self._choose_fastest(usable, service)

    def _choose_fastest(
        self, usable: Sequence[Vm], service: Service
    ) -> Vm | None:
        if not usable:
            return None
        count = min(MAX_CANDIDATES, len(usable))
        candidates = self.random.sample(list(usable), count)
        return min(
            candidates,
            key=lambda vm: self.load_table.expected_ms(vm, service),
        )


class Policy(NamedTuple):
    """Select the load balancer and the overload features of a daemon."""

    name: str
    make_router: Callable[[LoadTable, Ejector, Random], Routing]
    is_admitting: bool = True
    is_hedging: bool = True
    is_retrying: bool = True


DEFAULT_POLICY = Policy("berylcart", Router)
