"""Check that the table of codes in the docs equals the code."""

from pathlib import Path

from berylcart.state.errors import CODE_INFO, Code

ERRORS_PAGE = Path(__file__).parents[4] / "docs" / "ERRORS.md"


def row(code: Code) -> str:
    """Write one row as the page has it."""
    info = CODE_INFO[code]
    cells = [
        str(int(code)),
        code.name,
        str(info.http_status),
        str(info.exit_status),
        info.meaning,
    ]
    return f"| {' | '.join(cells)} |"


def test_every_code_is_described():
    assert set(CODE_INFO) == set(Code)


def test_page_equals_the_code():
    lines = ERRORS_PAGE.read_text(encoding="utf-8").splitlines()
    rows = [line for line in lines if line[2:6].isdigit()]
    assert rows == [row(code) for code in CODE_INFO]


def test_exit_statuses_fit_a_shell():
    assert all(0 < info.exit_status < 126 for info in CODE_INFO.values())
