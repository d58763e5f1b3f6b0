"""Run all checkers on a history."""

from collections.abc import Callable, Iterator

from berylcart_tools.history import (
    judge_config,
    judge_results,
    judge_runs,
)
from berylcart_tools.history.reading import History, Violation

Checker = Callable[[History], Iterator[Violation]]

CHECKERS: dict[str, Checker] = {
    judge_results.STAGE_RESULTS: judge_results.check_stage_results,
    judge_results.COMPLETE_ANSWERS: judge_results.check_answers,
    judge_runs.DID_NOT_RUN: judge_runs.check_did_not_run,
    judge_runs.AT_MOST_ONCE: judge_runs.check_at_most_once,
    judge_runs.LEAVING: judge_runs.check_leaving,
    judge_runs.PLANNED_STOP: judge_runs.check_planned_stops,
    judge_config.IN_FORCE_EVERYWHERE: judge_config.check_in_force,
    judge_config.NO_REVERT: judge_config.check_no_revert,
    judge_config.PERMITTED_PLACES: judge_config.check_places,
}


def check_history(history: History) -> list[Violation]:
    """Return the violations that all checkers find."""
    return [
        violation
        for checker in CHECKERS.values()
        for violation in checker(history)
    ]
