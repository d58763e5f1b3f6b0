"""Test the order of steps in which an upstream deregisters."""

import anyio
import trio
from berylcart.state.vm import VmState
from berylcart_tools.standins.upstream import register_until_stopped
from trio.testing import MockClock


class Recorder:
    """Record the calls made to a stand-in and its registration."""

    def __init__(self):
        self.calls = []
        self.is_draining = False

    async def put(self, state):
        """Record the registered state."""
        self.calls.append(state)

    async def mark_leaving(self):
        """Record the call, and whether new attempts are already refused."""
        self.calls.append(("leaving", self.is_draining))

    async def wait_until_idle(self):
        """Simulate attempts that take one second to finish."""
        await anyio.sleep(1)
        self.calls.append("idle")

    async def delete(self):
        """Record the deregistration."""
        self.calls.append("deleted")


def test_upstream_drains_before_it_is_deregistered():
    async def main():
        recorder = Recorder()
        stop = anyio.Event()
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(register_until_stopped, recorder, recorder, stop)
            await anyio.sleep(1)
            assert recorder.calls == [VmState.LIVE]
            stop.set()
        assert recorder.calls[1:] == [("leaving", True), "idle", "deleted"]

    trio.run(main, clock=MockClock(autojump_threshold=0))
