"""Run every judge over a history."""

from collections.abc import Callable, Iterator

from berylcart_tools.history import (
    judge_config,
    judge_results,
    judge_runs,
)
from berylcart_tools.history.reading import History, Violation

Judge = Callable[[History], Iterator[Violation]]

JUDGES: dict[str, Judge] = {
    judge_results.STAGE_RESULTS: judge_results.judge_stage_results,
    judge_results.WHOLE_ANSWERS: judge_results.judge_answers,
    judge_runs.DID_NOT_RUN: judge_runs.judge_did_not_run,
    judge_runs.AT_MOST_ONCE: judge_runs.judge_at_most_once,
    judge_runs.LEAVING: judge_runs.judge_leaving,
    judge_runs.PLANNED_STOP: judge_runs.judge_planned_stops,
    judge_config.IN_FORCE: judge_config.judge_in_force,
    judge_config.NEVER_BACK: judge_config.judge_never_back,
    judge_config.PLACES: judge_config.judge_places,
}


def judge_history(history: History) -> list[Violation]:
    """List every violation of every promise."""
    return [
        violation for judge in JUDGES.values() for violation in judge(history)
    ]
