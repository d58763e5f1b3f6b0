"""Define the loads and failures that policies are measured under."""

from typing import NamedTuple

from berylcart_tools.experiments.arrivals import Phase

WARM_UP_S = 4.0
DURATION_S = 20.0


class SlowUpstream(NamedTuple):
    """Slow one upstream down by a factor."""

    at_s: float
    service: str
    number: int
    factor: float


class KillUpstream(NamedTuple):
    """Kill one upstream."""

    at_s: float
    service: str
    number: int


class RefuseUpstream(NamedTuple):
    """Let one upstream refuse its work, or take it again with ""."""

    at_s: float
    service: str
    number: int
    reason: str


class LogOutage(NamedTuple):
    """Switch an outage of the log on or off."""

    at_s: float
    is_down: bool


class KillPlace(NamedTuple):
    """Kill every upstream and entry of one place, by its position."""

    at_s: float
    number: int


class StopEntry(NamedTuple):
    """Stop one daemon in the planned way."""

    at_s: float
    number: int


class StartEntry(NamedTuple):
    """Start a daemon again after its stop."""

    at_s: float
    number: int


Action = (
    SlowUpstream
    | KillUpstream
    | RefuseUpstream
    | LogOutage
    | KillPlace
    | StopEntry
    | StartEntry
)


class Scenario(NamedTuple):
    """Describe one load and what fails meanwhile.

    The rate is relative to the deployment's; times count from the start,
    with the warm-up.
    """

    name: str
    rate_factor: float = 1.0
    duration_s: float = DURATION_S
    phases: tuple[Phase, ...] = ()
    actions: tuple[Action, ...] = ()
    prefix_words: int = 0
    streams_only: bool = False


# The deployments' own rate is 0.7 of what their model pool can take.
CAPACITY = 1 / 0.7
MIDDLE_S = WARM_UP_S + 5.0
LATE_S = WARM_UP_S + 10.0


def rolling_replacement() -> tuple[Action, ...]:
    """Stop and start the daemons, one after another."""
    actions: list[Action] = []
    for number in range(7):
        at_s = WARM_UP_S + 4.0 * number
        actions += [StopEntry(at_s, number), StartEntry(at_s + 8.0, number)]
    return tuple(sorted(actions, key=lambda action: action.at_s))


SCENARIOS = {
    scenario.name: scenario
    for scenario in (
        Scenario(
            "quick",
            1.0,
            6.0,
            actions=(SlowUpstream(WARM_UP_S + 1.0, "model", 0, 5.0),),
        ),
        Scenario("steady"),
        Scenario("capacity", CAPACITY),
        Scenario("overload-1.5", 1.5 * CAPACITY),
        Scenario("overload-3", 3.0 * CAPACITY),
        Scenario(
            "flood",
            phases=(
                Phase(MIDDLE_S, WARM_UP_S + DURATION_S, 30.0, "$smallest"),
            ),
        ),
        Scenario(
            "straggler", actions=(SlowUpstream(MIDDLE_S, "model", 0, 5.0),)
        ),
        Scenario(
            "dying-stream",
            streams_only=True,
            actions=(KillUpstream(MIDDLE_S, "model", 0),),
        ),
        Scenario(
            "dead-replica", actions=(KillUpstream(MIDDLE_S, "model", 0),)
        ),
        Scenario(
            "pool-failing",
            actions=(
                KillUpstream(MIDDLE_S, "reranker", 0),
                KillUpstream(LATE_S, "reranker", 1),
            ),
        ),
        Scenario("burst", phases=(Phase(MIDDLE_S, MIDDLE_S + 3.0, 4.0),)),
        Scenario("place-lost", actions=(KillPlace(MIDDLE_S, 2),)),
        Scenario("log-down", actions=(LogOutage(WARM_UP_S, True),)),
        Scenario("prefix-heavy", prefix_words=1500),
        Scenario("rolling", duration_s=40.0, actions=rolling_replacement()),
        Scenario(
            "burst-and-straggler",
            phases=(Phase(MIDDLE_S, MIDDLE_S + 3.0, 4.0),),
            actions=(SlowUpstream(MIDDLE_S, "model", 0, 5.0),),
        ),
    )
}
