"""Test that pages too large for one response are read in smaller ones."""

import trio
from berylcart.coordination.config.follower import ConfigFollower
from berylcart.state.errors import LogUnavailableError
from berylcart.state.records import CONFIG_STREAM, Publication
from berylcart.transport.memory_log import MemoryLog
from trio.testing import MockClock

TEXT = 'format = 1\n[place.a]\nregion = "r{}"\n'
MAX_RESPONSE_RECORDS = 3


class LimitedLog(MemoryLog):
    """Fail to return more than MAX_RESPONSE_RECORDS."""

    async def read(self, stream, offset, *, wait_ms, limit):
        """Read a page, or fail if it is too large."""
        page = await super().read(stream, offset, wait_ms=wait_ms, limit=limit)
        if len(page.entries) > MAX_RESPONSE_RECORDS:
            raise LogUnavailableError("the answer is too large")
        return page


def test_follower_reads_pages_within_the_response_limit():
    async def scenario():
        log = LimitedLog()
        records = [
            Publication(f"p{number}", None, 1, TEXT.format(number))
            for number in range(100)
        ]
        await log.append(CONFIG_STREAM, records)
        follower = ConfigFollower(log, seed=1)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(follower.run)
            with trio.fail_after(600):
                await follower.wait_for(100)
            nursery.cancel_scope.cancel()

    trio.run(scenario, clock=MockClock(autojump_threshold=0))
