"""Results of the membership experiment."""

import json
from typing import Any, TypedDict


class MembershipResult(TypedDict):
    """Hold the measurements of one run; rates are per daemon.

    Rates are measured in steady state, with a configuration change every
    change_period_s, or none if that is 0. form_s and the *_known_s times run
    until all nodes know; the longest of several rounds counts, and None means
    not within the time limit. rss_over_idle_mb is relative to the process
    after its imports, before membership starts.
    """

    daemons: int
    seed: int
    steady_s: float
    change_period_s: float
    form_s: float | None
    calls_per_s: float
    connections_per_s: float
    sent_kb_per_s: float
    received_kb_per_s: float
    processor_percent: float
    processor_percent_max: float
    rss_mb: float
    rss_over_idle_mb: float
    pss_mb: float
    heard_in_10_s: float
    config_known_s: float | None
    join_known_s: float | None
    kill_known_s: float | None
    paused_s: float
    false_suspicions: int
    false_deaths: int
    deaths_of_paused: int


class SteadyStateRates(TypedDict):
    """Hold the steady-state measurements, averaged per daemon."""

    calls_per_s: float
    connections_per_s: float
    sent_kb_per_s: float
    received_kb_per_s: float
    processor_percent: float
    processor_percent_max: float
    rss_mb: float
    rss_over_idle_mb: float
    pss_mb: float
    heard_in_10_s: float


class DetectionErrors(TypedDict):
    """Count members wrongly suspected or declared dead during pauses."""

    false_suspicions: int
    false_deaths: int
    deaths_of_paused: int


def counter_rate_per_s(
    before: dict[str, Any], after: dict[str, Any], key: str
) -> float:
    """Return the increase of a counter per second.

    >>> before, after = {"at_s": 1.0, "calls": 5}, {"at_s": 3.0, "calls": 9}
    >>> counter_rate_per_s(before, after, "calls")
    2.0
    """
    growth: float = after[key] - before[key]
    elapsed: float = after["at_s"] - before["at_s"]
    return growth / elapsed


def count_detection_errors(
    reports: dict[int, dict[str, Any]], paused: set[str]
) -> DetectionErrors:
    """Sum the detection errors of all nodes, paused members separately."""
    totals = DetectionErrors(
        false_suspicions=0, false_deaths=0, deaths_of_paused=0
    )
    for report in reports.values():
        for change, count in report["changes"].items():
            name, state = change.split("/")
            if state == "dead" and name in paused:
                totals["deaths_of_paused"] += count
            elif state == "dead":
                totals["false_deaths"] += count
            elif state == "suspect" and name not in paused:
                totals["false_suspicions"] += count
    return totals


def to_json(result: MembershipResult) -> str:
    """Format a result as one line, floats to four significant digits.

    >>> round_value(12.34567), round_value(7), round_value(None)
    (12.35, 7, None)
    """
    return json.dumps({key: round_value(v) for key, v in result.items()})


def round_value(value: Any) -> Any:
    """Round a float to four significant digits; return others as they are."""
    return float(f"{value:.4g}") if isinstance(value, float) else value
