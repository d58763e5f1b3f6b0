"""Test that the experiment command runs the selected experiment."""

import json

from berylcart_tools.commands.experiment import RunCommand
from berylcart_tools.experiments import membership


def test_membership_experiment_prints_its_result(monkeypatch, capsys):
    async def run_membership(daemons, seed):
        return {"daemons": daemons, "seed": seed}

    monkeypatch.setattr(membership, "run_membership", run_membership)
    assert RunCommand(name="membership", daemons=3, seed=4)() == 0
    assert json.loads(capsys.readouterr().out) == {"daemons": 3, "seed": 4}
