"""Load and fault scenarios that policies are measured under."""

from typing import NamedTuple

from berylcart_tools.experiments.arrivals import RatePhase

WARM_UP_S = 4.0
DURATION_S = 20.0


class SlowUpstream(NamedTuple):
    """Multiply the processing time of one upstream by a factor."""

    at_s: float
    service: str
    number: int
    factor: float


class KillUpstream(NamedTuple):
    """Kill one upstream process."""

    at_s: float
    service: str
    number: int


class RefuseUpstream(NamedTuple):
    """Make one upstream refuse requests; an empty reason ends that."""

    at_s: float
    service: str
    number: int
    reason: str


class LogOutage(NamedTuple):
    """Start or end an outage of the log."""

    at_s: float
    is_down: bool


class KillPlace(NamedTuple):
    """Kill all upstreams and entry daemons of a place, given by index."""

    at_s: float
    number: int


class StopEntry(NamedTuple):
    """Stop one entry daemon gracefully."""

    at_s: float
    number: int


class StartEntry(NamedTuple):
    """Restart a stopped entry daemon."""

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
    """Define the load and the faults of one experiment.

    rate_factor multiplies the rate of the deployment. Times count from the
    start of the run, including the warm-up.
    """

    name: str
    rate_factor: float = 1.0
    duration_s: float = DURATION_S
    phases: tuple[RatePhase, ...] = ()
    actions: tuple[Action, ...] = ()
    prefix_words: int = 0
    streams_only: bool = False


# The deployments' default rate is 0.7 of the capacity of their model pool.
CAPACITY_FACTOR = 1 / 0.7
MID_RUN_S = WARM_UP_S + 5.0
LATE_RUN_S = WARM_UP_S + 10.0


def rolling_restart() -> tuple[Action, ...]:
    """Stop a daemon every 4 s and restart it 8 s later."""
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
        Scenario("capacity", CAPACITY_FACTOR),
        Scenario("overload-1.5", 1.5 * CAPACITY_FACTOR),
        Scenario("overload-3", 3.0 * CAPACITY_FACTOR),
        Scenario(
            "flood",
            phases=(
                RatePhase(
                    MID_RUN_S, WARM_UP_S + DURATION_S, 30.0, "$smallest"
                ),
            ),
        ),
        Scenario(
            "straggler", actions=(SlowUpstream(MID_RUN_S, "model", 0, 5.0),)
        ),
        Scenario(
            "dying-stream",
            streams_only=True,
            actions=(KillUpstream(MID_RUN_S, "model", 0),),
        ),
        Scenario(
            "dead-replica", actions=(KillUpstream(MID_RUN_S, "model", 0),)
        ),
        Scenario(
            "pool-failing",
            actions=(
                KillUpstream(MID_RUN_S, "reranker", 0),
                KillUpstream(LATE_RUN_S, "reranker", 1),
            ),
        ),
        Scenario(
            "burst", phases=(RatePhase(MID_RUN_S, MID_RUN_S + 3.0, 4.0),)
        ),
        Scenario("place-lost", actions=(KillPlace(MID_RUN_S, 2),)),
        Scenario("log-down", actions=(LogOutage(WARM_UP_S, True),)),
        Scenario("prefix-heavy", prefix_words=1500),
        Scenario("rolling", duration_s=40.0, actions=rolling_restart()),
        Scenario(
            "burst-and-straggler",
            phases=(RatePhase(MID_RUN_S, MID_RUN_S + 3.0, 4.0),),
            actions=(SlowUpstream(MID_RUN_S, "model", 0, 5.0),),
        ),
    )
}
