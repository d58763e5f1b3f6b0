"""Test that specifications are proved and fail without each guard."""

import subprocess
import sys
from pathlib import Path

import pytest

SPEC_DIRECTORY = Path(__file__).parents[3] / "spec"
TIMEOUT_S = 120


def run_spec(name, *args):
    return subprocess.run(
        [sys.executable, str(SPEC_DIRECTORY / name), *args],
        capture_output=True,
        text=True,
        timeout=TIMEOUT_S,
        check=False,
    )


@pytest.mark.parametrize(
    ("name", "args", "guard_count"),
    [("claims.py", ["2"], 9), ("duty.py", [], 4)],
)
def test_specification_holds_and_needs_each_guard(name, args, guard_count):
    completed = run_spec(name, *args)
    assert completed.returncode == 0, completed.stdout
    assert completed.stdout.count("proved, no bound on steps") == 1
    assert completed.stdout.count(": broken in ") == guard_count


def test_checker_reports_failed_proof_and_missing_counterexample():
    script = (
        "import z3, spacer, sys\n"
        "def build(dropped):\n"
        "    return spacer.System({'n': z3.IntSort()}, {'n': z3.IntVal(0)},\n"
        "        {'up': lambda s: (s['n'] < 9, {'n': s['n'] + 1})},\n"
        "        lambda s: s['n'] > (2 if sys.argv[1] == 'bad' else 99))\n"
        "sys.exit(spacer.check('n', build, sys.argv[2:]))\n"
    )
    results = {
        args: subprocess.run(
            [sys.executable, "-c", script, *args],
            cwd=SPEC_DIRECTORY,
            capture_output=True,
            text=True,
            timeout=TIMEOUT_S,
            check=False,
        )
        for args in [("good",), ("bad",), ("good", "guard")]
    }
    exit_statuses = [result.returncode for result in results.values()]
    assert exit_statuses == [0, 1, 1]
    assert "NOT PROVED" in results["bad",].stdout
    assert "NO COUNTEREXAMPLE" in results["good", "guard"].stdout
