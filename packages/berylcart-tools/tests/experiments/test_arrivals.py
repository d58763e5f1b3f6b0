"""Check the generated arrivals."""

from collections import Counter

from berylcart_tools.experiments.arrivals import (
    CallKind,
    Mix,
    Phase,
    make_arrivals,
)

MIX = Mix(
    (("large", 3.0), ("small", 1.0)),
    (
        CallKind("ask", 3.0, is_pipeline=True, max_tokens=32, prefixes=4),
        CallKind("booking", 1.0, is_keyed=True),
    ),
)


def test_same_seed_gives_same_arrivals():
    first = make_arrivals(7, MIX, 50, 10)
    assert first == make_arrivals(7, MIX, 50, 10)
    assert first != make_arrivals(8, MIX, 50, 10)


def test_rate_and_weights_are_kept():
    arrivals = make_arrivals(7, MIX, 100, 60)
    assert abs(len(arrivals) - 6000) < 400
    counts = Counter(arrival.workspace for arrival in arrivals)
    assert 2.6 < counts["large"] / counts["small"] < 3.4
    assert [a.at_s for a in arrivals] == sorted(a.at_s for a in arrivals)


def test_burst_concerns_its_time_and_workspace():
    burst = [Phase(10, 20, 5.0, "small")]
    arrivals = make_arrivals(7, MIX, 100, 30, burst)
    inside = Counter(a.workspace for a in arrivals if 10 <= a.at_s < 20)
    outside = Counter(a.workspace for a in arrivals if a.at_s < 10)
    assert 4 < inside["small"] / outside["small"] < 6
    assert 0.8 < inside["large"] / outside["large"] < 1.2


def test_prompts_share_prefixes():
    arrivals = make_arrivals(7, MIX, 100, 10)
    prefixes = {
        arrival.payload["text"].split(" question")[0]
        for arrival in arrivals
        if arrival.kind.is_pipeline
    }
    assert 1 < len(prefixes) <= 4
