"""Test that server-sent events are parsed for any chunk boundaries."""

import itertools

import pytest
from berylcart.protocol.json_codec import MessageError
from berylcart.protocol.sse import EventParser, ServerEvent, write_event
from hypothesis import HealthCheck, given, seed, settings
from hypothesis import strategies as st

RELAXED = settings(deadline=None, suppress_health_check=[HealthCheck.too_slow])

LINE_TEXT = st.text(
    st.characters(exclude_categories=["Cs"], exclude_characters="\r\n")
)
EVENTS = st.lists(
    st.builds(
        ServerEvent,
        name=LINE_TEXT.map(str.strip),
        event_id=LINE_TEXT.map(str.strip),
        data=LINE_TEXT.map(str.strip),
    ),
    max_size=4,
)


def feed_in_chunks(parser, body, split_offsets):
    """Feed a body split at the given offsets."""
    offsets = [
        0,
        *sorted(offset % (len(body) + 1) for offset in split_offsets),
        len(body),
    ]
    parsed = []
    for start, end in itertools.pairwise(offsets):
        parsed.extend(parser.feed(body[start:end]))
    return parsed


@seed(1)
@RELAXED
@given(
    events=EVENTS, split_offsets=st.lists(st.integers(0, 10_000), max_size=6)
)
def test_events_are_parsed_for_any_chunk_boundaries(events, split_offsets):
    body = b"".join(write_event(event) for event in events)
    assert feed_in_chunks(EventParser(), body, split_offsets) == events


@pytest.mark.parametrize("end", ["\n", "\r\n", "\r"])
@pytest.mark.parametrize("size", [1, 2, 3, 100])
def test_every_line_ending_is_accepted(end, size):
    lines = [": note", "event: token", "id:7", "data: a", "data:  b", "", ":"]
    body = end.join([*lines, ""]).encode()
    parser = EventParser()
    parsed = []
    for start in range(0, len(body), size):
        parsed.extend(parser.feed(body[start : start + size]))
    assert parsed == [ServerEvent("token", "7", "a\n b")]


@seed(2)
@RELAXED
@given(chunks=st.lists(st.binary(max_size=60), max_size=8))
def test_any_bytes_are_parsed_or_raise_message_error(chunks):
    parser = EventParser(max_event_bytes=100)
    try:
        for chunk in chunks:
            parser.feed(chunk)
    except MessageError:
        return
    assert len(parser.incomplete_line) <= 100


@pytest.mark.parametrize("chunk", [b"x", b"data: x\n", b":\n"])
def test_unbounded_event_raises(chunk):
    parser = EventParser(max_event_bytes=100)

    def feed_repeatedly():
        for _ in range(101):
            parser.feed(chunk)

    with pytest.raises(MessageError):
        feed_repeatedly()
