"""Test the batcher's step loop on a mock clock."""

import anyio
import pytest
import trio
from berylcart_tools.standins.attempt_executor import OverloadedError
from berylcart_tools.standins.continuous_batching import (
    Batcher,
    Prompt,
    Sequence,
    StepCostModel,
)
from trio.testing import MockClock, wait_all_tasks_blocked

COST = StepCostModel(
    step_ms=10, batch_growth=0.5, prefill_word_ms=1, prefill_chunk=8
)


class BatcherHarness:
    """Run sequences on a batcher and record their order and times."""

    def __init__(self, max_batch, max_queued):
        self.batcher = Batcher(COST, max_batch, max_queued, lambda: 1.0)
        self.start_order = []
        self.finished_ms = {}
        self.sequences = {}

    async def generate(self, name, max_tokens=1, prefill_words=0, priority=0):
        """Run one sequence to completion."""
        prompt = Prompt(name, 0, max_tokens, priority, lambda: prefill_words)
        sequence = Sequence(
            prompt, lambda: self.start_order.append(name), lambda chunk: None
        )
        self.sequences[name] = sequence
        await self.batcher.generate(sequence)
        self.finished_ms[name] = round(anyio.current_time() * 1000)


def run(scenario, max_batch=4, max_queued=8):
    """Run a scenario with a running batcher, and return the harness."""

    async def main():
        harness = BatcherHarness(max_batch, max_queued)
        async with anyio.create_task_group() as tasks:
            async with anyio.create_task_group() as inner:
                inner.start_soon(scenario, harness, inner)
                # Trio starts tasks in arbitrary order. Let all sequences
                # submitted at time 0 queue before the first step.
                await wait_all_tasks_blocked()
                tasks.start_soon(harness.batcher.run)
            tasks.cancel_scope.cancel()
        return harness

    return trio.run(main, clock=MockClock(autojump_threshold=0))


def test_each_step_generates_one_token_per_sequence():
    async def scenario(harness, tasks):
        tasks.start_soon(harness.generate, "a", 2)
        tasks.start_soon(harness.generate, "b", 3)

    harness = run(scenario)
    # Two steps of 15 ms with both sequences, then one of 10 ms with b.
    assert harness.finished_ms == {"a": 30, "b": 40}
    usage = harness.sequences["b"].usage()
    assert (usage.steps, usage.tokens) == (3, 3)
    assert usage.seconds == pytest.approx(0.025)


def test_sequence_joins_a_running_batch():
    async def scenario(harness, tasks):
        tasks.start_soon(harness.generate, "a", 4)
        await anyio.sleep(0.015)
        tasks.start_soon(harness.generate, "b", 1)

    assert run(scenario).finished_ms == {"a": 45, "b": 35}


def test_prefill_runs_in_chunks_before_the_first_token():
    async def scenario(harness, tasks):
        tasks.start_soon(harness.generate, "a", 1, 12)

    harness = run(scenario)
    assert harness.finished_ms == {"a": 32}
    assert harness.sequences["a"].usage().steps == 2


def test_higher_priority_sequence_starts_first():
    async def scenario(harness, tasks):
        tasks.start_soon(harness.generate, "a", 2)
        await anyio.sleep(0.001)
        tasks.start_soon(harness.generate, "low", 1, 0, 0)
        await anyio.sleep(0.001)
        tasks.start_soon(harness.generate, "high", 1, 0, 5)

    assert run(scenario, max_batch=1).start_order == ["a", "high", "low"]


def test_cancelled_sequence_frees_its_batch_slot():
    async def scenario(harness, tasks):
        async with anyio.create_task_group() as cancelled:
            cancelled.start_soon(harness.generate, "a", 1000)
            await anyio.sleep(0.005)
            cancelled.start_soon(harness.generate, "queued", 1000)
            await anyio.sleep(0.01)
            cancelled.cancel_scope.cancel()
        assert harness.batcher.queued == 0
        tasks.start_soon(harness.generate, "b", 1)

    harness = run(scenario, max_batch=1)
    assert harness.finished_ms == {"b": 30}
    assert harness.start_order == ["a", "b"]


def test_full_queue_refuses_a_sequence():
    async def scenario(harness, tasks):
        tasks.start_soon(harness.generate, "a", 2)
        await anyio.sleep(0.001)
        tasks.start_soon(harness.generate, "b", 2)
        await anyio.sleep(0.001)
        with pytest.raises(OverloadedError):
            await harness.generate("c")

    assert run(scenario, max_batch=1, max_queued=1).start_order == ["a", "b"]


def test_every_sequence_generates_all_tokens_when_queued():
    async def scenario(harness, tasks):
        for number in range(8):
            tasks.start_soon(harness.generate, str(number), number + 1, number)

    harness = run(scenario, max_batch=3)
    for number in range(8):
        assert len(harness.sequences[str(number)].token_texts) == number + 1
