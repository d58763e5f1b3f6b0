"""Measure what claims cost: appends, latency, memory, processor time."""

import gc
import json
import math
import sys
import time
import tracemalloc
from typing import TypedDict

import anyio
from berylcart.coordination.claims.answers import Collected, StoredAnswer
from berylcart.coordination.claims.batch import BatchSettings
from berylcart.coordination.claims.keeper import ClaimKeeper
from berylcart.coordination.claims.results import ClaimSettings, Granted
from berylcart.state.claim_keys import digest, fingerprint
from berylcart.state.claim_ledger import ClaimLedger, ClaimRules
from berylcart.state.errors import BerylcartError, Code, Ran
from berylcart.state.records import Claim, LogEntry, Outcome

from berylcart_tools.experiments.rated_log import RatedLog

APPENDS_PER_S = 300
APPEND_S = 0.005
DAEMON_COUNT = 7
SENDERS_PER_DAEMON = 32
DURATION_S = 5.0
MEMORY_COUNTS = (1_000, 10_000, 100_000)
MS_PER_S = 1000
US_PER_S = 1_000_000
ANSWER = StoredAnswer(Ran.YES, 0, b'{"slot":9}')


class Throughput(TypedDict):
    """Hold one load's figures; a claim costs a claim and an outcome."""

    max_records: int
    claims_per_s: float
    appends_per_s: float
    records_per_append: float
    p50_ms: float
    p99_ms: float
    refused: int
    processor_us_per_claim: float


class Memory(TypedDict):
    """Hold what a ledger takes for a number of claims."""

    claims: int
    bytes_per_claim: float
    processor_us_per_claim: float


class ClaimsCost(TypedDict):
    """Hold the experiment's figures."""

    experiment: str
    appends_per_s_limit: int
    append_ms: float
    daemons: int
    senders: int
    batched: Throughput
    unbatched: Throughput
    memory: list[Memory]


class Load:
    """Send new requests one after another from many senders."""

    def __init__(self) -> None:
        self.waits_s: list[float] = []
        self.refused = 0
        self.count = 0

    async def send_all(self, keeper: ClaimKeeper) -> None:
        """Claim and finish new requests until cancelled."""
        while True:
            self.count += 1
            begun = time.perf_counter()
            try:
                claimed = await keeper.claim(
                    f"k{self.count}", "tailors", "booking", b"{}"
                )
            except BerylcartError:
                self.refused += 1
                await anyio.sleep(APPEND_S)
                continue
            self.waits_s.append(time.perf_counter() - begun)
            if isinstance(claimed, Granted):
                keeper.finish(claimed.claim_id, ANSWER)


async def collect_nothing(*_: str) -> Collected:
    """Refuse to ask peers: each key is sent once."""
    raise BerylcartError(Code.PEER_UNAVAILABLE, "not in this experiment")


def quantile_ms(waits_s: list[float], share: float) -> float:
    """Give a quantile in milliseconds, 0 for no waits.

    >>> quantile_ms([0.001, 0.002, 0.004], 0.5)
    2.0
    """
    if not waits_s:
        return 0.0
    index = min(len(waits_s) - 1, math.floor(share * len(waits_s)))
    return round(sorted(waits_s)[index] * MS_PER_S, 2)


async def measure_throughput(max_records: int) -> Throughput:
    """Load all daemons for DURATION_S with appends of so many records."""
    log = RatedLog(APPENDS_PER_S, APPEND_S)
    settings = ClaimSettings(batch=BatchSettings(max_records=max_records))
    keepers = [
        ClaimKeeper(log, f"d{n}", 1, collect_nothing, settings)
        for n in range(DAEMON_COUNT)
    ]
    load = Load()
    processor_s = time.process_time()
    with anyio.move_on_after(DURATION_S):
        async with anyio.create_task_group() as tasks:
            for keeper in keepers:
                tasks.start_soon(keeper.run)
                for _ in range(SENDERS_PER_DAEMON):
                    tasks.start_soon(load.send_all, keeper)
    processor_s = time.process_time() - processor_s
    claims = len(load.waits_s)
    return Throughput(
        max_records=max_records,
        claims_per_s=round(claims / DURATION_S, 1),
        appends_per_s=round(log.appends / DURATION_S, 1),
        records_per_append=round(log.records / max(1, log.appends), 2),
        p50_ms=quantile_ms(load.waits_s, 0.5),
        p99_ms=quantile_ms(load.waits_s, 0.99),
        refused=load.refused,
        processor_us_per_claim=round(
            processor_s * US_PER_S / max(1, claims), 1
        ),
    )


def make_claim(n: int) -> Claim:
    """Make a claim as a log client decodes it, sharing no text."""
    claimant = f"d{n % DAEMON_COUNT}/1700000000000"
    fields = Claim(
        key_digest=digest("tailors", "booking", f"k{n}"),
        workspace="tailors",
        service="booking",
        claimant=claimant,
        claim_id=f"{claimant}.0a1b2c3d4e5f.{n}",
        fingerprint=fingerprint(str(n).encode()),
    )
    return Claim(*json.loads(json.dumps(fields)))


def make_entries(count: int) -> list[LogEntry]:
    """Make so many claims, each with its outcome."""
    entries = []
    for n in range(count):
        claim = make_claim(n)
        outcome = Outcome(
            claim.key_digest, claim.claim_id, "yes", 0, claim.fingerprint
        )
        entries.append(LogEntry(2 * n, n, claim))
        entries.append(LogEntry(2 * n + 1, n, outcome))
    return entries


def measure_memory(count: int) -> Memory:
    """Fold so many claims with their outcomes into a new ledger."""
    entries = make_entries(count)
    ledger = ClaimLedger(ClaimRules())
    processor_s = time.process_time()
    for entry in entries:
        ledger.fold(entry)
    processor_s = time.process_time() - processor_s
    del entries, ledger
    gc.collect()
    return Memory(
        claims=count,
        bytes_per_claim=round(traced_bytes(count) / count, 1),
        processor_us_per_claim=round(processor_s * US_PER_S / count, 2),
    )


def traced_bytes(count: int) -> int:
    """Count the bytes that a ledger keeps, with its records gone."""
    tracemalloc.start()
    ledger = ClaimLedger(ClaimRules())
    for entry in make_entries(count):
        ledger.fold(entry)
    gc.collect()
    kept = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    return kept


def run_claims_cost() -> ClaimsCost:
    """Run the whole experiment in real time."""
    return ClaimsCost(
        experiment="claims-cost",
        appends_per_s_limit=APPENDS_PER_S,
        append_ms=APPEND_S * MS_PER_S,
        daemons=DAEMON_COUNT,
        senders=DAEMON_COUNT * SENDERS_PER_DAEMON,
        batched=anyio.run(measure_throughput, BatchSettings().max_records),
        unbatched=anyio.run(measure_throughput, 1),
        memory=[measure_memory(count) for count in MEMORY_COUNTS],
    )


def main() -> None:
    """Print one line of JSON."""
    sys.stdout.write(f"{json.dumps(run_claims_cost())}\n")


if __name__ == "__main__":
    main()
