"""Generate reproducible open-loop arrivals from a random seed."""

from collections.abc import Iterator, Sequence
from random import Random
from typing import Any, NamedTuple

PREFIX_WORDS = 48
WORDS = ("hem", "seam", "cuff", "raft", "valve", "lining", "pleat", "canopy")


class RatePhase(NamedTuple):
    """Multiply the arrival rate by a factor during an interval.

    An empty workspace applies the factor to all workspaces.
    """

    start_s: float
    end_s: float
    factor: float
    workspace: str = ""


class CallKind(NamedTuple):
    """Describe one class of calls and its relative weight in the mix."""

    target: str
    weight: float
    is_pipeline: bool = False
    is_keyed: bool = False
    is_stream: bool = False
    max_tokens: int = 0
    deadline_ms: int = 3000
    prefix_count: int = 0
    prefix_words: int = PREFIX_WORDS


class TrafficMix(NamedTuple):
    """Define the relative weights of the workspaces and call kinds."""

    workspaces: tuple[tuple[str, float], ...]
    kinds: tuple[CallKind, ...]


class Arrival(NamedTuple):
    """Hold one call and its scheduled send time, from the start of the run."""

    at_s: float
    number: int
    workspace: str
    kind: CallKind
    payload: dict[str, Any]


def rate_factor_at(
    at_s: float, phases: Sequence[RatePhase], workspace: str
) -> float:
    """Return the product of the factors of all phases active at a time.

    >>> phases = [RatePhase(5, 10, 3.0), RatePhase(0, 9, 2.0, "clerks")]
    >>> rate_factor_at(6, phases, "clerks"), rate_factor_at(6, phases, "desk")
    (6.0, 3.0)
    """
    factor = 1.0
    for phase in phases:
        applies = phase.workspace in ("", workspace)
        if applies and phase.start_s <= at_s < phase.end_s:
            factor *= phase.factor
    return factor


def generate_prompt(random: Random, kind: CallKind, number: int) -> str:
    """Generate a prompt, starting with a shared prefix if the kind has any."""
    if not kind.prefix_count:
        return f"question {number}"
    prefix = int(kind.prefix_count * random.random() ** 2)
    words = Random(prefix).choices(WORDS, k=kind.prefix_words)
    return f"{' '.join(words)} question {number}"


def generate_payload(
    random: Random, kind: CallKind, number: int
) -> dict[str, Any]:
    """Generate the request payload of a call."""
    if not kind.max_tokens:
        return {"slot": number}
    prompt = generate_prompt(random, kind, number)
    tokens = random.randint(kind.max_tokens // 2, kind.max_tokens)
    key = "text" if kind.is_pipeline else "prompt"
    return {key: prompt, "max_tokens": tokens}


def draw_arrival_times(
    random: Random,
    workspace: str,
    rate: float,
    duration_s: float,
    phases: Sequence[RatePhase],
) -> Iterator[float]:
    """Sample a non-homogeneous Poisson process by thinning."""
    factors = [p.factor for p in phases if p.workspace in ("", workspace)]
    peak = rate
    for factor in factors:
        peak *= max(1.0, factor)
    at_s = random.expovariate(peak)
    while at_s < duration_s:
        current_rate = rate * rate_factor_at(at_s, phases, workspace)
        if random.random() < current_rate / peak:
            yield at_s
        at_s += random.expovariate(peak)


def generate_arrivals(
    seed: int,
    mix: TrafficMix,
    rate: float,
    duration_s: float,
    phases: Sequence[RatePhase] = (),
) -> list[Arrival]:
    """Generate all arrivals of a run; rate is the total per second."""
    random = Random(seed)
    total = sum(weight for _, weight in mix.workspaces)
    times = [
        (at_s, workspace)
        for workspace, weight in mix.workspaces
        for at_s in draw_arrival_times(
            random, workspace, rate * weight / total, duration_s, phases
        )
    ]
    weights = [kind.weight for kind in mix.kinds]
    arrivals = []
    for number, (at_s, workspace) in enumerate(sorted(times)):
        kind = random.choices(mix.kinds, weights)[0]
        payload = generate_payload(random, kind, number)
        arrivals.append(Arrival(at_s, number, workspace, kind, payload))
    return arrivals
