"""Measure what a configuration change costs each daemon as the text grows.

Run it as a module; it prints one line of JSON. Times are the processor's,
in milliseconds; a change replaces one workspace's table.
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
from berylcart.state.config_fold import INITIAL_STATE, checkpoint_of, fold
from berylcart.state.config_text import parse
from berylcart.state.records import LogEntry, Publication

SIZES = (220, 700, 2_200, 7_000, 22_000)
CHANGES = 3
CHANGES_PER_DAY = 3_500
SECONDS_PER_DAY = 86_400
MS_PER_S = 1000
PLACES = ("lahore-1", "lahore-2", "lahore-3")


class Cost(TypedDict):
    """Hold the cost of one change of a text with many workspaces."""

    workspaces: int
    text_bytes: int
    compressed_bytes: int
    first_parse_ms: float
    fold_change_ms: float
    held_bytes: int


def write_text(workspaces: int, changed: int = 0) -> str:
    """Write a text; the changed workspace has another share."""
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


def spent_ms(work: Callable[[], object]) -> float:
    """Measure the processor time of some work."""
    start_s = time.process_time()
    work()
    return (time.process_time() - start_s) * MS_PER_S


def measure(workspaces: int) -> Cost:
    """Measure one size of text."""
    text = write_text(workspaces)
    parse_block.cache_clear()
    first_parse_ms = spent_ms(lambda: parse(text))
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
        checkpoint_of(after)

    return Cost(
        workspaces=workspaces,
        text_bytes=len(text.encode()),
        compressed_bytes=len(zlib.compress(text.encode())),
        first_parse_ms=round(first_parse_ms, 2),
        fold_change_ms=round(spent_ms(fold_changes) / CHANGES, 2),
        held_bytes=measure_held(text),
    )


def measure_held(text: str) -> int:
    """Measure the memory that a parsed text and its blocks take."""
    parse_block.cache_clear()
    tracemalloc.start()
    configuration = parse(text)
    held, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    del configuration
    return held


def slope(costs: list[Cost], key: str) -> float:
    """Fit the exponent with which a cost grows with the workspaces."""
    sizes = [cost["workspaces"] for cost in costs]
    values = [cost[key] for cost in costs]  # type: ignore[literal-required]
    return round(float(np.polyfit(np.log(sizes), np.log(values), 1)[0]), 2)


def main() -> None:
    """Measure every size and print one line of JSON."""
    costs = [measure(size) for size in SIZES]
    last = costs[-1]
    rate = CHANGES_PER_DAY / SECONDS_PER_DAY
    report = {
        "experiment": "config_cost",
        "costs": costs,
        "slopes": {
            key: slope(costs, key)
            for key in ("first_parse_ms", "fold_change_ms", "text_bytes")
        },
        "core_share": round(last["fold_change_ms"] / MS_PER_S * rate, 6),
        "bytes_per_s": round(last["text_bytes"] * rate),
        "compressed_bytes_per_s": round(last["compressed_bytes"] * rate),
    }
    sys.stdout.write(json.dumps(report) + "\n")


if __name__ == "__main__":
    main()
