"""Test that the demo gets only complete answers."""

import pytest
from berylcart_tools.demo import run_demo


@pytest.mark.processes
def test_demo_succeeds_with_complete_answers(capsys):
    assert run_demo() == 0
    output = capsys.readouterr().out
    assert "4 of 4 answers were complete." in output
    assert "INCOMPLETE ANSWER" not in output
