"""Cut a configuration text into one block per table and parse each.

Every block gets its own faults with their lines, and a block that stands
unchanged in the next text is parsed once.
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
TOML_LINE = re.compile(r"at line (\d+)")

# Releases of TOML differ in these, so the text does without them.
REFUSED_ANYWHERE = re.compile(
    r"[\x00-\x08\x0b-\x1f\x7f-\x9f\u2028\u2029\ufeff\ud800-\udfff]"
)
STRING_OR_COMMENT = re.compile(r"\"[^\"\n]*\"|'[^'\n]*'|#[^\n]*")
REFUSED_OUTSIDE_COMMENTS = {
    re.compile(r"\\"): "backslashes are not permitted",
    re.compile(r"\"\"\"|'''"): "multi-line strings are not permitted",
    re.compile(r"\{[^}\n]*(?:\n|\Z)"): "an inline table ends on its line",
    re.compile(r",[ \t]*\}"): "a comma before } is not permitted",
}


class Fault(NamedTuple):
    """Place one fault of a text; line counts from 1."""

    line: int
    path: str
    detail: str

    def __str__(self) -> str:
        """Show the line, the path and the detail.

        >>> str(Fault(3, "service.slots.kind", "Input should be 'engine'"))
        "line 3: service.slots.kind: Input should be 'engine'"
        """
        path = f"{self.path}: " if self.path else ""
        return f"line {self.line}: {path}{self.detail}"


class Block(NamedTuple):
    """Hold the lines of one table and where they start."""

    line: int
    text: str


class ParsedBlock(NamedTuple):
    """Hold what one block says; the faults' lines count within it."""

    kind: str
    name: str
    value: Value | None
    faults: tuple[Fault, ...]


def split_blocks(text: str) -> list[Block]:
    r"""Cut a text before every line that starts with a bracket.

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
        return ParsedBlock("", "", None, (Fault(1, "", detail),))
    kind, name = match.groups()
    path = f"{kind}.{name}"
    if not NAME.fullmatch(name):
        fault = Fault(
            1, path, "the name has other characters than A-Za-z0-9_-"
        )
        return ParsedBlock(kind, name, None, (fault,))
    table = read_toml(text)
    if isinstance(table, Fault):
        return ParsedBlock(kind, name, None, (table._replace(path=path),))
    value, faults = build_value(kind, name, table[kind][name])
    placed = tuple(
        Fault(
            find_key_line(text, fault.key),
            f"{path}.{fault.key}" if fault.key else path,
            fault.detail,
        )
        for fault in faults
    )
    return ParsedBlock(kind, name, value, placed)


def read_toml(text: str) -> dict[str, Any] | Fault:
    """Read a block, or find the first place where it is not permitted."""
    fault = find_refused_syntax(text)
    if fault is not None:
        return fault
    try:
        return tomllib.loads(text)
    except tomllib.TOMLDecodeError as error:
        match = TOML_LINE.search(str(error))
        line = int(match[1]) if match else text.rstrip().count("\n") + 1
        return Fault(line, "", str(error))
    except (ValueError, RecursionError) as error:
        return Fault(1, "", f"not TOML: {type(error).__name__}")


def find_refused_syntax(text: str) -> Fault | None:
    """Find the first use of syntax that releases of TOML judge unlike."""
    if len(text) > MAX_BLOCK_CHARS:
        return Fault(1, "", f"exceeds {MAX_BLOCK_CHARS} characters")
    control = REFUSED_ANYWHERE.search(text)
    if control:
        line = line_of(text, control.start())
        return Fault(line, "", "control characters are not permitted")
    code = STRING_OR_COMMENT.sub(drop_comment, text)
    for pattern, detail in REFUSED_OUTSIDE_COMMENTS.items():
        match = pattern.search(code)
        if match:
            return Fault(line_of(code, match.start()), "", detail)
    return None


def drop_comment(match: re.Match[str]) -> str:
    """Keep a string and drop a comment.

    >>> STRING_OR_COMMENT.sub(drop_comment, "tier = 'a#b' # why")
    "tier = 'a#b' "
    """
    return "" if match[0].startswith("#") else match[0]


def line_of(text: str, position: int) -> int:
    r"""Count the line of a position, from 1.

    >>> line_of("a\nb", 2)
    2
    """
    return text.count("\n", 0, position) + 1


def find_key_line(text: str, key: str) -> int:
    r"""Find the line that sets a key; 1 when none does.

    >>> find_key_line("[place.a]\nregion = 'r'", "region")
    2
    """
    pattern = rf"^[ \t]*[\"']?{re.escape(key)}[\"']?[ \t]*[.=]"
    match = re.search(pattern, text, re.MULTILINE) if key else None
    return line_of(text, match.start()) if match else 1
