"""Measure the cost of claims: appends, latency, memory and CPU time."""

import gc
import json
import math
import sys
import time
import tracemalloc
from typing import TypedDict

import anyio
from berylcart.coordination.claims.answers import CollectResult, StoredAnswer
from berylcart.coordination.claims.appender import BatchSettings
from berylcart.coordination.claims.coordinator import ClaimCoordinator
from berylcart.coordination.claims.results import ClaimSettings, Granted
from berylcart.state.claim_keys import digest, fingerprint
from berylcart.state.claim_ledger import ClaimLedger, ClaimRules
from berylcart.state.errors import BerylcartError, Code, Ran
from berylcart.state.records import Claim, LogEntry, Outcome

from berylcart_tools.experiments.rate_limited_log import RateLimitedLog

APPENDS_PER_S = 300
APPEND_LATENCY_S = 0.005
DAEMON_COUNT = 7
SENDERS_PER_DAEMON = 32
DURATION_S = 5.0
CLAIM_COUNTS = (1_000, 10_000, 100_000)
MS_PER_S = 1000
US_PER_S = 1_000_000
ANSWER = StoredAnswer(Ran.YES, 0, b'{"slot":9}')


class Throughput(TypedDict):
    """Hold throughput results; each claim appends a claim and an outcome."""

    max_records: int
    claims_per_s: float
    appends_per_s: float
    records_per_append: float
    p50_ms: float
    p99_ms: float
    refused: int
    processor_us_per_claim: float


class LedgerMemory(TypedDict):
    """Hold the memory and CPU cost per claim of a ledger."""

    claims: int
    bytes_per_claim: float
    processor_us_per_claim: float


class ClaimsCost(TypedDict):
    """Hold the results of the claims cost experiment."""

    experiment: str
    appends_per_s_limit: int
    append_ms: float
    daemons: int
    senders: int
    batched: Throughput
    unbatched: Throughput
    memory: list[LedgerMemory]


class ClaimLoad:
    """Generate closed-loop load on claim keepers and record latencies."""

    def __init__(self) -> None:
        self.latencies_s: list[float] = []
        self.refused = 0
        self.count = 0

    async def send_claims(self, keeper: ClaimCoordinator) -> None:
        """Claim and finish distinct keys one after another until cancelled."""
        while True:
            self.count += 1
            started_s = time.perf_counter()
            try:
                claimed = await keeper.claim(
                    f"k{self.count}", "tailors", "booking", b"{}"
                )
            except BerylcartError:
                self.refused += 1
                await anyio.sleep(APPEND_LATENCY_S)
                continue
            self.latencies_s.append(time.perf_counter() - started_s)
            if isinstance(claimed, Granted):
                keeper.finish(claimed.claim_id, ANSWER)


async def refuse_collection(*_: str) -> CollectResult:
    """Raise PEER_UNAVAILABLE; each key is sent once, so no peer has it."""
    raise BerylcartError(Code.PEER_UNAVAILABLE, "not in this experiment")


def quantile_ms(latencies_s: list[float], fraction: float) -> float:
    """Return a quantile in milliseconds, or 0 without samples.

    >>> quantile_ms([0.001, 0.002, 0.004], 0.5)
    2.0
    """
    if not latencies_s:
        return 0.0
    index = min(len(latencies_s) - 1, math.floor(fraction * len(latencies_s)))
    return round(sorted(latencies_s)[index] * MS_PER_S, 2)


async def measure_throughput(max_records: int) -> Throughput:
    """Load all keepers for DURATION_S with up to max_records per append."""
    log = RateLimitedLog(APPENDS_PER_S, APPEND_LATENCY_S)
    settings = ClaimSettings(batch=BatchSettings(max_records=max_records))
    keepers = [
        ClaimCoordinator(log, f"d{number}", 1, refuse_collection, settings)
        for number in range(DAEMON_COUNT)
    ]
    claim_load = ClaimLoad()
    processor_s = time.process_time()
    with anyio.move_on_after(DURATION_S):
        async with anyio.create_task_group() as tasks:
            for keeper in keepers:
                tasks.start_soon(keeper.run)
                for _ in range(SENDERS_PER_DAEMON):
                    tasks.start_soon(claim_load.send_claims, keeper)
    processor_s = time.process_time() - processor_s
    claims = len(claim_load.latencies_s)
    return Throughput(
        max_records=max_records,
        claims_per_s=round(claims / DURATION_S, 1),
        appends_per_s=round(log.appends / DURATION_S, 1),
        records_per_append=round(log.records / max(1, log.appends), 2),
        p50_ms=quantile_ms(claim_load.latencies_s, 0.5),
        p99_ms=quantile_ms(claim_load.latencies_s, 0.99),
        refused=claim_load.refused,
        processor_us_per_claim=round(
            processor_s * US_PER_S / max(1, claims), 1
        ),
    )


def make_claim(number: int) -> Claim:
    """Build a claim like a decoded log record, which shares no strings."""
    claimant = f"d{number % DAEMON_COUNT}/1700000000000"
    fields = Claim(
        key_digest=digest("tailors", "booking", f"k{number}"),
        workspace="tailors",
        service="booking",
        claimant=claimant,
        claim_id=f"{claimant}.0a1b2c3d4e5f.{number}",
        fingerprint=fingerprint(str(number).encode()),
    )
    return Claim(*json.loads(json.dumps(fields)))


def make_log_entries(count: int) -> list[LogEntry]:
    """Build log entries for a number of claims and their outcomes."""
    entries = []
    for number in range(count):
        claim = make_claim(number)
        outcome = Outcome(
            claim.key_digest, claim.claim_id, "yes", 0, claim.fingerprint
        )
        entries.append(LogEntry(2 * number, number, claim))
        entries.append(LogEntry(2 * number + 1, number, outcome))
    return entries


def measure_memory(count: int) -> LedgerMemory:
    """Measure a ledger that folds a number of claims and outcomes."""
    entries = make_log_entries(count)
    ledger = ClaimLedger(ClaimRules())
    processor_s = time.process_time()
    for entry in entries:
        ledger.fold(entry)
    processor_s = time.process_time() - processor_s
    del entries, ledger
    gc.collect()
    return LedgerMemory(
        claims=count,
        bytes_per_claim=round(measure_ledger_bytes(count) / count, 1),
        processor_us_per_claim=round(processor_s * US_PER_S / count, 2),
    )


def measure_ledger_bytes(count: int) -> int:
    """Trace the bytes a ledger retains once its input records are freed."""
    tracemalloc.start()
    ledger = ClaimLedger(ClaimRules())
    for entry in make_log_entries(count):
        ledger.fold(entry)
    gc.collect()
    held_bytes = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    return held_bytes


def run_claims_cost() -> ClaimsCost:
    """Run all measurements in real time."""
    return ClaimsCost(
        experiment="claims-cost",
        appends_per_s_limit=APPENDS_PER_S,
        append_ms=APPEND_LATENCY_S * MS_PER_S,
        daemons=DAEMON_COUNT,
        senders=DAEMON_COUNT * SENDERS_PER_DAEMON,
        batched=anyio.run(measure_throughput, BatchSettings().max_records),
        unbatched=anyio.run(measure_throughput, 1),
        memory=[measure_memory(count) for count in CLAIM_COUNTS],
    )


def main() -> None:
    """Run the experiment and print its results as one line of JSON."""
    sys.stdout.write(f"{json.dumps(run_claims_cost())}\n")


if __name__ == "__main__":
    main()
