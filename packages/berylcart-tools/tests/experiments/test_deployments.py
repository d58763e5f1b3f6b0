"""Tests for the configuration texts of the deployments."""

import pytest
from berylcart.state.config_text import parse
from berylcart_tools.experiments.deployments import DEPLOYMENTS, config_text


@pytest.mark.parametrize("name", sorted(DEPLOYMENTS))
def test_configuration_text_is_valid_and_complete(name):
    deployment = DEPLOYMENTS[name]
    configuration = parse(config_text(deployment))
    assert set(configuration.places) == set(deployment.places)
    assert len(configuration.workspaces) == 5
    assert configuration.services["model"].is_idempotent
    targets = {kind.target for kind in deployment.mix.kinds}
    known = set(configuration.services) | set(configuration.pipelines)
    assert targets <= known
