"""Test batched appends under rate limits and failures of the log."""

import anyio
import trio
from berylcart.coordination.claims.appender import (
    AppendResult,
    BatchSettings,
    ClaimAppender,
)
from berylcart.state.errors import LogUnavailableError
from berylcart.state.records import Claim, Release
from trio.testing import MockClock

CLAIM = Claim("k", "w", "s", "d/1", "d/1.1", "f")


class RefusingLog:
    """Refuse a number of appends with a retry_after_ms."""

    def __init__(self, refusals, retry_after_ms):
        self.refusals = refusals
        self.retry_after_ms = retry_after_ms
        self.appended = []
        self.in_flight = 0
        self.max_in_flight = 0

    async def append(self, stream, records):
        """Append the records, or refuse while refusals remain."""
        self.in_flight += 1
        self.max_in_flight = max(self.max_in_flight, self.in_flight)
        await anyio.sleep(0.005)
        self.in_flight -= 1
        if self.refusals > 0:
            self.refusals -= 1
            raise LogUnavailableError("refused", self.retry_after_ms)
        self.appended.extend(records)


def run_batch(log, records, settings=None, until_s=5):
    """Submit records together and return the results results."""
    results = []

    async def scenario():
        batch = ClaimAppender(
            log,
            settings or BatchSettings(),
            lambda claim, result: results.append(result),
        )
        for record in records:
            batch.submit(record)
        with anyio.move_on_after(until_s):
            await batch.run()

    trio.run(scenario, clock=MockClock(autojump_threshold=0))
    return results


def test_short_rate_limit_refusals_are_retried():
    log = RefusingLog(20, retry_after_ms=3)
    assert run_batch(log, [CLAIM]) == [AppendResult.DONE]
    assert log.appended == [CLAIM]


def test_outage_refuses_claims_and_retries_releases():
    log = RefusingLog(1, retry_after_ms=None)
    release = Release("k", "c")
    assert run_batch(log, [CLAIM, release]) == [AppendResult.REFUSED]
    assert log.appended == [release]


def test_long_retry_after_counts_as_an_outage():
    log = RefusingLog(1, retry_after_ms=10_000)
    assert run_batch(log, [CLAIM]) == [AppendResult.REFUSED]
    assert log.appended == []


def test_at_most_one_append_is_in_flight():
    log = RefusingLog(0, None)
    settings = BatchSettings(max_records=10)
    records = [Release(f"k{n}", "c") for n in range(95)]
    run_batch(log, records, settings)
    assert log.appended == records
    assert log.max_in_flight == 1


def test_slow_append_is_ambiguous():
    log = RefusingLog(0, None)
    settings = BatchSettings(append_timeout_ms=1)
    assert run_batch(log, [CLAIM], settings) == [AppendResult.AMBIGUOUS]
