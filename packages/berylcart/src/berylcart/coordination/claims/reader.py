"""Fold the claim stream into a ledger, across gaps and log outages."""

import math
from collections.abc import Callable

import anyio

from berylcart import events
from berylcart.coordination.ports import Log
from berylcart.state.claim_ledger import (
    LOG_START_MS,
    ClaimLedger,
    ClaimRules,
    Judgement,
)
from berylcart.state.errors import LogGapError, LogUnavailableError
from berylcart.state.records import CLAIM_STREAM, LogEntry

MS_PER_S = 1000
READ_LIMIT = 1000
READ_WAIT_MS = 10_000
READ_TIMEOUT_S = 15
MIN_RETRY_DELAY_S = 0.1
MAX_RETRY_DELAY_S = 1.0

OnEntry = Callable[[LogEntry, Judgement | None], None]


class ClaimReader:
    """Fold the claim stream into a ledger; call run() in a task."""

    def __init__(self, log: Log, rules: ClaimRules, on_entry: OnEntry) -> None:
        self.log = log
        self.rules = rules
        self.on_entry = on_entry
        self.ledger = ClaimLedger(rules, complete_since_ms=None)
        self.position = -1
        self.was_truncated = False
        self.caught_up = anyio.Event()
        self.read_at = -math.inf

    async def run(self) -> None:
        """Read the claim stream until cancelled."""
        retry_delay_s = MIN_RETRY_DELAY_S
        while True:
            try:
                with anyio.fail_after(READ_TIMEOUT_S):
                    await self._read_next()
                retry_delay_s = MIN_RETRY_DELAY_S
            except LogGapError as gap:
                events.warning("claims.gap", start_offset=gap.start_offset)
                self.position = -1
            except (LogUnavailableError, TimeoutError):
                await anyio.sleep(retry_delay_s)
                retry_delay_s = min(2 * retry_delay_s, MAX_RETRY_DELAY_S)

    async def _read_next(self) -> None:
        if self.position < 0:
            await self._restart()
        page = await self.log.read(
            CLAIM_STREAM,
            self.position,
            wait_ms=READ_WAIT_MS if self.caught_up.is_set() else 0,
            limit=READ_LIMIT,
        )
        if page.end_offset < self.position:
            self.was_truncated = True
            raise LogGapError(self.position, page.start_offset)
        for entry in page.entries:
            self.position = entry.offset + 1
            self.on_entry(entry, self.ledger.fold(entry))
        self.read_at = anyio.current_time()
        if self.position >= page.end_offset:
            self.caught_up.set()
        await anyio.lowlevel.checkpoint()

    async def _restart(self) -> None:
        """Restart with an empty ledger at the oldest retained record.

        The stream counts as complete only if it starts at offset 0 and its
        end was never seen to move back, which means that records were lost.
        """
        bounds = await self.log.read(CLAIM_STREAM, -1, wait_ms=0, limit=1)
        is_complete = bounds.start_offset == 0 and not self.was_truncated
        self.ledger = ClaimLedger(
            self.rules, LOG_START_MS if is_complete else None
        )
        self.position = bounds.start_offset
