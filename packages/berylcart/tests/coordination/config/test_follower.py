"""Test the follower, with failures of the log and of daemons."""

import anyio
import pytest
import trio
from berylcart.coordination.config.follower import ConfigFollower
from berylcart.state.errors import BerylcartError, Code
from berylcart.state.records import CONFIG_STREAM, Publication
from berylcart.transport.memory_log import MemoryLog
from trio.testing import MockClock

TEXT = 'format = 1\n[place.a]\nregion = "r{}"\n'


def run(scenario):
    """Run a scenario on a mock clock that skips every sleep."""
    return trio.run(scenario, clock=MockClock(autojump_threshold=0))


def publication(number, base=None, format_version=1):
    """Build a publication whose text contains its number."""
    text = TEXT.format(number)
    return Publication(f"p{number}", base, format_version, text)


async def publish(log, number, base=None):
    """Append one publication."""
    await log.append(CONFIG_STREAM, [publication(number, base)])


def test_follower_follows_the_log():
    async def scenario():
        log = MemoryLog()
        follower = ConfigFollower(log, seed=1)
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(follower.run)
            assert not follower.is_ready
            await publish(log, 1)
            await publish(log, 2, base=0)
            snapshot = await follower.wait_for(1)
            verdict = await follower.wait_for_verdict("p2")
            assert snapshot.configuration.places["a"].region == "r1"
            assert verdict.version is None
            assert follower.is_current
            tasks.cancel_scope.cancel()

    run(scenario)


def test_lease_expires_without_log_and_peers():
    async def scenario():
        log = MemoryLog()
        follower = ConfigFollower(log, lease_s=10, seed=1)
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(follower.run)
            await publish(log, 1)
            await follower.wait_for(1)
            log.is_down = True
            await anyio.sleep(11)
            assert follower.is_ready
            with pytest.raises(BerylcartError) as caught:
                follower.check_current()
            assert caught.value.code is Code.CONFIG_STALE
            log.is_down = False
            await anyio.sleep(6)
            follower.check_current()
            tasks.cancel_scope.cancel()

    run(scenario)


def test_frozen_follower_recovers_through_a_checkpoint():
    async def scenario():
        log = MemoryLog(retention_ms=60_000)
        follower = ConfigFollower(log, retention_s=60, seed=1)
        frozen = ConfigFollower(log, retention_s=60, seed=2)
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(follower.run)
            await publish(log, 1)
            with anyio.move_on_after(5):
                await frozen.run()
            await publish(log, 2)
            await anyio.sleep(600)
            assert frozen.current.version == 1
            assert not frozen.is_current
            tasks.start_soon(frozen.run)
            await frozen.wait_for(2)
            await publish(log, 3, base=2)
            await frozen.wait_for(3)
            await follower.wait_for(3)
            assert frozen.current.configuration == (
                follower.current.configuration
            )
            tasks.cancel_scope.cancel()

    run(scenario)


def test_offered_checkpoints_never_lower_the_version():
    async def scenario():
        log = MemoryLog()
        follower = ConfigFollower(log, seed=1)
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(follower.run)
            await publish(log, 1)
            await follower.wait_for(1)
            old = follower.checkpoint()
            await publish(log, 2)
            await follower.wait_for(2)
            assert not follower.offer(old)
            assert not follower.offer(old._replace(as_of_offset=9))
            assert not follower.offer(old._replace(as_of_offset=9, text="?"))
            assert follower.current.version == 2
            tasks.cancel_scope.cancel()

    run(scenario)
