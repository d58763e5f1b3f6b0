"""Test that records round-trip and that invalid values are rejected."""

import contextlib

import pytest
from berylcart.protocol.json_codec import MessageError, read_json, write_json
from berylcart.protocol.record_codec import (
    decode_entry,
    decode_record,
    encode_record,
)
from berylcart.state.config_text import MAX_TEXT_BYTES
from berylcart.state.records import (
    Checkpoint,
    Claim,
    DutyClaim,
    Outcome,
    Publication,
    Release,
    Verdict,
)
from hypothesis import HealthCheck, given, seed, settings
from hypothesis import strategies as st

RELAXED = settings(deadline=None, suppress_health_check=[HealthCheck.too_slow])

VERDICTS = (Verdict("p1", 0, 1, ""), Verdict("p2", 1, None, "no base"))

RECORDS = [
    Publication("p1", None, 1, "text"),
    Publication("p2", 3, 1, "text"),
    Checkpoint(9, 1, 1, "text", VERDICTS),
    Claim("digest", "lahore", "booking", "vm-1/2", "claim-1", "print"),
    Outcome("digest", "claim-1", "yes", 0, "answer"),
    Release("digest", "claim-1"),
    DutyClaim("pool", "vm-1/2"),
]

CLAIM = encode_record(RECORDS[3])
CHECKPOINT = encode_record(RECORDS[2])

INVALID_VALUES = [
    None,
    [],
    {},
    {"kind": "novel"},
    {"kind": []},
    {**CLAIM, "extra": 1},
    {name: CLAIM[name] for name in CLAIM if name != "claimant"},
    {**CLAIM, "claimant": 1},
    {**CHECKPOINT, "version": "1"},
    {**CHECKPOINT, "version": True},
    {**CHECKPOINT, "version": 1.0},
    {**CHECKPOINT, "verdicts": [["p1", 0, 1, ""]]},
]

JSON = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats() | st.text(),
    lambda inner: st.lists(inner) | st.dictionaries(st.text(), inner),
    max_leaves=10,
)


@pytest.mark.parametrize("record", RECORDS)
def test_record_round_trips(record):
    wire = write_json(encode_record(record))
    assert decode_record(read_json(wire)) == record


@pytest.mark.parametrize("value", INVALID_VALUES)
def test_entry_with_invalid_value_keeps_its_offset(value):
    entry = decode_entry(4, 5, value)
    assert entry[:3] == (4, 5, None)
    assert entry.detail


@seed(1)
@RELAXED
@given(value=JSON, name=st.sampled_from(sorted(CHECKPOINT)))
def test_any_field_value_gives_a_record_or_an_error(value, name):
    entry = decode_entry(0, 0, {**CHECKPOINT, name: value})
    assert (entry.record is None) == bool(entry.detail)


@seed(2)
@RELAXED
@given(body=st.binary())
def test_any_bytes_are_json_or_raise_message_error(body):
    with contextlib.suppress(MessageError):
        read_json(body)


def test_large_text_is_compressed_and_restored():
    text = "[workspace.w]\n" * 1000
    record = Publication("p", None, 1, text)
    fields = encode_record(record)
    assert "text" not in fields
    assert len(fields["text_zlib"]) < len(text) / 10
    assert decode_record(fields) == record


@pytest.mark.parametrize("encoded", ["", "!", "aGVt", 7, None])
def test_corrupt_compressed_text_raises_message_error(encoded):
    fields = encode_record(Publication("p", None, 1, "x" * 5000))
    with pytest.raises(MessageError):
        decode_record(fields | {"text_zlib": encoded})


def test_decompressed_text_over_the_limit_raises():
    oversized_text = "x" * (MAX_TEXT_BYTES + 1)
    fields = encode_record(Publication("p", None, 1, oversized_text))
    with pytest.raises(MessageError):
        decode_record(fields)
