"""Test the check command on the examples and on invalid files."""

from pathlib import Path

import cappa
import pytest
from berylcart.state.config import ServiceKind
from berylcart.state.config_text import parse
from berylcart_tools.commands.check import Check

EXAMPLES = Path(__file__).parents[4] / "examples"


@pytest.mark.parametrize("name", ["authority", "cooperative"])
def test_example_is_valid_and_complete(name, capsys):
    path = EXAMPLES / f"{name}.toml"
    cappa.invoke(Check, argv=[str(path)])
    expected = "3 places, 8 services, 1 pipelines, 5 workspaces"
    assert expected in capsys.readouterr().out
    configuration = parse(path.read_text())
    services = configuration.services.values()
    kinds = [service.kind for service in services]
    assert kinds.count(ServiceKind.PLAIN) == 4
    assert kinds.count(ServiceKind.ENGINE) == 1
    (pipeline,) = configuration.pipelines.values()
    assert len(pipeline.stages) == 4
    assert any(not service.is_idempotent for service in services)


@pytest.mark.parametrize(
    ("data", "lines"),
    [
        (b"x = 1\n[place.a]\n", ["line 1: format", "line 1: x", "line 2: "]),
        (b"format = 1\n\xff", ["line 2: not UTF-8"]),
        (None, ["No such file"]),
    ],
)
def test_errors_are_listed_and_set_the_exit_status(
    data, lines, tmp_path, capsys
):
    path = tmp_path / "text.toml"
    if data is not None:
        path.write_bytes(data)
    with pytest.raises(cappa.Exit) as caught:
        cappa.invoke(Check, argv=[str(path)])
    assert caught.value.code == 12
    output = capsys.readouterr().err
    assert all(line in output for line in lines)
