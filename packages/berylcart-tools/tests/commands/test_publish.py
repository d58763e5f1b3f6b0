"""Test the publish and versions commands with an in-memory log."""

from pathlib import Path

import anyio
import pytest
import trio
from berylcart.coordination.config.follower import ConfigFollower
from berylcart.state.config_text import ConfigTextError
from berylcart.state.errors import BerylcartError, Code
from berylcart.state.records import CONFIG_STREAM, Publication
from berylcart.transport.memory_log import MemoryLog
from berylcart_tools.commands.publish import Publish
from berylcart_tools.commands.versions import Versions
from trio.testing import MockClock

EXAMPLE_CONFIG = Path(__file__).parents[4] / "examples" / "authority.toml"


def run(scenario):
    """Run a scenario on a mock clock that skips sleeps."""
    return trio.run(scenario, clock=MockClock(autojump_threshold=0))


async def publish(log, read_version=None, **options):
    """Publish the example and return the reported lines."""
    lines = []
    command = Publish(EXAMPLE_CONFIG, "127.0.0.1:1", **options)
    await command.publish(log, read_version, lines.append)
    return lines


async def publish_error_code(log, **options):
    """Publish and return the code of the raised error."""
    with pytest.raises(BerylcartError) as caught:
        await publish(log, **options)
    return caught.value.code


def test_publish_waits_for_the_verdict():
    async def scenario():
        log = MemoryLog()
        lines = await publish(log, publish_id="p1")
        assert lines == [
            "publishing with --publish-id p1",
            "accepted as version 1",
        ]

    run(scenario)


def test_base_version_is_required_after_the_first_text():
    async def scenario():
        log = MemoryLog()
        await publish(log)
        assert await publish_error_code(log) is Code.CONFIG_CONFLICT
        assert await publish_error_code(log, base=0) is Code.CONFIG_CONFLICT
        assert "accepted as version 2" in await publish(log, base=1)
        assert "accepted as version 3" in await publish(
            log, unconditional=True
        )

    run(scenario)


def test_lost_answers_are_retried_with_the_same_publish_id():
    async def scenario():
        log = MemoryLog()
        log.lost_append_responses = 2
        lines = await publish(log, publish_id="p1", unconditional=True)
        assert lines[-1] == "accepted as version 1"
        lines = await publish(log, publish_id="p1", unconditional=True)
        assert lines[-1] == "accepted as version 1"

    run(scenario)


def test_outage_is_reported_as_not_appended():
    async def scenario():
        log = MemoryLog()
        log.is_down = True
        code = await publish_error_code(log, base=0, timeout_s=5)
        assert code is Code.LOG_UNAVAILABLE

    run(scenario)


class FailingLog(MemoryLog):
    """Lose the answer to an append and become unavailable."""

    async def append(self, stream, records):
        """Append the records, lose the answer and become unavailable."""
        self.lost_append_responses = 1
        try:
            return await super().append(stream, records)
        finally:
            self.is_down = True


def test_lost_answer_during_outage_is_ambiguous():
    async def scenario():
        code = await publish_error_code(FailingLog(), base=0, timeout_s=5)
        assert code is Code.LOG_AMBIGUOUS

    run(scenario)


def test_publish_counts_daemons_with_the_version_in_force():
    async def scenario():
        log = MemoryLog()
        keeper = ConfigFollower(log, seed=1)

        async def read_version(entry):
            return None if entry == "silent" else keeper.current.version

        async with anyio.create_task_group() as tasks:
            tasks.start_soon(keeper.run)
            lines = await publish(log, read_version, entry=["a", "b"])
            assert lines[-1] == "in force on 2 of 2 daemons"
            with pytest.raises(BerylcartError) as caught:
                await publish(log, read_version, entry=["a", "silent"], base=1)
            assert caught.value.code is Code.PEER_UNAVAILABLE
            tasks.cancel_scope.cancel()

    run(scenario)


def test_invalid_text_is_not_appended(tmp_path):
    path = tmp_path / "text.toml"
    path.write_text("format = 2")

    async def scenario():
        log = MemoryLog()
        with pytest.raises(ConfigTextError):
            await Publish(path, "").publish(log, None, print)
        assert log.append_calls == 0

    run(scenario)


def test_versions_command_lists_verdicts():
    async def scenario():
        log = MemoryLog()
        text = EXAMPLE_CONFIG.read_text()
        records = [
            Publication("p1", 0, 1, text),
            Publication("p2", 0, 1, text),
        ]
        await log.append(CONFIG_STREAM, records)
        lines = []
        await Versions("").list_versions(log, lines.append)
        assert lines[0] == "offset 0  version 1  publish-id p1"
        assert "rejected: 4003 CONFIG_CONFLICT" in lines[1]
        assert lines[2] == "in force: version 1"

    run(scenario)
