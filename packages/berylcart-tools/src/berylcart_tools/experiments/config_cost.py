"""Measure the cost of a configuration change as the text grows.

Run it as a module; it prints one line of JSON. Times are CPU time in
milliseconds on each daemon; a change replaces one workspace table.
"""

import json
import sys
import time
import tracemalloc
import zlib
from collections.abc import Callable
from typing import TypedDict

import numpy as np
from berylcart.state.config_blocks import parse_block
from berylcart.state.config_fold import INITIAL_STATE, fold, to_checkpoint
from berylcart.state.config_text import parse
from berylcart.state.records import LogEntry, Publication

SIZES = (220, 700, 2_200, 7_000, 22_000)
CHANGES = 3
CHANGES_PER_DAY = 3_500
SECONDS_PER_DAY = 86_400
MS_PER_S = 1000
PLACES = ("lahore-1", "lahore-2", "lahore-3")


class ChangeCost(TypedDict):
    """Hold the costs for a configuration text with a number of workspaces."""

    workspaces: int
    text_bytes: int
    compressed_bytes: int
    first_parse_ms: float
    fold_change_ms: float
    held_bytes: int


def write_text(workspaces: int, changed: int = 0) -> str:
    """Generate a configuration; the changed workspace has another share."""
    parts = ["format = 1\n"]
    parts += [f'[place.{name}]\nregion = "punjab"\n' for name in PLACES]
    names = json.dumps(PLACES)
    parts.append(f'[service.model]\nkind = "engine"\nplaces = {names}\n')
    parts.append('[pipeline.draft]\nstages = ["model"]\n')
    for number in range(workspaces):
        share = 2.0 if number == changed else 1.0
        parts.append(
            f"[workspace.w{number}]\nplaces = {names}\n"
            f"share = {share}\nmax_in_flight = {16 + number % 7}\n"
        )
    return "".join(parts)


def measure_cpu_ms(function: Callable[[], object]) -> float:
    """Return the CPU time of a function call in milliseconds."""
    start_s = time.process_time()
    function()
    return (time.process_time() - start_s) * MS_PER_S


def measure_cost(workspaces: int) -> ChangeCost:
    """Measure the costs for one number of workspaces."""
    text = write_text(workspaces)
    parse_block.cache_clear()
    first_parse_ms = measure_cpu_ms(lambda: parse(text))
    state = fold(
        INITIAL_STATE, LogEntry(0, 0, Publication("p", None, 1, text))
    )
    entries = [
        LogEntry(
            offset,
            0,
            Publication(f"p{offset}", None, 1, write_text(workspaces, offset)),
        )
        for offset in range(1, CHANGES + 1)
    ]

    def fold_changes() -> None:
        after = state
        for entry in entries:
            after = fold(after, entry)
        to_checkpoint(after)

    return ChangeCost(
        workspaces=workspaces,
        text_bytes=len(text.encode()),
        compressed_bytes=len(zlib.compress(text.encode())),
        first_parse_ms=round(first_parse_ms, 2),
        fold_change_ms=round(measure_cpu_ms(fold_changes) / CHANGES, 2),
        held_bytes=measure_held_bytes(text),
    )


def measure_held_bytes(text: str) -> int:
    """Trace the memory that a parsed text and its cached blocks retain."""
    parse_block.cache_clear()
    tracemalloc.start()
    configuration = parse(text)
    held_bytes, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    del configuration
    return held_bytes


def growth_exponent(costs: list[ChangeCost], key: str) -> float:
    """Fit the exponent of a power law of a cost over the workspaces."""
    sizes = [cost["workspaces"] for cost in costs]
    values = [cost[key] for cost in costs]  # type: ignore[literal-required]
    return round(float(np.polyfit(np.log(sizes), np.log(values), 1)[0]), 2)


def main() -> None:
    """Measure every size and print the results as one line of JSON."""
    costs = [measure_cost(size) for size in SIZES]
    last = costs[-1]
    rate = CHANGES_PER_DAY / SECONDS_PER_DAY
    report = {
        "experiment": "config_cost",
        "costs": costs,
        "slopes": {
            key: growth_exponent(costs, key)
            for key in ("first_parse_ms", "fold_change_ms", "text_bytes")
        },
        "core_share": round(last["fold_change_ms"] / MS_PER_S * rate, 6),
        "bytes_per_s": round(last["text_bytes"] * rate),
        "compressed_bytes_per_s": round(last["compressed_bytes"] * rate),
    }
    sys.stdout.write(json.dumps(report) + "\n")


if __name__ == "__main__":
    main()
