"""Baseline policies and ablations that experiments compare against.

The daemon settings select one by its import path, such as
"berylcart_tools.experiments.baselines:round_robin".
"""

from collections.abc import Sequence
from itertools import count
from random import Random

from berylcart.coordination.policy.ejection import Ejector
from berylcart.coordination.policy.load_table import LoadTable
from berylcart.coordination.policy.routing import (
    NO_VM_IDS,
    Policy,
    Router,
    Routing,
    without,
)
from berylcart.state.config import Service
from berylcart.state.vm import Vm


class RoundRobin:
    """Choose the VMs of a pool in round-robin order."""

    def __init__(
        self, load_table: LoadTable, ejector: Ejector, random: Random
    ) -> None:
        self.positions = count(random.randrange(1000))

    def choose(
        self,
        pool: Sequence[Vm],
        *,
        service: Service,
        affinity: str = "",
        exclude: frozenset[str] = NO_VM_IDS,
    ) -> Vm | None:
        """Return the next VM of the pool that is not excluded."""
        candidates = without(pool, exclude)
        return (
            candidates[next(self.positions) % len(candidates)]
            if candidates
            else None
        )

    def hedge_target(
        self,
        pool: Sequence[Vm],
        *,
        service: Service,
        affinity: str = "",
        exclude: frozenset[str] = NO_VM_IDS,
    ) -> Vm | None:
        """Return the next VM of the pool that is not excluded."""
        return self.choose(pool, service=service, exclude=exclude)


class LeastInFlight:
    """Choose the VM with the fewest attempts in flight from this daemon."""

    def __init__(
        self, load_table: LoadTable, ejector: Ejector, random: Random
    ) -> None:
        self.load_table = load_table
        self.random = random

    def choose(
        self,
        pool: Sequence[Vm],
        *,
        service: Service,
        affinity: str = "",
        exclude: frozenset[str] = NO_VM_IDS,
    ) -> Vm | None:
        """Return the VM with the fewest attempts, breaking ties at random."""
        candidates = list(without(pool, exclude))
        self.random.shuffle(candidates)
        return min(candidates, key=self.load_table.in_flight, default=None)

    def hedge_target(
        self,
        pool: Sequence[Vm],
        *,
        service: Service,
        affinity: str = "",
        exclude: frozenset[str] = NO_VM_IDS,
    ) -> Vm | None:
        """Return the VM with the fewest attempts that is not excluded."""
        return self.choose(pool, service=service, exclude=exclude)


class NoAffinity(Router):
    """Route by expected completion time only, without prefix affinity."""

    def choose(
        self,
        pool: Sequence[Vm],
        *,
        service: Service,
        affinity: str = "",
        exclude: frozenset[str] = NO_VM_IDS,
    ) -> Vm | None:
        """Choose a VM, ignoring the affinity key."""
        return super().choose(pool, service=service, exclude=exclude)


class NoEjection(Router):
    """Route to all replicas, without ejecting outliers."""

    def __init__(
        self, load_table: LoadTable, ejector: Ejector, random: Random
    ) -> None:
        super().__init__(load_table, Ejector(), random)


def plain_policy(
    name: str,
    make_router: type[RoundRobin] | type[LeastInFlight],
    *,
    is_retrying: bool = True,
) -> Policy:
    """Build a policy without admission control and hedging."""
    return Policy(
        name,
        make_router,
        is_admitting=False,
        is_hedging=False,
        is_retrying=is_retrying,
    )


round_robin = plain_policy("round_robin", RoundRobin)
least_in_flight = plain_policy("least_in_flight", LeastInFlight)
no_affinity = Policy("no_affinity", NoAffinity)
no_ejection = Policy("no_ejection", NoEjection)
no_hedge = Policy("no_hedge", Router, is_hedging=False)
no_retry = Policy("no_retry", Router, is_retrying=False)
no_admission = Policy("no_admission", Router, is_admitting=False)


def check_routing(router: Routing) -> Routing:
    """Return the router; type checkers verify the Routing protocol here."""
    return router
