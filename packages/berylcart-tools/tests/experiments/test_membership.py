"""Tests for the membership experiment with a few real processes."""

import anyio
import pytest
from berylcart_tools.experiments.membership import run_membership
from berylcart_tools.experiments.membership_result import (
    count_detection_errors,
)


@pytest.mark.processes
def test_processes_join_propagate_config_and_detect_failure():
    async def measure():
        return await run_membership(
            4, seed=1, steady_s=1.0, pause_s=1.0, settle_s=1.0
        )

    result = anyio.run(measure)
    assert result["form_s"] is not None
    assert result["config_known_s"] is not None
    assert result["join_known_s"] is not None
    assert result["kill_known_s"] is not None
    assert result["false_deaths"] == result["deaths_of_paused"] == 0
    assert result["received_kb_per_s"] > 0


def test_detection_errors_of_paused_members_are_separate():
    reports = {0: {"changes": {"a/suspect": 2, "a/dead": 1, "b/dead": 1}}}
    counts = count_detection_errors(reports, paused={"a"})
    assert counts["deaths_of_paused"] == 1
    assert counts["false_deaths"] == 1
    assert counts["false_suspicions"] == 0
