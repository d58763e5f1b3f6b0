"""Test that only permitted and live upstreams are selected."""

import pytest
from berylcart.coordination.policy.places import permitted_upstreams
from berylcart.state.config import (
    Configuration,
    Place,
    Service,
    ServiceKind,
    Workspace,
)
from berylcart.state.vm import VmRole, VmState

HERE = frozenset({"lahore-1"})
CONFIGURATION = Configuration(
    {name: Place(name, "punjab", {}) for name in ("lahore-1", "lahore-2")},
    {},
    {},
    {},
)
SERVICE = Service("model", ServiceKind.ENGINE, HERE | {"lahore-2", "mars"})


@pytest.mark.parametrize(
    ("change", "count"),
    [
        ({}, 1),
        ({"state": VmState.LEAVING}, 0),
        ({"place": "lahore-2"}, 0),
        ({"place": "mars"}, 0),
        ({"place": ""}, 0),
        ({"role": VmRole.ENTRY}, 0),
        ({"service": "booking"}, 0),
    ],
)
def test_selects_only_permitted_live_upstreams(make_pool, change, count):
    workspace = Workspace("clerks", HERE | {"mars"})
    vm = make_pool(1)[0]._replace(**change)
    found = permitted_upstreams([vm], SERVICE, workspace, CONFIGURATION)
    assert len(found) == count
