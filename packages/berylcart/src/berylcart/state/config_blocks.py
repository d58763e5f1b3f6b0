"""Split a configuration text into one block per table and parse each.

Faults are collected per block with their line numbers. Parsed blocks are
cached, so a block that is unchanged in the next text is not parsed again.
"""

import re
import tomllib
from functools import lru_cache
from typing import Any, NamedTuple

from berylcart.state.config_tables import (
    NAME_PATTERN,
    TABLES,
    Value,
    build_value,
)

MAX_BLOCK_CHARS = 64 * 1024
BLOCK_CACHE_SIZE = 32_768

HEADER = re.compile(r"\[([a-z]+)\.([^\s\[\]#.]+)\][ \t]*(?:#.*)?")
BLOCK_START = re.compile(r"^(?=\[)", re.MULTILINE)
NAME = re.compile(NAME_PATTERN)
TOML_ERROR_LINE = re.compile(r"at line (\d+)")

# Syntax on which versions of TOML differ is not permitted, so that every
# daemon parses a text to the same configuration.
FORBIDDEN_CHARACTERS = re.compile(
    r"[\x00-\x08\x0b-\x1f\x7f-\x9f\u2028\u2029\ufeff\ud800-\udfff]"
)
STRING_OR_COMMENT = re.compile(r"\"[^\"\n]*\"|'[^'\n]*'|#[^\n]*")
FORBIDDEN_SYNTAX = {
    re.compile(r"\\"): "backslashes are not permitted",
    re.compile(r"\"\"\"|'''"): "multi-line strings are not permitted",
    re.compile(r"\{[^}\n]*(?:\n|\Z)"): "an inline table ends on its line",
    re.compile(r",[ \t]*\}"): "a comma before } is not permitted",
}


class ConfigFault(NamedTuple):
    """Describe one fault of a text; line counts from 1."""

    line: int
    path: str
    detail: str

    def __str__(self) -> str:
        """Return the line, the path and the detail.

        >>> detail = "Input should be 'engine'"
        >>> fault = ConfigFault(3, "service.slots.kind", detail)
        >>> str(fault)
        "line 3: service.slots.kind: Input should be 'engine'"
        """
        path = f"{self.path}: " if self.path else ""
        return f"line {self.line}: {path}{self.detail}"


class Block(NamedTuple):
    """Hold the text of one table and its first line number."""

    line: int
    text: str


class ParsedBlock(NamedTuple):
    """Hold the value of one block; its faults' lines are relative to it."""

    kind: str
    name: str
    value: Value | None
    faults: tuple[ConfigFault, ...]


def split_blocks(text: str) -> list[Block]:
    r"""Split a text before every line that starts with a bracket.

    >>> split_blocks("format = 1\n[place.a]\nregion = 'r'\n")[1]
    Block(line=2, text="[place.a]\nregion = 'r'\n")
    """
    blocks = []
    line = 1
    for part in BLOCK_START.split(text.replace("\r\n", "\n")):
        blocks.append(Block(line, part))
        line += part.count("\n")
    return blocks


@lru_cache(maxsize=BLOCK_CACHE_SIZE)
def parse_block(text: str) -> ParsedBlock:
    """Parse the text of one table."""
    match = HEADER.fullmatch(text.partition("\n")[0])
    if match is None or match[1] not in TABLES:
        kinds = "|".join(TABLES)
        detail = f"expected a table [{kinds}.NAME]"
        return ParsedBlock("", "", None, (ConfigFault(1, "", detail),))
    kind, name = match.groups()
    path = f"{kind}.{name}"
    if not NAME.fullmatch(name):
        fault = ConfigFault(
            1, path, "the name has other characters than A-Za-z0-9_-"
        )
        return ParsedBlock(kind, name, None, (fault,))
    table = read_toml(text)
    if isinstance(table, ConfigFault):
        return ParsedBlock(kind, name, None, (table._replace(path=path),))
    value, faults = build_value(kind, name, table[kind][name])
    located = tuple(
        ConfigFault(
            find_key_line(text, fault.key),
            f"{path}.{fault.key}" if fault.key else path,
            fault.detail,
        )
        for fault in faults
    )
    return ParsedBlock(kind, name, value, located)


def read_toml(text: str) -> dict[str, Any] | ConfigFault:
    """Parse the TOML of a block, or return its first fault."""
    fault = find_forbidden_syntax(text)
    if fault is not None:
        return fault
    try:
        return tomllib.loads(text)
    except tomllib.TOMLDecodeError as error:
        match = TOML_ERROR_LINE.search(str(error))
        line = int(match[1]) if match else text.rstrip().count("\n") + 1
        return ConfigFault(line, "", str(error))
    except (ValueError, RecursionError) as error:
        return ConfigFault(1, "", f"not TOML: {type(error).__name__}")


def find_forbidden_syntax(text: str) -> ConfigFault | None:
    """Find the first use of syntax on which versions of TOML differ."""
    if len(text) > MAX_BLOCK_CHARS:
        return ConfigFault(1, "", f"exceeds {MAX_BLOCK_CHARS} characters")
    control = FORBIDDEN_CHARACTERS.search(text)
    if control:
        line = line_of(text, control.start())
        return ConfigFault(line, "", "control characters are not permitted")
    code = STRING_OR_COMMENT.sub(strip_comment, text)
    for pattern, detail in FORBIDDEN_SYNTAX.items():
        match = pattern.search(code)
        if match:
            return ConfigFault(line_of(code, match.start()), "", detail)
    return None


def strip_comment(match: re.Match[str]) -> str:
    """Replace a matched comment by nothing and keep a matched string.

    >>> STRING_OR_COMMENT.sub(strip_comment, "tier = 'a#b' # why")
    "tier = 'a#b' "
    """
    return "" if match[0].startswith("#") else match[0]


def line_of(text: str, position: int) -> int:
    r"""Return the line number of a position, from 1.

    >>> line_of("a\nb", 2)
    2
    """
    return text.count("\n", 0, position) + 1


def find_key_line(text: str, key: str) -> int:
    r"""Return the line that sets a key, 1 if there is none.

    >>> find_key_line("[place.a]\nregion = 'r'", "region")
    2
    """
    pattern = rf"^[ \t]*[\"']?{re.escape(key)}[\"']?[ \t]*[.=]"
    match = re.search(pattern, text, re.MULTILINE) if key else None
    return line_of(text, match.start()) if match else 1
