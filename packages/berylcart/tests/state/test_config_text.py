"""Test that faults of a configuration text are reported with their line."""

import pytest
from berylcart.state.config_text import MAX_TEXT_BYTES, ConfigTextError, parse
from hypothesis import given, settings
from hypothesis import strategies as st

VALID = """\
format = 1
[place.lahore-1]
region = "punjab"
delay_ms = {lahore-2 = 1.5}
[place.lahore-2]
region = "punjab"
[service.model]
kind = "engine"
places = ["lahore-1", "lahore-2"]
[service.booking]
kind = "plain"
places = ["lahore-1"]
depends_on = ["model"]
idempotent = false
[pipeline.draft]
stages = ["model"]
deadline_ms = 2000
[workspace.clerks]
places = ["lahore-1"]
share = 2
"""


def faults_of(text):
    """Return the faults of an invalid text."""
    with pytest.raises(ConfigTextError) as caught:
        parse(text)
    return caught.value.faults


def test_valid_text():
    configuration = parse(VALID)
    assert configuration.services["booking"].depends_on == ("model",)
    assert not configuration.services["booking"].is_idempotent
    assert configuration.pipelines["draft"].deadline_ms == 2000
    assert configuration.workspaces["clerks"].share == 2.0
    assert configuration.places["lahore-1"].delay_ms == {"lahore-2": 1.5}


@pytest.mark.parametrize(
    ("old", "new", "line", "path", "detail"),
    [
        ("format = 1", "format = 2", 1, "format", "expected 1"),
        ("format = 1", "", 1, "format", "expected format = 1"),
        ("format = 1", "format = 1\nx = 1", 2, "x", "unknown key"),
        ('region = "punjab"\ndelay', "delay", 2, "place.lahore-1.region", ""),
        ("1.5", "nan", 4, "place.lahore-1.delay_ms", ""),
        ("1.5", "inf", 4, "place.lahore-1.delay_ms", ""),
        ("1.5", "-1", 4, "place.lahore-1.delay_ms", ""),
        ('"engine"', '"motor"', 8, "service.model.kind", "engine"),
        ("[service.model]", "[service.model", 7, "", "expected a table"),
        ("[service.model]", "[servise.model]", 7, "", "expected a table"),
        ("[service.model]", "[service]", 7, "", "expected a table"),
        ("[service.model]", "[[service.model]]", 7, "", "expected a table"),
        ("[service.model]", "[service.-x]", 7, "service.-x", "the name"),
        ("deadline_ms", "deadline_s", 17, "pipeline.draft.deadline_s", ""),
        ("2000", "0", 17, "pipeline.draft.deadline_ms", ""),
        ("2000", "2000.0", 17, "pipeline.draft.deadline_ms", ""),
        ("2000", '"2000"', 17, "pipeline.draft.deadline_ms", ""),
        ("2000", "true", 17, "pipeline.draft.deadline_ms", ""),
        ("2000", "1\ndeadline_ms = 2", 18, "pipeline.draft", "overwrite"),
        ("2000", "1979-05-27", 17, "pipeline.draft.deadline_ms", ""),
        ("2000", '"""2"""', 17, "pipeline.draft", "multi-line"),
        ("2000", '"\\u0032"', 17, "pipeline.draft", "backslash"),
        ("2000", "2 \x07", 17, "pipeline.draft", "control"),
        ("1.5}", "1.5,}", 4, "place.lahore-1", "comma"),
        ("1.5}", "1.5\n}", 4, "place.lahore-1", "inline table"),
        ("idempotent = false", "idempotent = 0", 14, "service.booking.i", ""),
        ('["model"]\nid', '["gone"]\nid', 13, "service.booking.dep", "gone"),
        ('stages = ["model"]', "stages = []", 16, "pipeline.draft.", "0 st"),
        ('stages = ["model"]', 'stages = ["x"]', 16, "pipeline.draft.", "x"),
        (
            'stages = ["model"]',
            'stages = ["booking", "booking"]',
            16,
            "pipeline.draft.stages",
            "repeats 'booking', which is not idempotent",
        ),
        (
            'stages = ["model"]',
            f"stages = {['model'] * 17}",
            16,
            "pipeline.draft.stages",
            "17 stages",
        ),
        (
            '["lahore-1"]\nshare',
            '["lahore-3"]\nshare',
            19,
            "workspace.clerks.places",
            "'lahore-3' is not declared",
        ),
        (
            '["lahore-1"]\nshare',
            "[]\nshare",
            19,
            "workspace.clerks.places",
            "at least 1",
        ),
        (
            '["lahore-1"]\nshare',
            '["lahore-1", "lahore-1"]\nshare',
            19,
            "workspace.clerks.places",
            "twice",
        ),
        (
            '["lahore-1"]\ndepends',
            '["lahore-2"]\ndepends',
            12,
            "service.booking.places",
            "no workspace permits",
        ),
        (
            '["lahore-1", "lahore-2"]',
            '["lahore-2"]',
            19,
            "workspace.clerks.places",
            "stage 'model' of pipeline 'draft'",
        ),
        (
            '"lahore-2"]\n',
            '"lahore-2"]\ndepends_on = ["booking"]\n',
            14,
            "service.booking.depends_on",
            "cycle booking -> model -> booking",
        ),
    ],
)
def test_fault_is_reported_with_its_line(old, new, line, path, detail):
    assert VALID.count(old) >= 1
    faults = faults_of(VALID.replace(old, new, 1))
    assert any(
        fault.line == line
        and fault.path.startswith(path)
        and detail in fault.detail
        for fault in faults
    ), faults


