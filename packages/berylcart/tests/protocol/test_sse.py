"""Check the parser of server-sent events in any piecing."""

import itertools

import pytest
from berylcart.protocol.json_values import MessageError
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


def feed_in_pieces(parser, body, cuts):
    """Feed a body cut at the given places."""
    places = [0, *sorted(cut % (len(body) + 1) for cut in cuts), len(body)]
    found = []
    for start, end in itertools.pairwise(places):
        found.extend(parser.feed(body[start:end]))
    return found


@seed(1)
@RELAXED
@given(events=EVENTS, cuts=st.lists(st.integers(0, 10_000), max_size=6))
def test_events_survive_any_piecing(events, cuts):
    body = b"".join(write_event(event) for event in events)
    assert feed_in_pieces(EventParser(), body, cuts) == events


@pytest.mark.parametrize("end", ["\n", "\r\n", "\r"])
@pytest.mark.parametrize("size", [1, 2, 3, 100])
def test_every_line_ending_is_understood(end, size):
    lines = [": note", "event: token", "id:7", "data: a", "data:  b", "", ":"]
    body = end.join([*lines, ""]).encode()
    parser = EventParser()
    found = []
    for start in range(0, len(body), size):
        found.extend(parser.feed(body[start : start + size]))
    assert found == [ServerEvent("token", "7", "a\n b")]


@seed(2)
@RELAXED
@given(chunks=st.lists(st.binary(max_size=60), max_size=8))
def test_any_bytes_are_events_or_a_message_error(chunks):
    parser = EventParser(max_event_bytes=100)
    try:
        for chunk in chunks:
            parser.feed(chunk)
    except MessageError:
        return
    assert len(parser.rest) <= 100


@pytest.mark.parametrize("piece", [b"x", b"data: x\n", b":\n"])
def test_endless_event_is_refused(piece):
    parser = EventParser(max_event_bytes=100)

    def feed_endlessly():
        for _ in range(101):
            parser.feed(piece)

    with pytest.raises(MessageError):
        feed_endlessly()
