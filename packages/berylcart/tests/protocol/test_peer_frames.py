"""Test that the frame parser bounds the size of an incomplete frame."""

import pytest
from berylcart.protocol.peer_frames import (
    MAX_OVERHEAD_BYTES,
    FrameReader,
    Notification,
    Response,
    write_notification,
    write_response,
)

MAX_BODY_BYTES = 1000


def test_unbounded_nested_lists_raise():
    # The unpacker consumes the bytes of nested lists as they arrive, so its
    # buffer limit does not apply to them.
    reader = FrameReader(MAX_BODY_BYTES)
    part = b"\x94" + b"\x94\xc0\xc0\xc0\xc0" * 4
    assert list(reader.feed(b"\x94" * 40)) == []
    for _ in range((MAX_BODY_BYTES + MAX_OVERHEAD_BYTES - 40) // len(part)):
        assert list(reader.feed(part)) == []
    with pytest.raises(ValueError, match="too large"):
        list(reader.feed(part))


def test_frames_are_parsed_for_any_chunk_boundaries():
    frames = [
        write_notification("a", b"1" * 90),
        write_response(7, None, b"2" * 90),
    ]
    data = b"".join(frames) * 50
    reader = FrameReader(MAX_BODY_BYTES)
    received = []
    for start in range(0, len(data), 7):
        received += reader.feed(data[start : start + 7])
    assert (
        received
        == [Notification("a", b"1" * 90), Response(7, None, b"2" * 90)] * 50
    )
    assert not reader.has_partial_frame


def test_partial_frame_is_reported():
    reader = FrameReader(MAX_BODY_BYTES)
    data = write_notification("a", b"1")
    assert len(list(reader.feed(data + data[:3]))) == 1
    assert reader.has_partial_frame
    assert len(list(reader.feed(data[3:]))) == 1
    assert not reader.has_partial_frame
