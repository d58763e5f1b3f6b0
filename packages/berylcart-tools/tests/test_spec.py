"""Check that the specifications are proved and break without each guard."""

import subprocess
import sys
from pathlib import Path

import pytest

SPEC = Path(__file__).parents[3] / "spec"
TIMEOUT_S = 120


def run_spec(name, *args):
    return subprocess.run(
        [sys.executable, str(SPEC / name), *args],
        capture_output=True,
        text=True,
        timeout=TIMEOUT_S,
        check=False,
    )


@pytest.mark.parametrize(
    ("name", "args", "guard_count"),
    [("claims.py", ["2"], 9), ("duty.py", [], 4)],
)
def test_specification(name, args, guard_count):
    done = run_spec(name, *args)
    assert done.returncode == 0, done.stdout
    assert done.stdout.count("proved, no bound on steps") == 1
    assert done.stdout.count(": broken in ") == guard_count


def test_helper_reports_what_it_did_not_expect():
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
            cwd=SPEC,
            capture_output=True,
            text=True,
            timeout=TIMEOUT_S,
            check=False,
        )
        for args in [("good",), ("bad",), ("good", "guard")]
    }
    codes = [each.returncode for each in results.values()]
    assert codes == [0, 1, 1]
    assert "NOT PROVED" in results["bad",].stdout
    assert "NO COUNTEREXAMPLE" in results["good", "guard"].stdout
