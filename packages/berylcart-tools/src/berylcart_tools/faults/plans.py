"""List the failures that are brought about, alone and in pairs."""

import random
import signal
from itertools import combinations
from typing import Any, NamedTuple

from berylcart_tools.experiments.deployments import (
    AUTHORITY,
    ENTRY_COUNT,
    ServiceSpec,
)
from berylcart_tools.experiments.layout import entry_name

BEGIN_S = 1.5
MIDDLE_S = 3.0
END_S = 5.0


class SendSignal(NamedTuple):
    """Send a signal to one process."""

    at_s: float
    process: str
    signal: signal.Signals


class SetFaults(NamedTuple):
    """Switch the failures of one stand-in."""

    at_s: float
    process: str
    faults: dict[str, Any]


class StartEntry(NamedTuple):
    """Start a daemon again with its settings."""

    at_s: float
    entry: str


class Race(NamedTuple):
    """Let several operators publish on the same base at once."""

    at_s: float
    publishers: int


Action = SendSignal | SetFaults | StartEntry | Race


class Plan(NamedTuple):
    """Name a failure and the actions that bring it about."""

    name: str
    actions: tuple[Action, ...]


def replicas(service: str) -> list[str]:
    """Name the processes of one service."""
    spec: ServiceSpec = AUTHORITY.service(service)
    return [f"{service}-{number + 1}" for number in range(spec.replicas)]


def frozen(process: str, at_s: float, to_s: float) -> tuple[Action, ...]:
    """Freeze a process for a while."""
    return (
        SendSignal(at_s, process, signal.SIGSTOP),
        SendSignal(to_s, process, signal.SIGCONT),
    )


def switched(
    processes: list[str], at_s: float, to_s: float, faults: dict[str, Any]
) -> tuple[Action, ...]:
    """Switch failures on and off again."""
    return tuple(
        SetFaults(time_s, process, values)
        for process in processes
        for time_s, values in ((at_s, faults), (to_s, {}))
    )


def damaged(services: list[str], faults: dict[str, Any]) -> tuple[Action, ...]:
    """Damage the next answers of services, twice."""
    return tuple(
        SetFaults(at_s, process, faults)
        for service in services
        for process in replicas(service)
        for at_s in (BEGIN_S, MIDDLE_S)
    )


def vm_lists() -> list[str]:
    """Name the VM lists of all places."""
    return [f"vm-list-{place}" for place in AUTHORITY.places]


def killed_place() -> tuple[Action, ...]:
    """Kill all upstreams and entries of the last place."""
    place = AUTHORITY.places[-1]
    count = len(AUTHORITY.places)
    upstreams = [
        name
        for spec in AUTHORITY.services
        for number, name in enumerate(replicas(spec.name))
        if AUTHORITY.places[number % count] == place
    ]
    entries = [
        entry_name(number)
        for number in range(ENTRY_COUNT)
        if AUTHORITY.places[number % count] == place
    ]
    return tuple(
        SendSignal(BEGIN_S, name, signal.SIGKILL)
        for name in [*upstreams, *entries]
    )


ALL_SERVICES = [spec.name for spec in AUTHORITY.services]

PLANS: tuple[Plan, ...] = (
    Plan("calm", ()),
    Plan(
        "daemon-killed",
        (
            SendSignal(BEGIN_S, "entry-2", signal.SIGKILL),
            StartEntry(MIDDLE_S, "entry-2"),
            SendSignal(MIDDLE_S, "entry-5", signal.SIGKILL),
        ),
    ),
    Plan(
        "stopped-while-log-down",
        (
            SendSignal(BEGIN_S, "entry-6", signal.SIGTERM),
            *switched(["log"], BEGIN_S, END_S, {"outage": True}),
        ),
    ),
    Plan("daemon-frozen", frozen("entry-3", BEGIN_S, END_S)),
    Plan(
        "daemons-stopped",
        (
            SendSignal(BEGIN_S, "entry-1", signal.SIGTERM),
            SendSignal(BEGIN_S, "entry-4", signal.SIGTERM),
        ),
    ),
    Plan(
        "upstreams-killed",
        (
            SendSignal(BEGIN_S, "booking-1", signal.SIGKILL),
            SendSignal(MIDDLE_S, "model-2", signal.SIGKILL),
        ),
    ),
    Plan("upstream-frozen", frozen("booking-2", BEGIN_S, END_S)),
    Plan(
        "upstreams-stopped",
        (
            SendSignal(BEGIN_S, "booking-1", signal.SIGTERM),
            SendSignal(BEGIN_S, "model-1", signal.SIGTERM),
        ),
    ),
    Plan("answers-dropped", damaged(ALL_SERVICES, {"drop_answer": 5})),
    Plan("answers-cut", damaged(ALL_SERVICES, {"cut_answer": 5})),
    Plan("answers-crossed", damaged(ALL_SERVICES, {"cross_answer": 5})),
    Plan("log-down", switched(["log"], BEGIN_S, END_S, {"outage": True})),
    Plan("log-slow", switched(["log"], BEGIN_S, END_S, {"delay_ms": 300})),
    Plan(
        "log-answers-lost",
        (
            SetFaults(BEGIN_S, "log", {"drop_answer": 10}),
            SetFaults(MIDDLE_S, "log", {"drop_answer": 10}),
        ),
    ),
    Plan(
        "vm-lists-down",
        switched(vm_lists(), BEGIN_S, END_S, {"outage": True}),
    ),
    Plan("place-lost", killed_place()),
    Plan("operators-race", (Race(BEGIN_S, 5), Race(MIDDLE_S, 5))),
)

BY_NAME = {plan.name: plan for plan in PLANS}


def pair(first: Plan, second: Plan) -> Plan:
    """Bring about two failures together."""
    return Plan(
        f"{first.name}+{second.name}", (*first.actions, *second.actions)
    )


def random_pairs(count: int, seed: int) -> list[Plan]:
    """Choose pairs of different failures.

    >>> [plan.name for plan in random_pairs(1, 7)] == [
    ...     plan.name for plan in random_pairs(1, 7)]
    True
    """
    pairs = list(combinations(PLANS[1:], 2))
    chosen = random.Random(seed).sample(pairs, count)
    return [pair(first, second) for first, second in chosen]
