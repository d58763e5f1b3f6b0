"""Worker process that sends a share of the arrivals of a run.

A single process can't send several hundred calls per second on time, and its
own delay would then show up in the measured latencies.
"""

import json
import pickle
import sys
from pathlib import Path
from random import Random
from typing import NamedTuple

import anyio
from berylcart.transport.http_client import HttpClient

from berylcart_tools.experiments.arrivals import Arrival
from berylcart_tools.experiments.load_client import EntryCache, LoadClient


class ArrivalSlice(NamedTuple):
    """Hold the input of one worker; start_s is on the monotonic clock."""

    arrivals: list[Arrival]
    addresses: tuple[str, ...]
    delay_ms: float
    start_s: float
    seed: int


async def send_arrivals(arrival_slice: ArrivalSlice) -> LoadClient:
    """Send the arrivals of a slice at their scheduled times."""
    async with HttpClient() as entry_client:
        entries = EntryCache(
            entry_client, arrival_slice.addresses, Random(arrival_slice.seed)
        )
        client = LoadClient(entries, arrival_slice.delay_ms)
        await client.run(arrival_slice.arrivals, arrival_slice.start_s)
        await client.aclose()
    return client


def main() -> None:
    """Send the slice in the input file and write its outcomes as JSON."""
    input_path, output_path = map(Path, sys.argv[1:3])
    arrival_slice: ArrivalSlice = pickle.loads(input_path.read_bytes())
    client = anyio.run(send_arrivals, arrival_slice)
    output_path.write_text(json.dumps(client.outcomes))


if __name__ == "__main__":
    main()
