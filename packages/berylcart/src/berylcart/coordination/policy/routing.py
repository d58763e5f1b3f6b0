"""Choose the upstream for one attempt."""

from collections.abc import Callable, Sequence
from random import Random
from typing import NamedTuple, Protocol

import xxhash
from cachetools import LRUCache

from berylcart.coordination.policy.ejection import Ejector
from berylcart.coordination.policy.load_table import LoadTable
from berylcart.state.config import Service
from berylcart.state.vm import Vm

CANDIDATES = 5
LOAD_BOUND = 1.25
MAX_PREFIXES = 4096
NO_VMS: frozenset[str] = frozenset()


class Routing(Protocol):
    """Choose upstreams from pools of live and permitted VMs."""

    def choose(
        self,
        pool: Sequence[Vm],
        *,
        service: Service,
        affinity: str = "",
        exclude: frozenset[str] = NO_VMS,
    ) -> Vm | None:
        """Choose where an attempt runs; exclude holds vm_ids."""
        ...

    def hedge_target(
        self,
        pool: Sequence[Vm],
        *,
        service: Service,
        affinity: str = "",
        exclude: frozenset[str] = NO_VMS,
    ) -> Vm | None:
        """Choose where a second attempt runs beside the first."""
        ...


def rank(affinity: str, pool: Sequence[Vm]) -> list[Vm]:
    """Order a pool by rendezvous hashing, the preferred VM first."""
    prefix = affinity.encode()

    def score(vm: Vm) -> int:
        name = f"{vm.vm_id}/{vm.instance}".encode()
        return xxhash.xxh3_64_intdigest(prefix + b"\0" + name)

    return sorted(pool, key=score, reverse=True)


def without(pool: Sequence[Vm], exclude: frozenset[str]) -> tuple[Vm, ...]:
    """Leave the excluded vm_ids out of a pool."""
    return tuple(vm for vm in pool if vm.vm_id not in exclude)


class Router:
    """Choose by least expected completion, with bounded-load affinity."""

    def __init__(
        self, load_table: LoadTable, ejector: Ejector, random: Random
    ) -> None:
        self.load_table = load_table
        self.ejector = ejector
        self.random = random
        self.seen: LRUCache[int, bool] = LRUCache(MAX_PREFIXES)

    def choose(
        self,
        pool: Sequence[Vm],
        *,
        service: Service,
        affinity: str = "",
        exclude: frozenset[str] = NO_VMS,
    ) -> Vm | None:
        """Choose where an attempt runs, None when nothing is left."""
        if not exclude:
            probe = self.ejector.probe(pool)
            if probe is not None:
                return probe
        usable = without(self.ejector.usable(pool), exclude)
        if not usable:
            usable = without(pool, exclude)
        if usable and self._is_shared(affinity):
            return self._preferred(affinity, usable, service)
        return self._least_expected(usable, service)

    def hedge_target(
        self,
        pool: Sequence[Vm],
        *,
        service: Service,
        affinity: str = "",
        exclude: frozenset[str] = NO_VMS,
    ) -> Vm | None:
        """Choose the next VM of the affinity's order, never an ejected one."""
        usable = without(self.ejector.usable(pool), exclude)
        if affinity and usable:
            return self._preferred(affinity, usable, service)
        return self._least_expected(usable, service)

    def _is_shared(self, affinity: str) -> bool:
        """Say whether a prefix came before; one of its own gains nothing."""
        if not affinity:
            return False
        digest = xxhash.xxh3_64_intdigest(affinity.encode())
        is_shared = digest in self.seen
        self.seen[digest] = True
        return is_shared

    def _preferred(
        self, affinity: str, usable: Sequence[Vm], service: Service
    ) -> Vm | None:
        occupancies = [self.load_table.occupancy(vm) for vm in usable]
        mean = sum(occupancies) / len(usable)
        for vm in rank(affinity, usable):
            spare = 1.0 / self.load_table.capacity(vm)
            if self.load_table.occupancy(vm) <= LOAD_BOUND * mean + spare:
                return vm
        return self._least_expected(usable, service)

    def _least_expected(
        self, usable: Sequence[Vm], service: Service
    ) -> Vm | None:
        if not usable:
            return None
        count = min(CANDIDATES, len(usable))
        candidates = self.random.sample(list(usable), count)
        return min(
            candidates,
            key=lambda vm: self.load_table.expected_ms(vm, service),
        )


class Policy(NamedTuple):
    """Bundle the decisions that a daemon makes under load."""

    name: str
    make_router: Callable[[LoadTable, Ejector, Random], Routing]
    is_admitting: bool = True
    is_hedging: bool = True
    is_retrying: bool = True


DEFAULT_POLICY = Policy("berylcart", Router)
