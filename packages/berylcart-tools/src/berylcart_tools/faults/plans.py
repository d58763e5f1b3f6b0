"""Define the fault plans, single faults and pairs of them."""

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

FAULT_START_S = 1.5
FAULT_MIDPOINT_S = 3.0
FAULT_END_S = 5.0


class SendSignal(NamedTuple):
    """Send a signal to one process."""

    at_s: float
    process: str
    signal: signal.Signals


class SetFaults(NamedTuple):
    """Set the faults of one stand-in; an empty dict clears them."""

    at_s: float
    process: str
    faults: dict[str, Any]


class RestartEntry(NamedTuple):
    """Restart a daemon with its settings."""

    at_s: float
    entry: str


class ConcurrentPublish(NamedTuple):
    """Publish from several operators concurrently on the same base."""

    at_s: float
    publishers: int


Action = SendSignal | SetFaults | RestartEntry | ConcurrentPublish


class Plan(NamedTuple):
    """Name a fault scenario and list the actions that produce it."""

    name: str
    actions: tuple[Action, ...]


def replica_names(service: str) -> list[str]:
    """Return the process names of a service's replicas."""
    spec: ServiceSpec = AUTHORITY.service(service)
    return [f"{service}-{number + 1}" for number in range(spec.replicas)]


def suspend_process(
    process: str, at_s: float, end_s: float
) -> tuple[Action, ...]:
    """Suspend a process with SIGSTOP and resume it with SIGCONT."""
    return (
        SendSignal(at_s, process, signal.SIGSTOP),
        SendSignal(end_s, process, signal.SIGCONT),
    )


def toggle_faults(
    processes: list[str], at_s: float, end_s: float, faults: dict[str, Any]
) -> tuple[Action, ...]:
    """Set faults at one time and clear them at another."""
    return tuple(
        SetFaults(time_s, process, values)
        for process in processes
        for time_s, values in ((at_s, faults), (end_s, {}))
    )


def inject_answer_faults(
    services: list[str], faults: dict[str, Any]
) -> tuple[Action, ...]:
    """Set answer faults on all replicas of services, at two times."""
    return tuple(
        SetFaults(at_s, process, faults)
        for service in services
        for process in replica_names(service)
        for at_s in (FAULT_START_S, FAULT_MIDPOINT_S)
    )


def vm_list_names() -> list[str]:
    """Return the process names of the VM lists of all places."""
    return [f"vm-list-{place}" for place in AUTHORITY.places]


def kill_last_place() -> tuple[Action, ...]:
    """Kill all upstreams and entries of the last place with SIGKILL."""
    place = AUTHORITY.places[-1]
    place_count = len(AUTHORITY.places)
    upstreams = [
        name
        for spec in AUTHORITY.services
        for number, name in enumerate(replica_names(spec.name))
        if AUTHORITY.places[number % place_count] == place
    ]
    entries = [
        entry_name(number)
        for number in range(ENTRY_COUNT)
        if AUTHORITY.places[number % place_count] == place
    ]
    return tuple(
        SendSignal(FAULT_START_S, name, signal.SIGKILL)
        for name in [*upstreams, *entries]
    )


ALL_SERVICES = [spec.name for spec in AUTHORITY.services]

PLANS: tuple[Plan, ...] = (
    Plan("calm", ()),
    Plan(
        "daemon-killed",
        (
            SendSignal(FAULT_START_S, "entry-2", signal.SIGKILL),
            RestartEntry(FAULT_MIDPOINT_S, "entry-2"),
            SendSignal(FAULT_MIDPOINT_S, "entry-5", signal.SIGKILL),
        ),
    ),
    Plan(
        "stopped-while-log-down",
        (
            SendSignal(FAULT_START_S, "entry-6", signal.SIGTERM),
            *toggle_faults(
                ["log"], FAULT_START_S, FAULT_END_S, {"outage": True}
            ),
        ),
    ),
    Plan(
        "daemon-frozen", suspend_process("entry-3", FAULT_START_S, FAULT_END_S)
    ),
    Plan(
        "daemons-stopped",
        (
            SendSignal(FAULT_START_S, "entry-1", signal.SIGTERM),
            SendSignal(FAULT_START_S, "entry-4", signal.SIGTERM),
        ),
    ),
    Plan(
        "upstreams-killed",
        (
            SendSignal(FAULT_START_S, "booking-1", signal.SIGKILL),
            SendSignal(FAULT_MIDPOINT_S, "model-2", signal.SIGKILL),
        ),
    ),
    Plan(
        "upstream-frozen",
        suspend_process("booking-2", FAULT_START_S, FAULT_END_S),
    ),
    Plan(
        "upstreams-stopped",
        (
            SendSignal(FAULT_START_S, "booking-1", signal.SIGTERM),
            SendSignal(FAULT_START_S, "model-1", signal.SIGTERM),
        ),
    ),
    Plan(
        "answers-dropped",
        inject_answer_faults(ALL_SERVICES, {"drop_answer": 5}),
    ),
    Plan("answers-cut", inject_answer_faults(ALL_SERVICES, {"cut_answer": 5})),
    Plan(
        "answers-crossed",
        inject_answer_faults(ALL_SERVICES, {"cross_answer": 5}),
    ),
    Plan(
        "log-down",
        toggle_faults(["log"], FAULT_START_S, FAULT_END_S, {"outage": True}),
    ),
    Plan(
        "log-slow",
        toggle_faults(["log"], FAULT_START_S, FAULT_END_S, {"delay_ms": 300}),
    ),
    Plan(
        "log-answers-lost",
        (
            SetFaults(FAULT_START_S, "log", {"drop_answer": 10}),
            SetFaults(FAULT_MIDPOINT_S, "log", {"drop_answer": 10}),
        ),
    ),
    Plan(
        "vm-lists-down",
        toggle_faults(
            vm_list_names(), FAULT_START_S, FAULT_END_S, {"outage": True}
        ),
    ),
    Plan("place-lost", kill_last_place()),
    Plan(
        "operators-race",
        (
            ConcurrentPublish(FAULT_START_S, 5),
            ConcurrentPublish(FAULT_MIDPOINT_S, 5),
        ),
    ),
)

PLANS_BY_NAME = {plan.name: plan for plan in PLANS}


def combine(first: Plan, second: Plan) -> Plan:
    """Combine two plans into one that runs the actions of both."""
    return Plan(
        f"{first.name}+{second.name}", (*first.actions, *second.actions)
    )


def random_pairs(count: int, seed: int) -> list[Plan]:
    """Sample distinct pairs of plans, excluding the plan without faults.

    >>> [plan.name for plan in random_pairs(1, 7)] == [
    ...     plan.name for plan in random_pairs(1, 7)]
    True
    """
    pairs = list(combinations(PLANS[1:], 2))
    sample = random.Random(seed).sample(pairs, count)
    return [combine(first, second) for first, second in sample]
