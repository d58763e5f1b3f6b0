"""Test the loading of the policy named in the settings."""

import pytest
from berylcart.coordination.policy.policies import load_policy
from berylcart.state.errors import BerylcartError, Code


@pytest.mark.parametrize(
    "name", ["", "nowhere", "nowhere:x", "berylcart.events:info", "os:nope"]
)
def test_unknown_policy_is_a_settings_error(name):
    with pytest.raises(BerylcartError) as caught:
        load_policy(name)
    assert caught.value.code is Code.SETTINGS_INVALID
