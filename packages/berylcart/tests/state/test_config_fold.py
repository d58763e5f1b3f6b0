"""Test the configuration fold and its checkpoints."""

import pytest
from berylcart.state.config_fold import (
    INITIAL_STATE,
    MAX_VERDICTS,
    choose_checkpoint,
    fold,
    to_checkpoint,
    to_fold_state,
)
from berylcart.state.records import (
    Checkpoint,
    LogEntry,
    Publication,
    Release,
)

TEXT = 'format = 1\n[place.a]\nregion = "r{}"\n'


def publication(publish_id, base=None, text=None, format_version=1):
    """Build a publication whose text contains its id."""
    text = TEXT.format(publish_id) if text is None else text
    return Publication(publish_id, base, format_version, text)


def fold_all(records, state=INITIAL_STATE):
    """Fold records at consecutive offsets after a state."""
    for record in records:
        state = fold(state, LogEntry(state.next_offset, 0, record))
    return state


def test_publication_with_an_outdated_base_version_is_rejected():
    state = fold_all([publication("1", 0), publication("2", 0)])
    assert (state.version, state.text) == (1, TEXT.format("1"))
    verdict = state.find_verdict("2")
    assert verdict.version is None
    assert "base version 0, but version 1" in verdict.reason


def test_publication_without_base_version_is_accepted():
    state = fold_all([publication("1", 0), publication("2")])
    assert (state.version, state.text) == (2, TEXT.format("2"))


def test_repeated_publish_id_gets_the_first_verdict():
    state = fold_all([publication("1"), publication("2"), publication("1")])
    assert (state.version, state.text) == (2, TEXT.format("2"))
    assert state.find_verdict("1").version == 1


def test_invalid_text_is_rejected_with_its_faults():
    state = fold_all([publication("1", text="format = 1\nx = 1")])
    assert state.version == 0
    assert "line 2: x: unknown key" in state.find_verdict("1").reason


def test_unreadable_records_and_other_kinds_are_ignored():
    state = fold_all([publication("1")])
    after = fold_all([None, Release("k", "c")], state)
    assert after == state._replace(next_offset=3)


def test_unknown_format_stops_the_fold():
    state = fold_all([publication("1")])
    stopped = fold_all([publication("2", format_version=2)], state)
    assert stopped == state._replace(unknown_format=2)
    assert fold(stopped, LogEntry(1, 0, publication("3"))) == stopped


def test_fold_ignores_folded_entries_and_raises_on_a_gap():
    state = fold_all([publication("1")])
    assert fold(state, LogEntry(0, 0, publication("2"))) == state
    with pytest.raises(ValueError, match="follows"):
        fold(state, LogEntry(2, 0, publication("2")))


def test_checkpoint_in_the_stream_does_not_change_the_state():
    state = fold_all([publication("1"), publication("2")])
    forged = Checkpoint(0, 0, 1, "", ())
    assert fold_all([forged], state) == state._replace(next_offset=3)


def test_state_survives_conversion_to_a_checkpoint():
    state = fold_all([publication("1"), publication("2", 0)])
    assert to_fold_state(to_checkpoint(state)) == state


def test_verdicts_are_bounded():
    records = [publication(str(i), text="") for i in range(MAX_VERDICTS + 5)]
    state = fold_all(records)
    assert len(state.verdicts) == MAX_VERDICTS
    assert state.verdicts[0].publish_id == "5"


def make_entries(*records, first=10):
    """Build entries with consecutive offsets."""
    return tuple(
        LogEntry(first + index, 0, record)
        for index, record in enumerate(records)
    )


def test_newest_usable_checkpoint_is_chosen():
    old = Checkpoint(10, 1, 1, "", ())
    new = Checkpoint(11, 2, 1, "", ())
    expired = Checkpoint(9, 1, 1, "", ())
    from_the_future = Checkpoint(99, 9, 1, "", ())
    entries = make_entries(expired, new, old, from_the_future)
    assert choose_checkpoint(entries, 10) == new
    assert choose_checkpoint(entries, 12) is None


def test_checkpoint_with_a_decreasing_version_is_ignored():
    genuine = Checkpoint(10, 5, 1, "", ())
    forged = Checkpoint(11, 1, 1, "", ())
    assert choose_checkpoint(make_entries(genuine, forged), 10) == genuine
