"""Keep simple policies to measure against.

A daemon's settings choose one by its path, such as
"berylcart_tools.experiments.baselines:round_robin".
"""

from collections.abc import Sequence
from itertools import count
from random import Random

from berylcart.coordination.policy.ejection import Ejector
from berylcart.coordination.policy.load_table import LoadTable
from berylcart.coordination.policy.routing import (
    NO_VMS,
    Policy,
    Router,
    Routing,
    without,
)
from berylcart.state.config import Service
from berylcart.state.vm import Vm


class RoundRobin:
    """Take the VMs of a pool in turn."""

    def __init__(
        self, load_table: LoadTable, ejector: Ejector, random: Random
    ) -> None:
        self.turns = count(random.randrange(1000))

    def choose(
        self,
        pool: Sequence[Vm],
        *,
        service: Service,
        affinity: str = "",
        exclude: frozenset[str] = NO_VMS,
    ) -> Vm | None:
        """Choose the next VM."""
        left = without(pool, exclude)
        return left[next(self.turns) % len(left)] if left else None

    def hedge_target(
        self,
        pool: Sequence[Vm],
        *,
        service: Service,
        affinity: str = "",
        exclude: frozenset[str] = NO_VMS,
    ) -> Vm | None:
        """Choose the next VM."""
        return self.choose(pool, service=service, exclude=exclude)


class LeastInFlight:
    """Take the VM with the fewest own attempts in flight."""

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
        exclude: frozenset[str] = NO_VMS,
    ) -> Vm | None:
        """Choose the least busy VM, at random among equals."""
        left = list(without(pool, exclude))
        self.random.shuffle(left)
        return min(left, key=self.load_table.in_flight, default=None)

    def hedge_target(
        self,
        pool: Sequence[Vm],
        *,
        service: Service,
        affinity: str = "",
        exclude: frozenset[str] = NO_VMS,
    ) -> Vm | None:
        """Choose the least busy VM."""
        return self.choose(pool, service=service, exclude=exclude)


class NoAffinity(Router):
    """Choose by least expected completion alone."""

    def choose(
        self,
        pool: Sequence[Vm],
        *,
        service: Service,
        affinity: str = "",
        exclude: frozenset[str] = NO_VMS,
    ) -> Vm | None:
        """Choose without regard to prompt prefixes."""
        return super().choose(pool, service=service, exclude=exclude)


class NoEjection(Router):
    """Choose among all replicas, whatever is known of them."""

    def __init__(
        self, load_table: LoadTable, ejector: Ejector, random: Random
    ) -> None:
        super().__init__(load_table, Ejector(), random)


def plain(
    name: str,
    make_router: type[RoundRobin] | type[LeastInFlight],
    *,
    is_retrying: bool = True,
) -> Policy:
    """Build a policy without admission or hedging."""
    return Policy(
        name,
        make_router,
        is_admitting=False,
        is_hedging=False,
        is_retrying=is_retrying,
    )


round_robin = plain("round_robin", RoundRobin)
least_in_flight = plain("least_in_flight", LeastInFlight)
no_affinity = Policy("no_affinity", NoAffinity)
no_ejection = Policy("no_ejection", NoEjection)
no_hedge = Policy("no_hedge", Router, is_hedging=False)
no_retry = Policy("no_retry", Router, is_retrying=False)
no_admission = Policy("no_admission", Router, is_admitting=False)


def check_routing(router: Routing) -> Routing:
    """Let the type checker compare a router with the protocol."""
    return router
