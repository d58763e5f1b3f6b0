"""Generate open-loop arrivals from a seed."""

from collections.abc import Iterator, Sequence
from random import Random
from typing import Any, NamedTuple

PREFIX_WORDS = 48
WORDS = ("hem", "seam", "cuff", "raft", "valve", "lining", "pleat", "canopy")


class Phase(NamedTuple):
    """Multiply the rate of arrivals for a while."""

    start_s: float
    end_s: float
    factor: float
    workspace: str = ""


class CallKind(NamedTuple):
    """Describe one kind of call and its share of the arrivals."""

    target: str
    weight: float
    is_pipeline: bool = False
    is_keyed: bool = False
    is_stream: bool = False
    max_tokens: int = 0
    deadline_ms: int = 3000
    prefixes: int = 0
    prefix_words: int = PREFIX_WORDS


class Mix(NamedTuple):
    """Describe who sends what; weights are relative."""

    workspaces: tuple[tuple[str, float], ...]
    kinds: tuple[CallKind, ...]


class Arrival(NamedTuple):
    """Hold one call and when it is to be sent."""

    at_s: float
    number: int
    workspace: str
    kind: CallKind
    payload: dict[str, Any]


def factor_at(at_s: float, phases: Sequence[Phase], workspace: str) -> float:
    """Multiply the factors of the phases in force.

    >>> phases = [Phase(5, 10, 3.0), Phase(0, 9, 2.0, "clerks")]
    >>> factor_at(6, phases, "clerks"), factor_at(6, phases, "desk")
    (6.0, 3.0)
    """
    factor = 1.0
    for phase in phases:
        is_concerned = phase.workspace in ("", workspace)
        if is_concerned and phase.start_s <= at_s < phase.end_s:
            factor *= phase.factor
    return factor


def make_prompt(random: Random, kind: CallKind, number: int) -> str:
    """Write a prompt that starts with one of the kind's prefixes."""
    if not kind.prefixes:
        return f"question {number}"
    prefix = int(kind.prefixes * random.random() ** 2)
    words = Random(prefix).choices(WORDS, k=kind.prefix_words)
    return f"{' '.join(words)} question {number}"


def make_payload(
    random: Random, kind: CallKind, number: int
) -> dict[str, Any]:
    """Write a call's body."""
    if not kind.max_tokens:
        return {"slot": number}
    prompt = make_prompt(random, kind, number)
    tokens = random.randint(kind.max_tokens // 2, kind.max_tokens)
    key = "text" if kind.is_pipeline else "prompt"
    return {key: prompt, "max_tokens": tokens}


def arrivals_of(
    random: Random,
    workspace: str,
    rate: float,
    duration_s: float,
    phases: Sequence[Phase],
) -> Iterator[float]:
    """Draw a Poisson process whose rate follows the phases."""
    own = [p.factor for p in phases if p.workspace in ("", workspace)]
    peak = rate
    for factor in own:
        peak *= max(1.0, factor)
    at_s = random.expovariate(peak)
    while at_s < duration_s:
        wanted = rate * factor_at(at_s, phases, workspace)
        if random.random() < wanted / peak:
            yield at_s
        at_s += random.expovariate(peak)


def make_arrivals(
    seed: int,
    mix: Mix,
    rate: float,
    duration_s: float,
    phases: Sequence[Phase] = (),
) -> list[Arrival]:
    """Draw all arrivals of a run; rate is per second over all workspaces."""
    random = Random(seed)
    total = sum(weight for _, weight in mix.workspaces)
    times = [
        (at_s, workspace)
        for workspace, weight in mix.workspaces
        for at_s in arrivals_of(
            random, workspace, rate * weight / total, duration_s, phases
        )
    ]
    weights = [kind.weight for kind in mix.kinds]
    arrivals = []
    for number, (at_s, workspace) in enumerate(sorted(times)):
        kind = random.choices(mix.kinds, weights)[0]
        payload = make_payload(random, kind, number)
        arrivals.append(Arrival(at_s, number, workspace, kind, payload))
    return arrivals
