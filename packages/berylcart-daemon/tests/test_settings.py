"""Test that settings errors name the key and the expected value."""

import contextlib

import pytest
from berylcart_daemon.settings import SettingsError, parse_settings
from hypothesis import given
from hypothesis import strategies as st

MINIMAL_SETTINGS = """
[daemon]
id = "entry-1"
place = "lahore-1"
http_address = "127.0.0.1:8080"
peer_address = "127.0.0.1:8081"

[platform]
log_address = "127.0.0.1:7000"
vm_list_address = "127.0.0.1:7001"
"""

INVALID_SETTINGS = [
    ("[limits]\nbody_bytse = 1", "limits.body_bytse: unknown key"),
    ("[limits]\nbody_bytes = 0", "limits.body_bytes: "),
    ("[limits]\nbody_bytes = 1.5", "limits.body_bytes: "),
    ('[limits]\nbody_bytes = "1"', "limits.body_bytes: "),
    ("[timing]\nconfig_lease_s = 0", "timing.config_lease_s: "),
    ("[timing]\nconfig_lease_s = nan", "timing.config_lease_s: "),
    ("[timing]\nconfig_lease_ms = 5", "timing.config_lease_ms: unknown key"),
    ('[peers]\nseeds = ["lahore"]', "peers.seeds.0: expected IP:PORT"),
    ("[peer]", "peer: unknown key"),
    ("[timing]\nclaim_keep_s = 50000", "timing.claim_keep_s: expected at"),
    ("[peers", "not TOML"),
]


def test_minimal_settings_get_defaults():
    settings = parse_settings(MINIMAL_SETTINGS)
    assert settings.daemon.id == "entry-1"
    assert settings.limits.body_bytes == 2**20


@pytest.mark.parametrize(("text", "expected"), INVALID_SETTINGS)
def test_settings_error_names_the_key(text, expected):
    with pytest.raises(SettingsError) as caught:
        parse_settings(MINIMAL_SETTINGS + text + "\n")
    assert expected in caught.value.detail
    assert "\n" not in caught.value.detail


def test_peer_address_must_have_a_fixed_port():
    text = MINIMAL_SETTINGS.replace("127.0.0.1:8081", "127.0.0.1:0")
    with pytest.raises(SettingsError, match=r"daemon\.peer_address: expected"):
        parse_settings(text)


def test_settings_error_names_a_missing_key():
    with pytest.raises(SettingsError, match=r"daemon\.place: missing key"):
        parse_settings(MINIMAL_SETTINGS.replace('place = "lahore-1"\n', ""))


@given(st.text())
def test_any_text_parses_or_raises_settings_error(text):
    with contextlib.suppress(SettingsError):
        parse_settings(text)
