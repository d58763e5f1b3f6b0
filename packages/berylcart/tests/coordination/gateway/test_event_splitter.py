"""Test that events are found for any split of a stream into chunks."""

import pytest
from berylcart.coordination.gateway.event_splitter import (
    MAX_EVENT_BYTES,
    EventScanner,
    EventSplitter,
)
from berylcart.state.errors import UpstreamError

STREAMS = {
    b"id: 1\ndata: a\n\nid: 2\ndata: b\n\nid": 2,
    b"id: 1\r\ndata: a\r\n\r\ndata: b\r\n\r\n": 2,
    b"data: a\r\rdata: b\r\r": 2,
    # Empty lines and comments are not events.
    b": hello\n\n\n\n\n\n: again\n\n": 0,
    b": hello\ndata: a\n\n": 1,
    b"data: a: b\n: c\n\n:\n\n": 1,
}


@pytest.mark.parametrize("stream", STREAMS)
@pytest.mark.parametrize("step", [1, 2, 3, 5, 1000])
def test_events_are_found_for_any_chunk_size(stream, step):
    scanner = EventScanner()
    splitter = EventSplitter()
    given = b""
    for start in range(0, len(stream), step):
        data = stream[start : start + step]
        scanner.feed(data)
        given += splitter.feed(data)
        assert given + splitter.buffered == stream[: start + step]
    assert scanner.count == splitter.scanner.count == STREAMS[stream]


@pytest.mark.parametrize("step", [7, 2**16])
def test_endless_event_is_rejected(step):
    splitter = EventSplitter()
    for _ in range(MAX_EVENT_BYTES // step):
        splitter.feed(b"x" * step)
    with pytest.raises(UpstreamError):
        splitter.feed(b"x" * step)
    assert len(splitter.buffered) <= MAX_EVENT_BYTES + step
