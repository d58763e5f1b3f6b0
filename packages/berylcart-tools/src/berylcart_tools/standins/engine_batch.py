"""Batch an engine's attempts continuously in one step loop."""

import heapq
import itertools
from collections.abc import Callable
from typing import NamedTuple

import anyio
from berylcart.state.stage import StageChunk, Usage

from berylcart_tools.standins.clock import MS_PER_S, sleep_ms
from berylcart_tools.standins.tokens import token_text
from berylcart_tools.standins.work import OverloadedError


class CostModel(NamedTuple):
    """Set how long a step takes.

    batch_growth is the share of step_ms that each further sequence adds;
    prefill_chunk bounds the prompt words that one step reads.
    """

    step_ms: float = 6.5
    batch_growth: float = 0.03
    prefill_word_ms: float = 0.02
    prefill_chunk: int = 512

    def duration_ms(self, sequences: int, prefill_words: int) -> float:
        """Give the time of one step.

        >>> CostModel(10, 0.1, 0.5).duration_ms(3, 4)
        14.0
        """
        batch_ms = self.step_ms * (1 + self.batch_growth * (sequences - 1))
        return batch_ms + self.prefill_word_ms * prefill_words


class Prompt(NamedTuple):
    """Describe what one sequence generates, from start_offset on.

    uncached_words counts the words that have to be read before the first
    token, once the sequence begins.
    """

    digest: str
    start_offset: int
    max_tokens: int
    priority: int
    uncached_words: Callable[[], int]


class Sequence:
    """Hold one attempt while it waits or runs."""

    def __init__(
        self,
        prompt: Prompt,
        began: Callable[[], None],
        emit: Callable[[StageChunk], None],
    ) -> None:
        self.prompt = prompt
        self.began = began
        self.emit = emit
        self.prefill_left = 0
        self.next_offset = prompt.start_offset
        self.steps = 0
        self.seconds = 0.0
        self.texts: list[str] = []
        self.done = anyio.Event()
        self.is_cancelled = False

    def begin(self) -> None:
        """Leave the queue."""
        self.prefill_left = self.prompt.uncached_words()
        self.began()

    def advance(self, prefill_words: int, seconds: float) -> None:
        """Take part in one step."""
        self.steps += 1
        self.seconds += seconds
        self.prefill_left -= prefill_words
        if self.prefill_left <= 0 and not self.is_finished():
            self.generate()
        if self.prefill_left <= 0 and self.is_finished():
            self.done.set()

    def generate(self) -> None:
        """Generate one token."""
        text = token_text(self.prompt.digest, self.next_offset)
        self.texts.append(text)
        self.emit(StageChunk(self.next_offset, text))
        self.next_offset += 1

    def is_finished(self) -> bool:
        """Say whether the last token is out."""
        return self.next_offset >= self.prompt.max_tokens

    def usage(self) -> Usage:
        """Count the cost so far."""
        return Usage(self.steps, len(self.texts), self.seconds)


class Batcher:
    """Run up to max_batch sequences, the highest priority first."""

    def __init__(
        self,
        cost: CostModel,
        max_batch: int,
        max_queued: int,
        slow_factor: Callable[[], float],
    ) -> None:
        self.cost = cost
        self.max_batch = max_batch
        self.max_queued = max_queued
        self.slow_factor = slow_factor
        self.order = itertools.count()
        self.waiting: list[tuple[int, int, Sequence]] = []
        self.active: list[Sequence] = []
        self.arrived = anyio.Event()

    @property
    def running(self) -> int:
        """Count the sequences that run and are still wanted."""
        return sum(not sequence.is_cancelled for sequence in self.active)

    @property
    def queued(self) -> int:
        """Count the sequences that wait."""
        return sum(not entry[2].is_cancelled for entry in self.waiting)

    def is_full(self) -> bool:
        """Say whether the batch and the queue are taken."""
        room = self.max_batch - len(self.active)
        return self.queued >= self.max_queued + room

    async def generate(self, sequence: Sequence) -> None:
        """Run one sequence to its end; being cancelled removes it.

        Raises OverloadedError when the queue is full.
        """
        if self.is_full():
            raise OverloadedError
        rank = (-sequence.prompt.priority, next(self.order), sequence)
        heapq.heappush(self.waiting, rank)
        self.arrived.set()
        try:
            await sequence.done.wait()
        finally:
            sequence.is_cancelled = True

    async def run(self) -> None:
        """Step for as long as there is work, else wait for some."""
        while True:
            self.admit()
            if self.active:
                await self.step()
            else:
                self.arrived = anyio.Event()
                await self.arrived.wait()

    def admit(self) -> None:
        """Drop cancelled sequences and fill the batch from the queue."""
        self.active = [s for s in self.active if not s.is_cancelled]
        while self.waiting and len(self.active) < self.max_batch:
            sequence = heapq.heappop(self.waiting)[2]
            if not sequence.is_cancelled:
                self.active.append(sequence)
                sequence.begin()

    async def step(self) -> None:
        """Run one step of the batch."""
        shares = self.share_prefill()
        duration_ms = self.cost.duration_ms(len(shares), sum(shares))
        duration_ms *= self.slow_factor()
        await sleep_ms(duration_ms)
        seconds = duration_ms / MS_PER_S / len(shares)
        for sequence, words in zip(self.active, shares, strict=True):
            if not sequence.is_cancelled:
                sequence.advance(words, seconds)
        self.active = [s for s in self.active if not s.done.is_set()]

    def share_prefill(self) -> list[int]:
        """Split the step's prompt words over the batch, in order."""
        left = self.cost.prefill_chunk
        shares: list[int] = []
        for sequence in self.active:
            words = min(left, sequence.prefill_left)
            shares.append(words)
            left -= words
        return shares
