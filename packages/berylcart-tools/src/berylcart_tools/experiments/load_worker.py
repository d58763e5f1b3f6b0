"""Send a slice of a run's arrivals from a process of its own.

One process can't send several hundred calls a second on time, and a late
client would measure itself.
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
from berylcart_tools.experiments.load_client import EntryList, LoadClient


class Slice(NamedTuple):
    """Hold what one worker sends; start_s is of the monotonic clock."""

    arrivals: list[Arrival]
    addresses: tuple[str, ...]
    delay_ms: float
    start_s: float
    seed: int


async def send_slice(part: Slice) -> LoadClient:
    """Send the arrivals of a slice at their times."""
    async with HttpClient() as client:
        entries = EntryList(client, part.addresses, Random(part.seed))
        load = LoadClient(entries, part.delay_ms)
        await load.run(part.arrivals, part.start_s)
        await load.aclose()
    return load


def main() -> None:
    """Send the slice of a file and write its outcomes to another."""
    source, target = map(Path, sys.argv[1:3])
    part: Slice = pickle.loads(source.read_bytes())
    load = anyio.run(send_slice, part)
    target.write_text(json.dumps(load.outcomes))


if __name__ == "__main__":
    main()
