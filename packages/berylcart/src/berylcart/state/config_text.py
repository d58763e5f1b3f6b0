"""Parse the operator's configuration text into typed values."""

from collections.abc import Iterable, Iterator
from typing import Any

from berylcart.state.config import FORMAT_VERSION, Configuration
from berylcart.state.config_blocks import (
    Block,
    Fault,
    ParsedBlock,
    find_key_line,
    parse_block,
    read_toml,
    split_blocks,
)
from berylcart.state.config_rules import RuleFault, find_rule_faults
from berylcart.state.config_tables import TABLES
from berylcart.state.errors import BerylcartError, Code

MAX_TEXT_BYTES = 4 * 1024 * 1024
SHOWN_FAULTS = 3


class ConfigTextError(BerylcartError):
    """Carry every fault of a configuration text; CONFIG_INVALID."""

    def __init__(self, faults: Iterable[Fault]) -> None:
        self.faults = tuple(sorted(set(faults)))
        super().__init__(Code.CONFIG_INVALID, describe_faults(self.faults))


def describe_faults(faults: tuple[Fault, ...]) -> str:
    """Join the first few faults and count the rest.

    >>> describe_faults((Fault(1, "", "no format"),))
    'line 1: no format'
    """
    shown = "; ".join(str(fault) for fault in faults[:SHOWN_FAULTS])
    rest = len(faults) - SHOWN_FAULTS
    return f"{shown}; and {rest} more" if rest > 0 else shown


def parse(text: str) -> Configuration:
    r"""Parse a configuration text.

    Raises ConfigTextError, which names every fault and its line.

    >>> text = 'format = 1\n[place.lahore-1]\nregion = "punjab"\n'
    >>> parse(text).places["lahore-1"].region
    'punjab'
    """
    check_size(text)
    head, *blocks = split_blocks(text)
    parsed = [parse_block(block.text) for block in blocks]
    faults = [*check_head(head), *place_faults(blocks, parsed)]
    faults += find_doubles(blocks, parsed)
    if faults:
        raise ConfigTextError(faults)
    configuration = collect(parsed)
    rule_faults = find_rule_faults(configuration)
    if rule_faults:
        raise ConfigTextError(place_rule_faults(blocks, parsed, rule_faults))
    return configuration


def check_size(text: str) -> None:
    """Refuse a text that is too large or not Unicode."""
    if len(text) > MAX_TEXT_BYTES:
        size = len(text)
    else:
        size = len(text.encode("utf-8", "surrogatepass"))
    if size > MAX_TEXT_BYTES:
        detail = f"the text exceeds {MAX_TEXT_BYTES} bytes"
        raise ConfigTextError([Fault(1, "", detail)])


def check_head(head: Block) -> Iterator[Fault]:
    """Check the lines before the first table: the format alone."""
    table = read_toml(head.text)
    if isinstance(table, Fault):
        yield table
        return
    if "format" not in table:
        yield Fault(1, "format", f"expected format = {FORMAT_VERSION}")
    for key, value in table.items():
        line = find_key_line(head.text, key)
        if key != "format":
            yield Fault(line, key, "unknown key")
        elif type(value) is not int or value != FORMAT_VERSION:
            yield Fault(line, key, f"expected {FORMAT_VERSION}")


def place_faults(
    blocks: list[Block], parsed: list[ParsedBlock]
) -> Iterator[Fault]:
    """Count the lines of the blocks' faults from the start of the text."""
    for block, result in zip(blocks, parsed, strict=True):
        for fault in result.faults:
            yield fault._replace(line=block.line + fault.line - 1)


def find_doubles(
    blocks: list[Block], parsed: list[ParsedBlock]
) -> Iterator[Fault]:
    """Find tables that stand more than once."""
    seen = set()
    for block, result in zip(blocks, parsed, strict=True):
        path = f"{result.kind}.{result.name}"
        if result.kind and path in seen:
            yield Fault(block.line, path, "stands more than once")
        seen.add(path)


def collect(parsed: list[ParsedBlock]) -> Configuration:
    """Gather the values of valid blocks by kind and name."""
    values: dict[str, dict[str, Any]] = {kind: {} for kind in TABLES}
    for block in parsed:
        values[block.kind][block.name] = block.value
    return Configuration(
        values["place"],
        values["service"],
        values["pipeline"],
        values["workspace"],
    )


def place_rule_faults(
    blocks: list[Block],
    parsed: list[ParsedBlock],
    faults: Iterable[RuleFault],
) -> Iterator[Fault]:
    """Find the lines of faults across values."""
    by_path = {
        f"{result.kind}.{result.name}": block
        for block, result in zip(blocks, parsed, strict=True)
    }
    for fault in faults:
        table_path, _, key = fault.path.rpartition(".")
        block = by_path[table_path]
        line = block.line + find_key_line(block.text, key) - 1
        yield Fault(line, fault.path, fault.detail)
