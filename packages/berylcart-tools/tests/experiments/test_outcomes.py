"""Tests for the summary of a run."""

from berylcart_tools.experiments.outcomes import Outcome, summarise


def make_outcome(**changes):
    base = Outcome("clerks", "ask", 0.0, 100.0, 0.0, 3000, 0, True)
    return base._replace(**changes)


def test_only_complete_answers_within_deadline_are_attained():
    outcomes = [
        make_outcome(),
        make_outcome(latency_ms=3001.0),
        make_outcome(is_whole=False),
        make_outcome(code=2000, is_whole=False, workspace="desk"),
    ]
    summary = summarise(outcomes, duration_s=2.0)
    assert summary["attainment"] == 0.25
    assert summary["goodput"] == 0.5
    assert summary["attainment_by_workspace"]["desk"] == 0.0
    assert summary["broken"] == 1
    assert summary["codes"] == {"0": 3, "2000": 1}


def test_latency_of_answers_and_refusals_is_separate():
    outcomes = [
        make_outcome(),
        make_outcome(code=2000, is_whole=False, latency_ms=5.0),
        make_outcome(code=3000, is_whole=False, latency_ms=3000.0),
    ]
    summary = summarise(outcomes, duration_s=1.0)
    assert summary["latency"]["count"] == 1
    assert summary["refusal_latency"]["count"] == 1
    assert abs(summary["refusal_latency"]["p50_ms"] - 5.0) < 0.1
