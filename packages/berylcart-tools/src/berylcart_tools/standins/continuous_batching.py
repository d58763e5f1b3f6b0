"""Simulate continuous batching in one loop of timed steps."""

import heapq
import itertools
from collections.abc import Callable
from typing import NamedTuple

import anyio
from berylcart.state.stage import StageChunk, Usage

from berylcart_tools.standins.attempt_executor import OverloadedError
from berylcart_tools.standins.clock import MS_PER_S, sleep_ms
from berylcart_tools.standins.tokens import token_text


class StepCostModel(NamedTuple):
    """Model the duration of one step.

    Each sequence after the first adds batch_growth * step_ms. A step
    prefills at most prefill_chunk prompt words over all sequences.
    """

    step_ms: float = 6.5
    batch_growth: float = 0.03
    prefill_word_ms: float = 0.02
    prefill_chunk: int = 512

    def duration_ms(self, sequences: int, prefill_words: int) -> float:
        """Return the duration of one step.

        >>> StepCostModel(10, 0.1, 0.5).duration_ms(3, 4)
        14.0
        """
        batch_ms = self.step_ms * (1 + self.batch_growth * (sequences - 1))
        return batch_ms + self.prefill_word_ms * prefill_words


class Prompt(NamedTuple):
    """Describe what one sequence generates, from start_offset on.

    cache_prefix is called when the sequence starts. It caches the prefix
    and returns the number of words to prefill before the first token.
    """

    digest: str
    start_offset: int
    max_tokens: int
    priority: int
    cache_prefix: Callable[[], int]


class Sequence:
    """Track one attempt while it is queued or running."""

    def __init__(
        self,
        prompt: Prompt,
        on_start: Callable[[], None],
        emit: Callable[[StageChunk], None],
    ) -> None:
        self.prompt = prompt
        self.on_start = on_start
        self.emit = emit
        self.prefill_remaining = 0
        self.next_offset = prompt.start_offset
        self.steps = 0
        self.seconds = 0.0
        self.token_texts: list[str] = []
        self.done = anyio.Event()
        self.is_cancelled = False

    def start(self) -> None:
        """Look up the cached prefix and report the start."""
        self.prefill_remaining = self.prompt.cache_prefix()
        self.on_start()

    def advance(self, prefill_words: int, seconds: float) -> None:
        """Account for one step, and generate a token once prefill is done."""
        self.steps += 1
        self.seconds += seconds
        self.prefill_remaining -= prefill_words
        if self.prefill_remaining <= 0 and not self.is_finished():
            self.generate_token()
        if self.prefill_remaining <= 0 and self.is_finished():
            self.done.set()

    def generate_token(self) -> None:
        """Generate and emit the next token."""
        text = token_text(self.prompt.digest, self.next_offset)
        self.token_texts.append(text)
        self.emit(StageChunk(self.next_offset, text))
        self.next_offset += 1

    def is_finished(self) -> bool:
        """Return whether the last token has been generated."""
        return self.next_offset >= self.prompt.max_tokens

    def usage(self) -> Usage:
        """Return the cost accumulated so far."""
        return Usage(self.steps, len(self.token_texts), self.seconds)


class Batcher:
    """Run up to max_batch sequences at once, starting high priority first."""

    def __init__(
        self,
        cost: StepCostModel,
        max_batch: int,
        max_queued: int,
        slow_factor: Callable[[], float],
    ) -> None:
        self.cost = cost
        self.max_batch = max_batch
        self.max_queued = max_queued
        self.slow_factor = slow_factor
        self.arrivals = itertools.count()
        self.queue: list[tuple[int, int, Sequence]] = []
        self.active: list[Sequence] = []
        self.sequence_arrived = anyio.Event()

    @property
    def running(self) -> int:
        """Count the running sequences that are not cancelled."""
        return sum(not sequence.is_cancelled for sequence in self.active)

    @property
    def queued(self) -> int:
        """Count the queued sequences that are not cancelled."""
        return sum(not entry[2].is_cancelled for entry in self.queue)

    def is_full(self) -> bool:
        """Return whether both the batch and the queue are full."""
        free_slots = self.max_batch - len(self.active)
        return self.queued >= self.max_queued + free_slots

    async def generate(self, sequence: Sequence) -> None:
        """Run one sequence to completion; cancelling the call removes it.

        Raises OverloadedError when the queue is full.
        """
        if self.is_full():
            raise OverloadedError
        rank = (-sequence.prompt.priority, next(self.arrivals), sequence)
        heapq.heappush(self.queue, rank)
        self.sequence_arrived.set()
        try:
            await sequence.done.wait()
        finally:
            sequence.is_cancelled = True

    async def run(self) -> None:
        """Run steps while there are sequences; otherwise wait for one."""
        while True:
            self.admit()
            if self.active:
                await self.step()
            else:
                self.sequence_arrived = anyio.Event()
                await self.sequence_arrived.wait()

    def admit(self) -> None:
        """Remove cancelled sequences and fill the batch from the queue."""
        self.active = [s for s in self.active if not s.is_cancelled]
        while self.queue and len(self.active) < self.max_batch:
            sequence = heapq.heappop(self.queue)[2]
            if not sequence.is_cancelled:
                self.active.append(sequence)
                sequence.start()

    async def step(self) -> None:
        """Run one step of the batch and advance its sequences."""
        prefill_words = self.split_prefill()
        duration_ms = self.cost.duration_ms(
            len(prefill_words), sum(prefill_words)
        )
        duration_ms *= self.slow_factor()
        await sleep_ms(duration_ms)
        seconds = duration_ms / MS_PER_S / len(prefill_words)
        for sequence, words in zip(self.active, prefill_words, strict=True):
            if not sequence.is_cancelled:
                sequence.advance(words, seconds)
        self.active = [s for s in self.active if not s.done.is_set()]

    def split_prefill(self) -> list[int]:
        """Allot the step's prefill_chunk to the sequences in batch order."""
        remaining = self.cost.prefill_chunk
        prefill_words: list[int] = []
        for sequence in self.active:
            words = min(remaining, sequence.prefill_remaining)
            prefill_words.append(words)
            remaining -= words
        return prefill_words
