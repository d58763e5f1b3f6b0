"""Test that the code table in the docs matches the source code."""

from pathlib import Path

from berylcart.state.errors import CODE_INFO, Code

ERRORS_PAGE = Path(__file__).parents[4] / "docs" / "ERRORS.md"


def expected_row(code: Code) -> str:
    """Return the row of a code as the docs page must have it."""
    info = CODE_INFO[code]
    cells = [
        str(int(code)),
        code.name,
        str(info.http_status),
        str(info.exit_status),
        info.meaning,
    ]
    return f"| {' | '.join(cells)} |"


def test_every_code_has_an_entry():
    assert set(CODE_INFO) == set(Code)


def test_errors_page_matches_the_code_table():
    lines = ERRORS_PAGE.read_text(encoding="utf-8").splitlines()
    rows = [line for line in lines if line[2:6].isdigit()]
    assert rows == [expected_row(code) for code in CODE_INFO]


def test_exit_statuses_are_valid_in_a_shell():
    assert all(0 < info.exit_status < 126 for info in CODE_INFO.values())
