"""Parser of the operator's configuration text."""

from collections.abc import Iterable, Iterator
from typing import Any

from berylcart.state.config import FORMAT_VERSION, Configuration
from berylcart.state.config_blocks import (
    Block,
    ConfigFault,
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
MAX_SHOWN_FAULTS = 3


class ConfigTextError(BerylcartError):
    """CONFIG_INVALID error with all faults of a configuration text."""

    def __init__(self, faults: Iterable[ConfigFault]) -> None:
        self.faults = tuple(sorted(set(faults)))
        super().__init__(Code.CONFIG_INVALID, describe_faults(self.faults))


def describe_faults(faults: tuple[ConfigFault, ...]) -> str:
    """Join the first MAX_SHOWN_FAULTS faults and count the others.

    >>> describe_faults((ConfigFault(1, "", "no format"),))
    'line 1: no format'
    """
    shown = "; ".join(str(fault) for fault in faults[:MAX_SHOWN_FAULTS])
    rest = len(faults) - MAX_SHOWN_FAULTS
    return f"{shown}; and {rest} more" if rest > 0 else shown


def parse(text: str) -> Configuration:
    r"""Parse a configuration text.

    Raises ConfigTextError, which contains every fault with its line.

    >>> text = 'format = 1\n[place.lahore-1]\nregion = "punjab"\n'
    >>> parse(text).places["lahore-1"].region
    'punjab'
    """
    check_size(text)
    preamble, *blocks = split_blocks(text)
    parsed = [parse_block(block.text) for block in blocks]
    faults = [*check_preamble(preamble), *locate_faults(blocks, parsed)]
    faults += find_duplicate_tables(blocks, parsed)
    if faults:
        raise ConfigTextError(faults)
    configuration = build_configuration(parsed)
    rule_faults = find_rule_faults(configuration)
    if rule_faults:
        raise ConfigTextError(locate_rule_faults(blocks, parsed, rule_faults))
    return configuration


def check_size(text: str) -> None:
    """Raise ConfigTextError if a text exceeds MAX_TEXT_BYTES."""
    if len(text) > MAX_TEXT_BYTES:
        size = len(text)
    else:
        size = len(text.encode("utf-8", "surrogatepass"))
    if size > MAX_TEXT_BYTES:
        detail = f"the text exceeds {MAX_TEXT_BYTES} bytes"
        raise ConfigTextError([ConfigFault(1, "", detail)])


def check_preamble(preamble: Block) -> Iterator[ConfigFault]:
    """Check that only the format is set before the first table."""
    table = read_toml(preamble.text)
    if isinstance(table, ConfigFault):
        yield table
        return
    if "format" not in table:
        yield ConfigFault(1, "format", f"expected format = {FORMAT_VERSION}")
    for key, value in table.items():
        line = find_key_line(preamble.text, key)
        if key != "format":
            yield ConfigFault(line, key, "unknown key")
        elif type(value) is not int or value != FORMAT_VERSION:
            yield ConfigFault(line, key, f"expected {FORMAT_VERSION}")


def locate_faults(
    blocks: list[Block], parsed: list[ParsedBlock]
) -> Iterator[ConfigFault]:
    """Convert the line numbers of blocks' faults to those of the text."""
    for block, result in zip(blocks, parsed, strict=True):
        for fault in result.faults:
            yield fault._replace(line=block.line + fault.line - 1)


def find_duplicate_tables(
    blocks: list[Block], parsed: list[ParsedBlock]
) -> Iterator[ConfigFault]:
    """Find tables that are defined more than once."""
    seen_paths = set()
    for block, result in zip(blocks, parsed, strict=True):
        path = f"{result.kind}.{result.name}"
        if result.kind and path in seen_paths:
            yield ConfigFault(block.line, path, "stands more than once")
        seen_paths.add(path)


def build_configuration(parsed: list[ParsedBlock]) -> Configuration:
    """Build a configuration from the values of valid blocks."""
    values: dict[str, dict[str, Any]] = {kind: {} for kind in TABLES}
    for block in parsed:
        values[block.kind][block.name] = block.value
    return Configuration(
        values["place"],
        values["service"],
        values["pipeline"],
        values["workspace"],
    )


def locate_rule_faults(
    blocks: list[Block],
    parsed: list[ParsedBlock],
    faults: Iterable[RuleFault],
) -> Iterator[ConfigFault]:
    """Convert violated rules to faults with line numbers."""
    blocks_by_path = {
        f"{result.kind}.{result.name}": block
        for block, result in zip(blocks, parsed, strict=True)
    }
    for fault in faults:
        table_path, _, key = fault.path.rpartition(".")
        block = blocks_by_path[table_path]
        line = block.line + find_key_line(block.text, key) - 1
        yield ConfigFault(line, fault.path, fault.detail)
