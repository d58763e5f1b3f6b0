"""Check the step loop on a paused clock."""

import anyio
import pytest
import trio
from berylcart_tools.standins.engine_batch import (
    Batcher,
    CostModel,
    Prompt,
    Sequence,
)
from berylcart_tools.standins.work import OverloadedError
from trio.testing import MockClock, wait_all_tasks_blocked

COST = CostModel(
    step_ms=10, batch_growth=0.5, prefill_word_ms=1, prefill_chunk=8
)


class Lab:
    """Run sequences on a batcher and note their order and times."""

    def __init__(self, max_batch, max_queued):
        self.batcher = Batcher(COST, max_batch, max_queued, lambda: 1.0)
        self.begun = []
        self.finished_ms = {}
        self.sequences = {}

    async def generate(self, name, max_tokens=1, words=0, priority=0):
        """Run one sequence to its end."""
        prompt = Prompt(name, 0, max_tokens, priority, lambda: words)
        sequence = Sequence(
            prompt, lambda: self.begun.append(name), lambda chunk: None
        )
        self.sequences[name] = sequence
        await self.batcher.generate(sequence)
        self.finished_ms[name] = round(anyio.current_time() * 1000)


def run(scenario, max_batch=4, max_queued=8):
    """Run a scenario with a batcher, and give the lab."""

    async def main():
        lab = Lab(max_batch, max_queued)
        async with anyio.create_task_group() as tasks:
            async with anyio.create_task_group() as inner:
                inner.start_soon(scenario, lab, inner)
                # Trio starts tasks in any order; let what comes at once
                # queue before the first step.
                await wait_all_tasks_blocked()
                tasks.start_soon(lab.batcher.run)
            tasks.cancel_scope.cancel()
        return lab

    return trio.run(main, clock=MockClock(autojump_threshold=0))


def test_each_step_gives_one_token_to_each_sequence():
    async def scenario(lab, tasks):
        tasks.start_soon(lab.generate, "a", 2)
        tasks.start_soon(lab.generate, "b", 3)

    lab = run(scenario)
    # Two steps of 15 ms with both, then one of 10 ms with b alone.
    assert lab.finished_ms == {"a": 30, "b": 40}
    usage = lab.sequences["b"].usage()
    assert (usage.steps, usage.tokens) == (3, 3)
    assert usage.seconds == pytest.approx(0.025)


def test_sequence_joins_a_running_batch():
    async def scenario(lab, tasks):
        tasks.start_soon(lab.generate, "a", 4)
        await anyio.sleep(0.015)
        tasks.start_soon(lab.generate, "b", 1)

    assert run(scenario).finished_ms == {"a": 45, "b": 35}


def test_prefill_is_paid_in_chunks_before_the_first_token():
    async def scenario(lab, tasks):
        tasks.start_soon(lab.generate, "a", 1, 12)

    lab = run(scenario)
    assert lab.finished_ms == {"a": 32}
    assert lab.sequences["a"].usage().steps == 2


def test_higher_priority_leaves_the_queue_first():
    async def scenario(lab, tasks):
        tasks.start_soon(lab.generate, "a", 2)
        await anyio.sleep(0.001)
        tasks.start_soon(lab.generate, "low", 1, 0, 0)
        await anyio.sleep(0.001)
        tasks.start_soon(lab.generate, "high", 1, 0, 5)

    assert run(scenario, max_batch=1).begun == ["a", "high", "low"]


def test_cancelled_sequence_frees_its_room():
    async def scenario(lab, tasks):
        async with anyio.create_task_group() as cancelled:
            cancelled.start_soon(lab.generate, "a", 1000)
            await anyio.sleep(0.005)
            cancelled.start_soon(lab.generate, "queued", 1000)
            await anyio.sleep(0.01)
            cancelled.cancel_scope.cancel()
        assert lab.batcher.queued == 0
        tasks.start_soon(lab.generate, "b", 1)

    lab = run(scenario, max_batch=1)
    assert lab.finished_ms == {"b": 30}
    assert lab.begun == ["a", "b"]


def test_full_queue_refuses():
    async def scenario(lab, tasks):
        tasks.start_soon(lab.generate, "a", 2)
        await anyio.sleep(0.001)
        tasks.start_soon(lab.generate, "b", 2)
        await anyio.sleep(0.001)
        with pytest.raises(OverloadedError):
            await lab.generate("c")

    assert run(scenario, max_batch=1, max_queued=1).begun == ["a", "b"]


def test_every_token_is_emitted_once_under_any_load():
    async def scenario(lab, tasks):
        for number in range(8):
            tasks.start_soon(lab.generate, str(number), number + 1, number)

    lab = run(scenario, max_batch=3)
    for number in range(8):
        assert len(lab.sequences[str(number)].texts) == number + 1
