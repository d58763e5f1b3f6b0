"""Record what became of each call and sum it up."""

from collections import Counter
from collections.abc import Iterable, Sequence
from typing import NamedTuple, TypedDict

from hdrh.histogram import HdrHistogram

MAX_LATENCY_US = 120_000_000
SIGNIFICANT_DIGITS = 3
US_PER_MS = 1000
FIRST_REFUSAL = 2000
FIRST_FAILURE = 3000
QUANTILES = (50.0, 95.0, 99.0)


class StageSample(NamedTuple):
    """Hold what one stage of an answered call took."""

    service: str
    latency_ms: float
    attempts: int
    seconds: float


class Outcome(NamedTuple):
    """Hold what became of one call.

    latency_ms counts from the intended time of sending. A code of 0 means
    an answer; -1 means that no answer came.
    """

    workspace: str
    target: str
    at_s: float
    latency_ms: float
    lag_ms: float
    deadline_ms: int
    code: int
    is_whole: bool
    first_token_ms: float | None = None
    stages: tuple[StageSample, ...] = ()

    @property
    def is_attained(self) -> bool:
        """Say whether the whole answer came in time."""
        return self.is_whole and self.latency_ms <= self.deadline_ms


class Quantiles(TypedDict):
    """Give latency quantiles in milliseconds."""

    count: int
    p50_ms: float
    p95_ms: float
    p99_ms: float


class Summary(TypedDict):
    """Sum up one run."""

    calls: int
    attained: int
    attainment: float
    attainment_by_workspace: dict[str, float]
    attainment_by_target: dict[str, float]
    goodput: float
    latency: Quantiles
    refusal_latency: Quantiles
    first_token: Quantiles
    client_lag: Quantiles
    stage_latency: dict[str, Quantiles]
    stage_seconds: dict[str, float]
    extra_attempts: dict[str, int]
    codes: dict[str, int]
    broken: int


def quantiles(values_ms: Iterable[float]) -> Quantiles:
    """Compute quantiles with a histogram.

    >>> quantiles([1.0, 2.0, 3.0])["p50_ms"]
    2.0
    """
    histogram = HdrHistogram(1, MAX_LATENCY_US, SIGNIFICANT_DIGITS)
    for value_ms in values_ms:
        histogram.record_value(max(1, round(value_ms * US_PER_MS)))
    found = [
        round(histogram.get_value_at_percentile(q) / US_PER_MS, 2)
        for q in QUANTILES
    ]
    return Quantiles(
        count=histogram.total_count,
        p50_ms=found[0],
        p95_ms=found[1],
        p99_ms=found[2],
    )


def attainment(outcomes: Sequence[Outcome]) -> float:
    """Compute the share of calls answered whole within their deadline."""
    if not outcomes:
        return 1.0
    attained = sum(outcome.is_attained for outcome in outcomes)
    return round(attained / len(outcomes), 5)


def attainment_by(outcomes: Sequence[Outcome], field: str) -> dict[str, float]:
    """Compute attainment for each value of a field."""
    groups: dict[str, list[Outcome]] = {}
    for outcome in outcomes:
        groups.setdefault(getattr(outcome, field), []).append(outcome)
    return {name: attainment(group) for name, group in sorted(groups.items())}


def stage_samples(outcomes: Sequence[Outcome]) -> dict[str, list[StageSample]]:
    """Group the stages of answered calls by service."""
    groups: dict[str, list[StageSample]] = {}
    for outcome in outcomes:
        for sample in outcome.stages:
            groups.setdefault(sample.service, []).append(sample)
    return groups


def is_refusal(code: int) -> bool:
    """Tell a refusal from a request that ran and failed or was late.

    >>> is_refusal(2000), is_refusal(3000)
    (True, False)
    """
    return FIRST_REFUSAL <= code < FIRST_FAILURE


def summarise(outcomes: Sequence[Outcome], duration_s: float) -> Summary:
    """Sum up the outcomes of one run."""
    answered = [o for o in outcomes if o.code == 0]
    refused = [o for o in outcomes if is_refusal(o.code)]
    attained = sum(o.is_attained for o in outcomes)
    stages = stage_samples(answered)
    codes = Counter(str(o.code) for o in outcomes)
    first = [o.first_token_ms for o in answered if o.first_token_ms]
    return Summary(
        calls=len(outcomes),
        attained=attained,
        attainment=attainment(outcomes),
        attainment_by_workspace=attainment_by(outcomes, "workspace"),
        attainment_by_target=attainment_by(outcomes, "target"),
        goodput=round(attained / duration_s, 2),
        latency=quantiles(o.latency_ms for o in answered),
        refusal_latency=quantiles(o.latency_ms - o.lag_ms for o in refused),
        first_token=quantiles(first),
        client_lag=quantiles(o.lag_ms for o in outcomes),
        stage_latency={
            name: quantiles(sample.latency_ms for sample in samples)
            for name, samples in sorted(stages.items())
        },
        stage_seconds={
            name: round(sum(sample.seconds for sample in samples), 3)
            for name, samples in sorted(stages.items())
        },
        extra_attempts={
            name: sum(max(0, s.attempts - 1) for s in samples)
            for name, samples in sorted(stages.items())
        },
        codes=dict(sorted(codes.items())),
        broken=sum(o.code == 0 and not o.is_whole for o in outcomes),
    )