def test_all_faults_are_reported():
    text = VALID.replace('"engine"', '"motor"').replace("2000", "-1")
    text += "[workspace.clerks]\nplaces = 3\nshare = \n"
    assert [fault.line for fault in faults_of(text)] == [8, 17, 21, 23]


def test_all_rule_violations_are_reported():
    text = VALID.replace('depends_on = ["model"]', 'depends_on = ["a", "b"]')
    text = text.replace('stages = ["model"]', 'stages = ["c"]')
    assert [fault.line for fault in faults_of(text)] == [13, 13, 16]


def test_forbidden_syntax_is_permitted_in_comments():
    assert parse(VALID + '# {not closed, "quoted", \\ and """\n')


def test_crlf_line_ends_are_accepted():
    assert parse(VALID.replace("\n", "\r\n")) == parse(VALID)


def test_text_above_the_size_limit_is_rejected():
    (fault,) = faults_of(VALID + "#" * MAX_TEXT_BYTES)
    assert "exceeds" in fault.detail


def test_table_above_the_size_limit_is_rejected():
    faults = faults_of(VALID + "#" * 100_000)
    assert "exceeds" in faults[0].detail


TOKENS = st.sampled_from(
    [
        *("format = 1", "[", "]", "[[", "place", "service.", "a", "=", "{"),
        *("}", '"', "'", "\n", "#", ",", "1", "nan", "1e999", "\\", "\r"),
        *("\x00", "\ud800", "\ufeff", "places", "[service.a]\n", "1979-05-27"),
        *("[place.a]\n", "9" * 5000, "[" * 3000, "{a=" * 500, "true", "é"),
    ]
)


def parse_or_faults(text):
    """Return the configuration or the faults of a text.

    parse() must raise no other exception than ConfigTextError.
    """
    try:
        return parse(text)
    except ConfigTextError as error:
        return error.faults


@settings(max_examples=400, derandomize=True, deadline=None)
@given(st.lists(TOKENS, max_size=30).map("".join))
def test_fuzzed_tokens(text):
    assert parse_or_faults(text) == parse_or_faults(text)


@settings(max_examples=400, derandomize=True, deadline=None)
@given(st.data())
def test_fuzzed_edits(data):
    text = VALID
    for _ in range(data.draw(st.integers(1, 4))):
        start = data.draw(st.integers(0, len(text)))
        end = data.draw(st.integers(start, min(len(text), start + 12)))
        middle = data.draw(st.one_of(TOKENS, st.text(max_size=6)))
        text = text[:start] + middle + text[end:]
    assert parse_or_faults(text)


@settings(max_examples=300, derandomize=True, deadline=None)
@given(st.text(st.characters(exclude_categories=()), max_size=60))
def test_fuzzed_unicode(text):
    assert parse_or_faults("format = 1\n" + text)
