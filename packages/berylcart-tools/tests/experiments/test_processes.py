"""Tests for starting, monitoring and stopping child processes."""

import anyio
import pytest
from berylcart_tools.experiments.processes import ProcessGroup, free_ports


def test_free_ports_are_distinct():
    assert len(set(free_ports(20))) == 20


@pytest.mark.processes
def test_group_stops_its_processes(tmp_path):
    async def scenario():
        group = ProcessGroup(tmp_path)
        group.start("idle", "http.server", ["0", "--bind", "127.0.0.1"])
        assert group.count_running() == 1
        process = group.child_processes["idle"].process
        await group.stop()
        assert process.poll() is not None

    anyio.run(scenario)


@pytest.mark.processes
def test_unexpected_exit_is_reported_with_output(tmp_path):
    async def scenario():
        group = ProcessGroup(tmp_path)
        group.start("broken", "no_such_module", [])
        group.child_processes["broken"].process.wait()
        with pytest.raises(RuntimeError, match="no_such_module"):
            group.check_unexpected_exits()
        await group.stop()

    anyio.run(scenario)
