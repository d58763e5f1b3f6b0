"""Define what the membership experiment reports."""

import json
from typing import Any, TypedDict


class MembershipResult(TypedDict):
    """Hold what one run measured; every rate is for one daemon.

    Rates are taken while nothing happens but a change of configuration each
    change_period_s, or none when that is 0.
    Times until all know are the largest of their rounds; None means not
    within the limit. Memory over idle is that of the process after its
    imports, before membership starts.
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


class Steady(TypedDict):
    """Hold the rates of the quiet phase, each for one daemon."""

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


class Pauses(TypedDict):
    """Count what was wrongly suspected or declared dead under pauses."""

    false_suspicions: int
    false_deaths: int
    deaths_of_paused: int


def rate(before: dict[str, Any], after: dict[str, Any], key: str) -> float:
    """Give the growth of a counter for each second.

    >>> rate({"at_s": 1.0, "calls": 5}, {"at_s": 3.0, "calls": 9}, "calls")
    2.0
    """
    growth: float = after[key] - before[key]
    elapsed: float = after["at_s"] - before["at_s"]
    return growth / elapsed


def count_changes(
    marks: dict[int, dict[str, Any]], paused: set[str]
) -> Pauses:
    """Sum the changes that the nodes saw, paused members apart."""
    totals = Pauses(false_suspicions=0, false_deaths=0, deaths_of_paused=0)
    for mark in marks.values():
        for change, count in mark["changes"].items():
            name, state = change.split("/")
            if state == "dead" and name in paused:
                totals["deaths_of_paused"] += count
            elif state == "dead":
                totals["false_deaths"] += count
            elif state == "suspect" and name not in paused:
                totals["false_suspicions"] += count
    return totals


def to_json(result: MembershipResult) -> str:
    """Write a result as one line, floats to four significant digits.

    >>> round_value(12.34567), round_value(7), round_value(None)
    (12.35, 7, None)
    """
    return json.dumps({key: round_value(v) for key, v in result.items()})


def round_value(value: Any) -> Any:
    """Round a float to four significant digits."""
    return float(f"{value:.4g}") if isinstance(value, float) else value
