"""Fixtures for the tests of the policy modules."""

import pytest
from berylcart.state.vm import Vm, VmRole, VmState


@pytest.fixture
def make_pool():
    """Return a function that builds live upstreams of one service."""

    def make(count, service="model", place="lahore-1"):
        return tuple(
            Vm(
                f"v{number}",
                1,
                f"127.0.0.1:{number + 1}",
                place,
                VmRole.UPSTREAM,
                service,
                VmState.LIVE,
                f"i{number}",
            )
            for number in range(count)
        )

    return make


class Clock:
    """Clock whose time changes only when now_s is set."""

    def __init__(self):
        self.now_s = 0.0

    def __call__(self):
        """Return the time in seconds."""
        return self.now_s


@pytest.fixture
def clock():
    """Return a clock whose time changes only when now_s is set."""
    return Clock()
