"""Append claim records in groups, with one append in flight."""

import math
import random
from collections import deque
from collections.abc import Callable
from enum import StrEnum
from typing import NamedTuple

import anyio

from berylcart import events
from berylcart.coordination.ports import Log
from berylcart.state.errors import LogAmbiguousError, LogUnavailableError
from berylcart.state.records import CLAIM_STREAM, Claim, Record

MS_PER_S = 1000


class BatchSettings(NamedTuple):
    """Bound one append and say how long to wait after a failure."""

    max_records: int = 512
    append_timeout_ms: int = 2000
    down_ms: int = 500
    ambiguous_wait_ms: int = 50
    max_rate_wait_ms: int = 250
    rate_spread_ms: float = 16.0


class Appended(StrEnum):
    """Say what became of a record given to the log."""

    DONE = "done"
    REFUSED = "refused"
    AMBIGUOUS = "ambiguous"


Report = Callable[[Claim, Appended], None]


class ClaimBatch:
    """Queue records and append them together; call run() in a task.

    Outcomes and releases are appended until one append succeeds, since
    repeating them is harmless. A claim is appended once and reported.
    """

    def __init__(
        self, log: Log, settings: BatchSettings, report: Report
    ) -> None:
        self.log = log
        self.settings = settings
        self.report = report
        self.queue: deque[Record] = deque()
        self.in_flight: list[Record] = []
        self.filled = anyio.Event()
        self.emptied = anyio.Event()
        self.down_until = -math.inf
        self.jitter = random.Random()

    @property
    def is_empty(self) -> bool:
        """Say whether nothing waits and nothing is in flight."""
        return not self.queue and not self.in_flight

    def down_ms(self) -> int:
        """Give how long the log is still taken to be down, 0 if it is up."""
        left_s = self.down_until - anyio.current_time()
        return max(0, math.ceil(left_s * MS_PER_S)) if left_s > 0 else 0

    def submit(self, record: Record) -> None:
        """Queue a record for the next append."""
        self.queue.append(record)
        self.filled.set()

    def withdraw(self, record: Record) -> bool:
        """Take back a record that was not given to the log yet."""
        try:
            self.queue.remove(record)
        except ValueError:
            return False
        self._note_empty()
        return True

    async def flush(self) -> None:
        """Wait until every queued record is on the log."""
        while not self.is_empty:
            await self.emptied.wait()

    async def run(self) -> None:
        """Append queued records until cancelled."""
        while True:
            await self._wait_for_records()
            await self._append_next()
            self._note_empty()

    async def _wait_for_records(self) -> None:
        while not self.queue:
            self.filled = anyio.Event()
            await self.filled.wait()

    async def _append_next(self) -> None:
        count = min(len(self.queue), self.settings.max_records)
        self.in_flight = [self.queue.popleft() for _ in range(count)]
        try:
            result, wait_ms = await self._append(self.in_flight)
        except BaseException:
            self._settle(Appended.AMBIGUOUS)
            raise
        self._settle(result)
        await anyio.sleep(wait_ms / MS_PER_S)

    async def _append(self, records: list[Record]) -> tuple[Appended, float]:
        """Append once, or again after a short limit of the log's rate.

        The longer a batch has waited, the sooner it tries again, so that
        daemons which share the rate take turns.
        """
        settings = self.settings
        attempts = 0
        while True:
            try:
                with anyio.fail_after(settings.append_timeout_ms / MS_PER_S):
                    await self.log.append(CLAIM_STREAM, records)
            except LogUnavailableError as error:
                asked_ms = error.retry_after_ms
                if asked_ms is None or asked_ms > settings.max_rate_wait_ms:
                    return Appended.REFUSED, self._mark_down(asked_ms)
                wait_ms = float(asked_ms)
            except LogAmbiguousError:
                return Appended.AMBIGUOUS, settings.ambiguous_wait_ms
            except TimeoutError:
                return Appended.AMBIGUOUS, self._mark_down(None)
            else:
                self.down_until = -math.inf
                return (
                    Appended.DONE,
                    settings.rate_spread_ms if attempts else 0,
                )
            attempts += 1
            spread_ms = settings.rate_spread_ms / attempts
            wait_ms += self.jitter.uniform(0, spread_ms)
            await anyio.sleep(wait_ms / MS_PER_S)

    def _mark_down(self, wait_ms: int | None) -> int:
        down_ms = max(wait_ms or 0, self.settings.down_ms)
        self.down_until = anyio.current_time() + down_ms / MS_PER_S
        events.warning("claims.append_failed", retry_after_ms=down_ms)
        return down_ms

    def _settle(self, result: Appended) -> None:
        records, self.in_flight = self.in_flight, []
        if result is not Appended.DONE:
            again = [each for each in records if not isinstance(each, Claim)]
            self.queue.extendleft(reversed(again))
        for record in records:
            if isinstance(record, Claim):
                self.report(record, result)
        if result is Appended.REFUSED:
            self._refuse_queued()

    def _refuse_queued(self) -> None:
        claims = [each for each in self.queue if isinstance(each, Claim)]
        for claim in claims:
            self.queue.remove(claim)
            self.report(claim, Appended.REFUSED)

    def _note_empty(self) -> None:
        if self.is_empty:
            self.emptied.set()
            self.emptied = anyio.Event()
