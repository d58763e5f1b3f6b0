"""Append a checkpoint before the newest one expires from the log."""

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
URGENT_WINDOW_FRACTION = 0.1
RETRY_DELAY_S = 5.0
JITTER_EXPONENT = 8.0
MS_PER_S = 1000


def biased_delay_s(window_s: float, fraction: float) -> float:
    """Map a uniform fraction to a delay biased towards the window's end.

    The density of the delay rises exponentially, so the expected number of
    daemons that act early hardly depends on the number of daemons.

    >>> [round(biased_delay_s(60, fraction)) for fraction in (0, 0.1, 0.5, 1)]
    [0, 43, 55, 60]
    """
    scale = math.expm1(JITTER_EXPONENT)
    return window_s * math.log1p(fraction * scale) / JITTER_EXPONENT


class CheckpointWriter:
    """Append checkpoints, at random times so that daemons share the work.

    take_checkpoint returns the checkpoint to append, None if there is none.
    """

    def __init__(
        self,
        log: Log,
        take_checkpoint: Callable[[], Checkpoint | None],
        retention_s: float,
        rng: random.Random,
    ) -> None:
        self.log = log
        self.take_checkpoint = take_checkpoint
        self.interval_s = retention_s / CHECKPOINTS_PER_RETENTION
        self.window_s = self.interval_s / 2
        self.urgent_s = min(
            URGENT_WINDOW_S, URGENT_WINDOW_FRACTION * self.window_s
        )
        self.rng = rng
        self.due_at_s = math.inf
        self.newest_checkpoint_s = -math.inf
        self.log_clock_offset_s: float | None = None
        self.records_since_checkpoint = 0
        self.changed = anyio.Event()

    def record_checkpoint(self, time_ms: int) -> None:
        """Reschedule after a checkpoint with the log timestamp time_ms."""
        self.records_since_checkpoint = 0
        self.newest_checkpoint_s = max(
            self.newest_checkpoint_s, time_ms / MS_PER_S
        )
        if self.log_clock_offset_s is not None:
            self.schedule_by_age(self.log_clock_offset_s)

    def count_record(self) -> None:
        """Count a record; RECORDS_PER_CHECKPOINT of them bring it forward."""
        self.records_since_checkpoint += 1
        if self.records_since_checkpoint == RECORDS_PER_CHECKPOINT:
            self.schedule(0, self.urgent_s)

    def schedule(self, after_s: float, window_s: float) -> None:
        """Set the due time to after_s plus a random delay in a window."""
        delay_s = biased_delay_s(window_s, self.rng.random())
        self.due_at_s = anyio.current_time() + after_s + delay_s
        self.changed.set()
        self.changed = anyio.Event()

    async def run(self) -> None:
        """Append a checkpoint whenever one is due, until cancelled."""
        await self.schedule_first()
        while True:
            with anyio.move_on_after(self.due_at_s - anyio.current_time()):
                await self.changed.wait()
                continue
            await self.append()

    async def schedule_first(self) -> None:
        """Schedule by the log's clock and its newest checkpoint."""
        while self.log_clock_offset_s is None:
            try:
                time_ms = await find_checkpoint_time_ms(self.log)
                log_time_ms = await read_log_time_ms(self.log)
            except (LogUnavailableError, LogAmbiguousError, LogGapError):
                await anyio.sleep(RETRY_DELAY_S * self.rng.uniform(0.5, 1.5))
                continue
            log_time_s = log_time_ms / MS_PER_S
            self.log_clock_offset_s = log_time_s - anyio.current_time()
            if time_ms is not None:
                self.newest_checkpoint_s = max(
                    self.newest_checkpoint_s, time_ms / MS_PER_S
                )
            self.schedule_by_age(self.log_clock_offset_s)

    def schedule_by_age(self, log_clock_offset_s: float) -> None:
        """Schedule in the rest of the newest checkpoint's window."""
        age_s = (
            anyio.current_time()
            + log_clock_offset_s
            - self.newest_checkpoint_s
        )
        after_s = max(0.0, self.interval_s - age_s)
        remaining_window_s = self.interval_s + self.window_s - age_s - after_s
        self.schedule(after_s, max(self.urgent_s, remaining_window_s))

    async def append(self) -> None:
        """Append one checkpoint; reschedule soon on failure."""
        checkpoint = self.take_checkpoint()
        if checkpoint is None:
            self.schedule(RETRY_DELAY_S, self.urgent_s)
            return
        try:
            offset = await self.log.append(CONFIG_STREAM, [checkpoint])
        except (LogUnavailableError, LogAmbiguousError) as error:
            events.warning("config.checkpoint_failed", detail=str(error))
            self.schedule(RETRY_DELAY_S, self.urgent_s)
            return
        events.info(
            "config.checkpoint",
            offset=offset,
            as_of_offset=checkpoint.as_of_offset,
            version=checkpoint.version,
        )
        self.records_since_checkpoint = 0
        self.schedule(self.interval_s, self.window_s)
