"""Test the command line: error messages of one line and exit statuses."""

import socket

import pytest
from berylcart.state.errors import CODE_INFO, Code
from berylcart_daemon.main import Berylcartd, run

from .test_settings import MINIMAL_SETTINGS


@pytest.fixture(name="settings_file")
def make_settings_file(tmp_path):
    path = tmp_path / "daemon.toml"
    path.write_text(MINIMAL_SETTINGS)
    return path


def test_check_accepts_valid_settings(settings_file, capsys):
    assert run(Berylcartd(settings_file, check=True)) == 0
    assert capsys.readouterr().out == f"{settings_file}: valid\n"


def test_invalid_settings_exit_with_one_line(settings_file, capsys):
    settings_file.write_text("[daemon]\n")
    status = run(Berylcartd(settings_file))
    assert status == CODE_INFO[Code.SETTINGS_INVALID].exit_status
    lines = capsys.readouterr().err.splitlines()
    message = "4000 SETTINGS_INVALID: daemon.id: missing key"
    assert lines == [f"berylcartd: {message}"]


def test_missing_file_exits_with_one_line(tmp_path, capsys):
    status = run(Berylcartd(tmp_path / "none.toml"))
    assert status == CODE_INFO[Code.SETTINGS_INVALID].exit_status
    assert len(capsys.readouterr().err.splitlines()) == 1


def test_port_in_use_exits_with_one_line(settings_file, capsys):
    with socket.socket() as listener:
        listener.bind(("127.0.0.1", 0))
        listener.listen()
        port = listener.getsockname()[1]
        text = MINIMAL_SETTINGS.replace("127.0.0.1:8080", f"127.0.0.1:{port}")
        settings_file.write_text(text)
        status = run(Berylcartd(settings_file))
    assert status == CODE_INFO[Code.ADDRESS_IN_USE].exit_status
    lines = capsys.readouterr().err.splitlines()
    assert f"127.0.0.1:{port}" in lines[-1]


def test_unknown_policy_exits_with_one_line(settings_file, capsys):
    text = MINIMAL_SETTINGS.replace("8080", "0")
    settings_file.write_text(text + '[policy]\nname = "none:none"\n')
    status = run(Berylcartd(settings_file))
    assert status == CODE_INFO[Code.SETTINGS_INVALID].exit_status
    assert "none:none" in capsys.readouterr().err
