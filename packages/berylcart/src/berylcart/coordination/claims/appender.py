"""Append claim records in batches, with one append in flight."""

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
    """Set the limits of one append and the delays after failures."""

    max_records: int = 512
    append_timeout_ms: int = 2000
    outage_backoff_ms: int = 500
    ambiguous_backoff_ms: int = 50
    max_rate_limit_wait_ms: int = 250
    rate_limit_jitter_ms: float = 16.0


class AppendResult(StrEnum):
    """State the result of appending a record to the log."""

    DONE = "done"
    REFUSED = "refused"
    AMBIGUOUS = "ambiguous"


ResultCallback = Callable[[Claim, AppendResult], None]


class ClaimAppender:
    """Queue records and append them in batches; call run() in a task.

    Outcomes and releases are idempotent, so their append is retried until it
    succeeds. The append of a claim is never retried after an ambiguous
    result; on_result receives the result of each claim.
    """

    def __init__(
        self, log: Log, settings: BatchSettings, on_result: ResultCallback
    ) -> None:
        self.log = log
        self.settings = settings
        self.on_result = on_result
        self.queue: deque[Record] = deque()
        self.in_flight: list[Record] = []
        self.records_queued = anyio.Event()
        self.drained = anyio.Event()
        self.unavailable_until = -math.inf
        self.rng = random.Random()

    @property
    def is_empty(self) -> bool:
        """Return whether no record is queued or in flight."""
        return not self.queue and not self.in_flight

    def unavailable_ms(self) -> int:
        """Return the remaining back-off after an outage, 0 for none."""
        remaining_s = self.unavailable_until - anyio.current_time()
        return (
            max(0, math.ceil(remaining_s * MS_PER_S)) if remaining_s > 0 else 0
        )

    def submit(self, record: Record) -> None:
        """Queue a record for the next batch."""
        self.queue.append(record)
        self.records_queued.set()

    def withdraw(self, record: Record) -> bool:
        """Remove a record from the queue; False if its append has begun."""
        try:
            self.queue.remove(record)
        except ValueError:
            return False
        self._signal_if_empty()
        return True

    async def flush(self) -> None:
        """Wait until the queue is empty and no append is in flight."""
        while not self.is_empty:
            await self.drained.wait()

    async def run(self) -> None:
        """Append queued records until cancelled."""
        while True:
            await self._wait_until_queued()
            await self._append_next()
            self._signal_if_empty()

    async def _wait_until_queued(self) -> None:
        while not self.queue:
            self.records_queued = anyio.Event()
            await self.records_queued.wait()

    async def _append_next(self) -> None:
        count = min(len(self.queue), self.settings.max_records)
        self.in_flight = [self.queue.popleft() for _ in range(count)]
        try:
            result, wait_ms = await self._append(self.in_flight)
        except BaseException:
            self._complete(AppendResult.AMBIGUOUS)
            raise
        self._complete(result)
        await anyio.sleep(wait_ms / MS_PER_S)

    async def _append(
        self, records: list[Record]
    ) -> tuple[AppendResult, float]:
        """Append one batch, retrying only after short rate-limit refusals.

        The jitter shrinks with the number of refusals, so a batch that has
        waited longer retries sooner and daemons share the rate fairly.
        """
        settings = self.settings
        attempts = 0
        while True:
            try:
                with anyio.fail_after(settings.append_timeout_ms / MS_PER_S):
                    await self.log.append(CLAIM_STREAM, records)
            except LogUnavailableError as error:
                requested_wait_ms = error.retry_after_ms
                if (
                    requested_wait_ms is None
                    or requested_wait_ms > settings.max_rate_limit_wait_ms
                ):
                    return AppendResult.REFUSED, self._record_outage(
                        requested_wait_ms
                    )
                wait_ms = float(requested_wait_ms)
            except LogAmbiguousError:
                return AppendResult.AMBIGUOUS, settings.ambiguous_backoff_ms
            except TimeoutError:
                return AppendResult.AMBIGUOUS, self._record_outage(None)
            else:
                self.unavailable_until = -math.inf
                return (
                    AppendResult.DONE,
                    settings.rate_limit_jitter_ms if attempts else 0,
                )
            attempts += 1
            max_jitter_ms = settings.rate_limit_jitter_ms / attempts
            wait_ms += self.rng.uniform(0, max_jitter_ms)
            await anyio.sleep(wait_ms / MS_PER_S)

    def _record_outage(self, wait_ms: int | None) -> int:
        backoff_ms = max(wait_ms or 0, self.settings.outage_backoff_ms)
        self.unavailable_until = anyio.current_time() + backoff_ms / MS_PER_S
        events.warning("claims.append_failed", retry_after_ms=backoff_ms)
        return backoff_ms

    def _complete(self, result: AppendResult) -> None:
        records, self.in_flight = self.in_flight, []
        if result is not AppendResult.DONE:
            retryable = [
                each for each in records if not isinstance(each, Claim)
            ]
            self.queue.extendleft(reversed(retryable))
        for record in records:
            if isinstance(record, Claim):
                self.on_result(record, result)
        if result is AppendResult.REFUSED:
            self._refuse_queued()

    def _refuse_queued(self) -> None:
        claims = [each for each in self.queue if isinstance(each, Claim)]
        for claim in claims:
            self.queue.remove(claim)
            self.on_result(claim, AppendResult.REFUSED)

    def _signal_if_empty(self) -> None:
        if self.is_empty:
            self.drained.set()
            self.drained = anyio.Event()
