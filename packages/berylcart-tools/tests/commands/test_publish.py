"""Check publish and versions against a log in memory."""

from pathlib import Path

import anyio
import pytest
import trio
from berylcart.coordination.config.keeper import ConfigKeeper
from berylcart.state.config_text import ConfigTextError
from berylcart.state.errors import BerylcartError, Code
from berylcart.state.records import CONFIG_STREAM, Publication
from berylcart.transport.memory_log import MemoryLog
from berylcart_tools.commands.publish import Publish
from berylcart_tools.commands.versions import Versions
from trio.testing import MockClock

AUTHORITY = Path(__file__).parents[4] / "examples" / "authority.toml"


def run(scenario):
    """Run a scenario on a clock that jumps over every sleep."""
    return trio.run(scenario, clock=MockClock(autojump_threshold=0))


async def publish(log, read_version=None, **options):
    """Publish the Authority's example and return what was reported."""
    lines = []
    command = Publish(AUTHORITY, "127.0.0.1:1", **options)
    await command.publish(log, read_version, lines.append)
    return lines


async def code_of(log, **options):
    """Publish and return the code of the failure."""
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


def test_a_later_text_needs_a_base():
    async def scenario():
        log = MemoryLog()
        await publish(log)
        assert await code_of(log) is Code.CONFIG_CONFLICT
        assert await code_of(log, base=0) is Code.CONFIG_CONFLICT
        assert "accepted as version 2" in await publish(log, base=1)
        assert "accepted as version 3" in await publish(
            log, unconditional=True
        )

    run(scenario)


def test_lost_answers_are_retried_under_one_publish_id():
    async def scenario():
        log = MemoryLog()
        log.lost_answers = 2
        lines = await publish(log, publish_id="p1", unconditional=True)
        assert lines[-1] == "accepted as version 1"
        lines = await publish(log, publish_id="p1", unconditional=True)
        assert lines[-1] == "accepted as version 1"

    run(scenario)


def test_outage_is_reported_as_not_appended():
    async def scenario():
        log = MemoryLog()
        log.is_down = True
        code = await code_of(log, base=0, timeout_s=5)
        assert code is Code.LOG_UNAVAILABLE

    run(scenario)


class LosingLog(MemoryLog):
    """Go down with the answer to an append."""

    async def append(self, stream, records):
        """Append, lose the answer and go down."""
        self.lost_answers = 1
        try:
            return await super().append(stream, records)
        finally:
            self.is_down = True


def test_answer_lost_and_log_down_is_ambiguous():
    async def scenario():
        code = await code_of(LosingLog(), base=0, timeout_s=5)
        assert code is Code.LOG_AMBIGUOUS

    run(scenario)


def test_in_force_counts_the_daemons():
    async def scenario():
        log = MemoryLog()
        keeper = ConfigKeeper(log, seed=1)

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


def test_faulty_text_is_not_appended(tmp_path):
    path = tmp_path / "text.toml"
    path.write_text("format = 2")

    async def scenario():
        log = MemoryLog()
        with pytest.raises(ConfigTextError):
            await Publish(path, "").publish(log, None, print)
        assert log.append_calls == 0

    run(scenario)


def test_versions_lists_verdicts():
    async def scenario():
        log = MemoryLog()
        text = AUTHORITY.read_text()
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
