"""Test that the operations page lists every setting and its default."""

from pathlib import Path

from berylcart_daemon.settings import Settings

PAGE = Path(__file__).parents[3] / "docs" / "OPERATIONS.md"


def format_default(section, name):
    """Format a default value as the page does."""
    if name not in section._field_defaults:
        return "required"
    default = section._field_defaults[name]
    return "none" if default in (None, ()) else str(default)


def expected_settings():
    """Give the default of every key defined in the code."""
    return {
        f"{section_name}.{name}": format_default(section, name)
        for section_name, section in Settings.__annotations__.items()
        for name in section._fields
    }


def listed_settings():
    """Give the default of every key listed on the page."""
    rows = [
        [cell.strip() for cell in line.split("|")]
        for line in PAGE.read_text(encoding="utf-8").splitlines()
        if line.startswith("| `") and line.count("|") == 4
    ]
    sections = set(Settings.__annotations__)
    return {
        row[1].strip("`"): row[2]
        for row in rows
        if row[1].strip("`").partition(".")[0] in sections
        and "_total" not in row[1]
    }


def test_page_lists_every_setting_with_its_default():
    assert listed_settings() == expected_settings()
