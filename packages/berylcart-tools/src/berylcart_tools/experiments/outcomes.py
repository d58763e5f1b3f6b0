"""Outcomes of calls and their summary statistics."""

from collections import Counter
from collections.abc import Iterable, Sequence
from typing import NamedTuple, TypedDict

from hdrh.histogram import HdrHistogram

MAX_LATENCY_US = 120_000_000
SIGNIFICANT_DIGITS = 3
US_PER_MS = 1000
MIN_REFUSAL_CODE = 2000
MIN_FAILURE_CODE = 3000
QUANTILES = (50.0, 95.0, 99.0)


class StageSample(NamedTuple):
    """Hold the latency, attempts and cost of a stage of an answered call."""

    service: str
    latency_ms: float
    attempts: int
    seconds: float


class Outcome(NamedTuple):
    """Hold the outcome of one call.

    latency_ms counts from the scheduled send time. The code is 0 for an
    answer, -1 if no response came, otherwise the error code.
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
        """Tell whether a complete answer came within the deadline."""
        return self.is_whole and self.latency_ms <= self.deadline_ms


class Quantiles(TypedDict):
    """Hold latency quantiles in milliseconds."""

    count: int
    p50_ms: float
    p95_ms: float
    p99_ms: float


class Summary(TypedDict):
    """Hold the summary of one run."""

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
    """Compute quantiles with an HDR histogram.

    >>> quantiles([1.0, 2.0, 3.0])["p50_ms"]
    2.0
    """
    histogram = HdrHistogram(1, MAX_LATENCY_US, SIGNIFICANT_DIGITS)
    for value_ms in values_ms:
        histogram.record_value(max(1, round(value_ms * US_PER_MS)))
    percentiles_ms = [
        round(histogram.get_value_at_percentile(percentile) / US_PER_MS, 2)
        for percentile in QUANTILES
    ]
    return Quantiles(
        count=histogram.total_count,
        p50_ms=percentiles_ms[0],
        p95_ms=percentiles_ms[1],
        p99_ms=percentiles_ms[2],
    )


def attainment(outcomes: Sequence[Outcome]) -> float:
    """Compute the fraction of calls answered in full by their deadline."""
    if not outcomes:
        return 1.0
    attained = sum(outcome.is_attained for outcome in outcomes)
    return round(attained / len(outcomes), 5)


def attainment_by(outcomes: Sequence[Outcome], field: str) -> dict[str, float]:
    """Compute attainment for each value of an outcome field."""
    groups: dict[str, list[Outcome]] = {}
    for outcome in outcomes:
        groups.setdefault(getattr(outcome, field), []).append(outcome)
    return {name: attainment(group) for name, group in sorted(groups.items())}


def stage_samples(outcomes: Sequence[Outcome]) -> dict[str, list[StageSample]]:
    """Group stage samples by service."""
    groups: dict[str, list[StageSample]] = {}
    for outcome in outcomes:
        for sample in outcome.stages:
            groups.setdefault(sample.service, []).append(sample)
    return groups


def is_refusal(code: int) -> bool:
    """Tell a refusal from a request that was executed and failed or late.

    >>> is_refusal(2000), is_refusal(3000)
    (True, False)
    """
    return MIN_REFUSAL_CODE <= code < MIN_FAILURE_CODE


def summarise(outcomes: Sequence[Outcome], duration_s: float) -> Summary:
    """Compute the summary of one run."""
    answered = [outcome for outcome in outcomes if outcome.code == 0]
    refused = [outcome for outcome in outcomes if is_refusal(outcome.code)]
    attained = sum(outcome.is_attained for outcome in outcomes)
    stages = stage_samples(answered)
    codes = Counter(str(outcome.code) for outcome in outcomes)
    first_tokens_ms = [
        outcome.first_token_ms
        for outcome in answered
        if outcome.first_token_ms
    ]
    return Summary(
        calls=len(outcomes),
        attained=attained,
        attainment=attainment(outcomes),
        attainment_by_workspace=attainment_by(outcomes, "workspace"),
        attainment_by_target=attainment_by(outcomes, "target"),
        goodput=round(attained / duration_s, 2),
        latency=quantiles(outcome.latency_ms for outcome in answered),
        refusal_latency=quantiles(
            outcome.latency_ms - outcome.lag_ms for outcome in refused
        ),
        first_token=quantiles(first_tokens_ms),
        client_lag=quantiles(outcome.lag_ms for outcome in outcomes),
        stage_latency={
            name: quantiles(sample.latency_ms for sample in samples)
            for name, samples in sorted(stages.items())
        },
        stage_seconds={
            name: round(sum(sample.seconds for sample in samples), 3)
            for name, samples in sorted(stages.items())
        },
        extra_attempts={
            name: sum(max(0, sample.attempts - 1) for sample in samples)
            for name, samples in sorted(stages.items())
        },
        codes=dict(sorted(codes.items())),
        broken=sum(
            outcome.code == 0 and not outcome.is_whole for outcome in outcomes
        ),
    )
