"""Tests for the tables and plots of experiment results."""

import json

from berylcart_tools.experiments.outcomes import Outcome, summarise
from berylcart_tools.experiments.report import (
    draw_plots,
    format_results_table,
    format_workspace_table,
    load_experiments,
)
from berylcart_tools.experiments.runner import (
    Experiment,
    PolicyRun,
    compute_cost,
)


def make_experiment():
    outcomes = [Outcome("clerks", "model", 0.0, 10.0, 0.0, 100, 0, True)]
    run = PolicyRun(
        policy="berylcart",
        summary=summarise(outcomes, 1.0),
        cost=compute_cost(outcomes, {"model": 1}, 0.0),
    )
    return Experiment(
        scenario="steady",
        deployment="authority",
        seed=1,
        rate=1.0,
        duration_s=1.0,
        runs=[run],
    )


def test_table_has_one_row_per_policy(tmp_path):
    (tmp_path / "a.json").write_text(json.dumps(make_experiment()))
    experiments = load_experiments(tmp_path)
    table = format_results_table(experiments)
    assert table.count("\n") == 3
    assert "| 1.0000 |" in table
    assert "| clerks | 1.0000 |" in format_workspace_table(experiments[0])


def test_plot_files_are_written(tmp_path):
    paths = draw_plots([make_experiment()], tmp_path)
    assert all(path.stat().st_size > 1000 for path in paths)
