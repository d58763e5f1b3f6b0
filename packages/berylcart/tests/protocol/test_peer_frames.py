"""Check that what a peer sends without end is refused in bounded space."""

import pytest
from berylcart.protocol.peer_frames import (
    OVERHEAD_BYTES,
    FrameReader,
    Notice,
    Response,
    write_notice,
    write_response,
)

MAX_BYTES = 1000


def test_endless_nested_lists_are_refused():
    # The unpacker consumes their bytes, so its buffer never fills.
    reader = FrameReader(MAX_BYTES)
    part = b"\x94" + b"\x94\xc0\xc0\xc0\xc0" * 4
    assert list(reader.feed(b"\x94" * 40)) == []
    for _ in range((MAX_BYTES + OVERHEAD_BYTES - 40) // len(part)):
        assert list(reader.feed(part)) == []
    with pytest.raises(ValueError, match="too large"):
        list(reader.feed(part))


def test_frames_of_any_number_are_read_however_they_are_cut():
    frames = [write_notice("a", b"1" * 90), write_response(7, None, b"2" * 90)]
    data = b"".join(frames) * 50
    reader = FrameReader(MAX_BYTES)
    got = []
    for start in range(0, len(data), 7):
        got += reader.feed(data[start : start + 7])
    assert got == [Notice("a", b"1" * 90), Response(7, None, b"2" * 90)] * 50
    assert not reader.is_in_frame


def test_frame_that_is_not_whole_shows():
    reader = FrameReader(MAX_BYTES)
    data = write_notice("a", b"1")
    assert len(list(reader.feed(data + data[:3]))) == 1
    assert reader.is_in_frame
    assert len(list(reader.feed(data[3:]))) == 1
    assert not reader.is_in_frame
