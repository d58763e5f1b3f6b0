"""Check the order in which an upstream leaves."""

import anyio
import trio
from berylcart.state.vm import VmState
from berylcart_tools.standins.upstream import run_registered
from trio.testing import MockClock


class Recorder:
    """Record the calls on a stand-in and its registration."""

    def __init__(self):
        self.calls = []
        self.is_draining = False

    async def put(self, state):
        """Record the state that is shown."""
        self.calls.append(state)

    async def mark_leaving(self):
        """Record the mark, made when new work is already refused."""
        self.calls.append(("leaving", self.is_draining))

    async def wait_idle(self):
        """Record the wait for what is in flight."""
        await anyio.sleep(1)
        self.calls.append("idle")

    async def delete(self):
        """Record the removal."""
        self.calls.append("deleted")


def test_upstream_finishes_before_it_is_removed():
    async def main():
        recorder = Recorder()
        stop = anyio.Event()
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(run_registered, recorder, recorder, stop)
            await anyio.sleep(1)
            assert recorder.calls == [VmState.LIVE]
            stop.set()
        assert recorder.calls[1:] == [("leaving", True), "idle", "deleted"]

    trio.run(main, clock=MockClock(autojump_threshold=0))
