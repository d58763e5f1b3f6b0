"""Check that the demo's answers are all whole."""

import pytest
from berylcart_tools.demo import run_demo


@pytest.mark.processes
def test_demo_ends_well(capsys):
    assert run_demo() == 0
    shown = capsys.readouterr().out
    assert "4 of 4 answers were whole." in shown
    assert "NOT WHOLE" not in shown
