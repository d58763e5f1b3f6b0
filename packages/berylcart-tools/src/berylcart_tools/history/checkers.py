"""Run all checkers on a history."""

from collections.abc import Callable, Iterator

from berylcart_tools.history import (
    config_checkers,
    result_checkers,
    run_checkers,
)
from berylcart_tools.history.reading import History, Violation

Checker = Callable[[History], Iterator[Violation]]

CHECKERS: dict[str, Checker] = {
    result_checkers.STAGE_RESULTS: result_checkers.check_stage_results,
    result_checkers.COMPLETE_ANSWERS: result_checkers.check_answers,
    run_checkers.DID_NOT_RUN: run_checkers.check_did_not_run,
    run_checkers.AT_MOST_ONCE: run_checkers.check_at_most_once,
    run_checkers.LEAVING: run_checkers.check_leaving,
    run_checkers.PLANNED_STOP: run_checkers.check_planned_stops,
    config_checkers.IN_FORCE_EVERYWHERE: config_checkers.check_in_force,
    config_checkers.NO_REVERT: config_checkers.check_no_revert,
    config_checkers.PERMITTED_PLACES: config_checkers.check_places,
}


def check_history(history: History) -> list[Violation]:
    """Return the violations that all checkers find."""
    return [
        violation
        for checker in CHECKERS.values()
        for violation in checker(history)
    ]
