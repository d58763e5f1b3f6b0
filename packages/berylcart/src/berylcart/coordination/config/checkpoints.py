"""Append a checkpoint before the newest one expires."""

import math
import random
from collections.abc import Callable

import anyio

from berylcart import events
from berylcart.coordination.config.recovery import find_checkpoint_time_ms
from berylcart.coordination.log_clock import read_log_time_ms
from berylcart.coordination.ports import Log
from berylcart.state.errors import (
    LogAmbiguousError,
    LogGapError,
    LogUnavailableError,
)
from berylcart.state.records import CONFIG_STREAM, Checkpoint

CHECKPOINTS_PER_RETENTION = 3
RECORDS_PER_CHECKPOINT = 64
URGENT_WINDOW_S = 60.0
URGENT_SHARE = 0.1
RETRY_S = 5.0
JITTER_STEEPNESS = 8.0
MS_PER_S = 1000


def biased_delay_s(window_s: float, fraction: float) -> float:
    """Spread delays so that few of many daemons come first.

    The delay's distribution rises exponentially towards the window's end, so
    the expected number of early daemons hardly depends on their number.

    >>> [round(biased_delay_s(60, fraction)) for fraction in (0, 0.1, 0.5, 1)]
    [0, 43, 55, 60]
    """
    scale = math.expm1(JITTER_STEEPNESS)
    return window_s * math.log1p(fraction * scale) / JITTER_STEEPNESS


class CheckpointDuty:
    """Append checkpoints in jittered turns with the other daemons.

    take_checkpoint gives the state to append, or None when there is none.
    """

    def __init__(
        self,
        log: Log,
        take_checkpoint: Callable[[], Checkpoint | None],
        retention_s: float,
        source: random.Random,
    ) -> None:
        self.log = log
        self.take_checkpoint = take_checkpoint
        self.every_s = retention_s / CHECKPOINTS_PER_RETENTION
        self.window_s = self.every_s / 2
        self.urgent_s = min(URGENT_WINDOW_S, URGENT_SHARE * self.window_s)
        self.source = source
        self.due_at_s = math.inf
        self.newest_s = -math.inf
        self.log_ahead_s: float | None = None
        self.records = 0
        self.changed = anyio.Event()

    def note_checkpoint(self, time_ms: int) -> None:
        """Put the duty off: a checkpoint that the log took at time_ms."""
        self.records = 0
        self.newest_s = max(self.newest_s, time_ms / MS_PER_S)
        if self.log_ahead_s is not None:
            self.plan_by_age(self.log_ahead_s)

    def note_record(self) -> None:
        """Count a record; many of them bring the duty forward."""
        self.records += 1
        if self.records == RECORDS_PER_CHECKPOINT:
            self.plan(0, self.urgent_s)

    def plan(self, after_s: float, window_s: float) -> None:
        """Fall due after a time and a random share of a window."""
        delay_s = biased_delay_s(window_s, self.source.random())
        self.due_at_s = anyio.current_time() + after_s + delay_s
        self.changed.set()
        self.changed = anyio.Event()

    async def run(self) -> None:
        """Append a checkpoint whenever one falls due."""
        await self.plan_first()
        while True:
            with anyio.move_on_after(self.due_at_s - anyio.current_time()):
                await self.changed.wait()
                continue
            await self.append()

    async def plan_first(self) -> None:
        """Learn the log's time and the age of its newest checkpoint."""
        while self.log_ahead_s is None:
            try:
                time_ms = await find_checkpoint_time_ms(self.log)
                log_time_ms = await read_log_time_ms(self.log)
            except (LogUnavailableError, LogAmbiguousError, LogGapError):
                await anyio.sleep(RETRY_S * self.source.uniform(0.5, 1.5))
                continue
            log_time_s = log_time_ms / MS_PER_S
            self.log_ahead_s = log_time_s - anyio.current_time()
            if time_ms is not None:
                self.newest_s = max(self.newest_s, time_ms / MS_PER_S)
            self.plan_by_age(self.log_ahead_s)

    def plan_by_age(self, log_ahead_s: float) -> None:
        """Fall due in what is left of the newest checkpoint's turn."""
        age_s = anyio.current_time() + log_ahead_s - self.newest_s
        after_s = max(0.0, self.every_s - age_s)
        left_s = self.every_s + self.window_s - age_s - after_s
        self.plan(after_s, max(self.urgent_s, left_s))

    async def append(self) -> None:
        """Append one checkpoint, or try again soon."""
        checkpoint = self.take_checkpoint()
        if checkpoint is None:
            self.plan(RETRY_S, self.urgent_s)
            return
        try:
            offset = await self.log.append(CONFIG_STREAM, [checkpoint])
        except (LogUnavailableError, LogAmbiguousError) as error:
            events.warning("config.checkpoint_failed", detail=str(error))
            self.plan(RETRY_S, self.urgent_s)
            return
        events.info(
            "config.checkpoint",
            offset=offset,
            as_of_offset=checkpoint.as_of_offset,
            version=checkpoint.version,
        )
        self.records = 0
        self.plan(self.every_s, self.window_s)
