"""Check that logging never waits for its reader and keeps what it can."""

import io
import threading

import pytest
from berylcart import events


class StuckStream(io.StringIO):
    """Take nothing until it is released."""

    def __init__(self):
        super().__init__()
        self.is_released = threading.Event()

    def write(self, text):
        """Wait as a full pipe does."""
        self.is_released.wait(20)
        return super().write(text)


@pytest.fixture
def stream(monkeypatch):
    """Send events to a writer with room for five lines."""
    stream = StuckStream()
    writer = events.LineWriter(stream, max_lines=5)
    monkeypatch.setattr(events.Output, "writer", writer)
    return stream


def test_reader_that_stopped_loses_lines_and_stops_nothing(stream):
    for number in range(50):
        events.info("step.made", number=number)
    lost = events.lost_lines()
    stream.is_released.set()
    events.stop_bounded_logging()
    lines = stream.getvalue().splitlines()
    assert lost > 0
    assert len(lines) + lost == 50
    assert lines[0].endswith("level=info event=step.made number=0")


def test_lines_queued_at_the_end_are_written(stream):
    stream.is_released.set()
    events.warning("a.last", detail="two words")
    events.debug("not.shown")
    events.stop_bounded_logging()
    assert stream.getvalue().endswith(
        'level=warning event=a.last detail="two words"\n'
    )
    assert "not.shown" not in stream.getvalue()
