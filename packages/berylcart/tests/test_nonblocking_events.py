"""Test that non-blocking logging never waits for its reader."""

import io
import threading

import pytest
from berylcart import events


class BlockingStream(io.StringIO):
    """Block writes until it is released."""

    def __init__(self):
        super().__init__()
        self.is_released = threading.Event()

    def write(self, text):
        """Block like a write to a full pipe."""
        self.is_released.wait(20)
        return super().write(text)


@pytest.fixture
def stream(monkeypatch):
    """Log events to a writer with a queue of five lines."""
    stream = BlockingStream()
    writer = events.LineWriter(stream, max_lines=5)
    monkeypatch.setattr(events.NonblockingOutput, "writer", writer)
    return stream


def test_blocked_reader_loses_lines_without_blocking_the_program(stream):
    for number in range(50):
        events.info("step.made", number=number)
    lost = events.dropped_lines()
    stream.is_released.set()
    events.stop_nonblocking_logging()
    lines = stream.getvalue().splitlines()
    assert lost > 0
    assert len(lines) + lost == 50
    assert lines[0].endswith("level=info event=step.made number=0")


def test_queued_lines_are_written_on_stop(stream):
    stream.is_released.set()
    events.warning("a.last", detail="two words")
    events.debug("not.shown")
    events.stop_nonblocking_logging()
    assert stream.getvalue().endswith(
        'level=warning event=a.last detail="two words"\n'
    )
    assert "not.shown" not in stream.getvalue()
