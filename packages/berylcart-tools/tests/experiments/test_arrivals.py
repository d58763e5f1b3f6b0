"""Tests for the generated arrivals."""

from collections import Counter

from berylcart_tools.experiments.arrivals import (
    CallKind,
    RatePhase,
    TrafficMix,
    generate_arrivals,
)

MIX = TrafficMix(
    (("large", 3.0), ("small", 1.0)),
    (
        CallKind("ask", 3.0, is_pipeline=True, max_tokens=32, prefix_count=4),
        CallKind("booking", 1.0, is_keyed=True),
    ),
)


def test_arrivals_are_reproducible_from_the_seed():
    first = generate_arrivals(7, MIX, 50, 10)
    assert first == generate_arrivals(7, MIX, 50, 10)
    assert first != generate_arrivals(8, MIX, 50, 10)


def test_arrivals_match_rate_and_workspace_weights():
    arrivals = generate_arrivals(7, MIX, 100, 60)
    assert abs(len(arrivals) - 6000) < 400
    counts = Counter(arrival.workspace for arrival in arrivals)
    assert 2.6 < counts["large"] / counts["small"] < 3.4
    assert [arrival.at_s for arrival in arrivals] == sorted(
        arrival.at_s for arrival in arrivals
    )


def test_rate_phase_affects_only_its_interval_and_workspace():
    burst = [RatePhase(10, 20, 5.0, "small")]
    arrivals = generate_arrivals(7, MIX, 100, 30, burst)
    inside = Counter(
        arrival.workspace for arrival in arrivals if 10 <= arrival.at_s < 20
    )
    outside = Counter(
        arrival.workspace for arrival in arrivals if arrival.at_s < 10
    )
    assert 4 < inside["small"] / outside["small"] < 6
    assert 0.8 < inside["large"] / outside["large"] < 1.2


def test_prompts_share_prefixes():
    arrivals = generate_arrivals(7, MIX, 100, 10)
    prefixes = {
        arrival.payload["text"].split(" question")[0]
        for arrival in arrivals
        if arrival.kind.is_pipeline
    }
    assert 1 < len(prefixes) <= 4
