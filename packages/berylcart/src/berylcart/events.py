"""Log one key=value line for each event."""

import json
import logging as stdlib_logging
import re
import sys
from datetime import UTC, datetime
from enum import Enum
from queue import Full, Queue
from threading import Thread
from typing import TextIO

from absl import flags, logging

PLAIN_VALUE = re.compile(r"[\w.:/+@,-]+")
EVENT_PREFIX = "event="
# About a second of the heaviest day.
MAX_LINES = 4096
QUIET_LIBRARIES = ("uvicorn",)

Value = str | int | float | bool | None


def format_value(value: Value) -> str:
    """Write a value bare when it is one plain word, else quoted.

    >>> format_value(3), format_value("lahore-1"), format_value("two words")
    ('3', 'lahore-1', '"two words"')
    """
    if isinstance(value, Enum):
        value = value.value
    text = str(value)
    if PLAIN_VALUE.fullmatch(text):
        return text
    return json.dumps(text)


def format_event(name: str, **fields: Value) -> str:
    """Join an event's name and fields into one line.

    >>> format_event("config.applied", version=3, detail="two words")
    'event=config.applied version=3 detail="two words"'
    """
    pairs = [f"{key}={format_value(value)}" for key, value in fields.items()]
    return " ".join([f"{EVENT_PREFIX}{name}", *pairs])


def debug(name: str, **fields: Value) -> None:
    """Log an event that only an investigation of this part needs."""
    logging.debug("%s", format_event(name, **fields))


def info(name: str, **fields: Value) -> None:
    """Log an event of normal operation."""
    logging.info("%s", format_event(name, **fields))


def warning(name: str, **fields: Value) -> None:
    """Log an event that an operator may want to look at."""
    logging.warning("%s", format_event(name, **fields))


def error(name: str, **fields: Value) -> None:
    """Log a fault that needs an operator."""
    logging.error("%s", format_event(name, **fields))


class EventFormatter(stdlib_logging.Formatter):
    """Put the time and the level before an event's pairs."""

    def format(self, record: stdlib_logging.LogRecord) -> str:
        """Write one line for one event."""
        at = datetime.fromtimestamp(record.created, UTC)
        stamp = at.isoformat(timespec="milliseconds").replace("+00:00", "Z")
        level = record.levelname.lower()
        pairs = record.getMessage()
        if not pairs.startswith(EVENT_PREFIX):
            pairs = format_event("library.log", detail=pairs)
        return f"time={stamp} level={level} {pairs}"


class BoundedHandler(stdlib_logging.Handler):
    """Hand lines to a thread that writes them, and drop what it can't hold.

    A reader that stops thereby never stops the program.
    """

    def __init__(self, stream: TextIO, max_lines: int = MAX_LINES) -> None:
        super().__init__()
        self.stream = stream
        self.lines: Queue[str] = Queue(max_lines)
        self.lost = 0
        Thread(target=self.write_lines, daemon=True).start()

    def emit(self, record: stdlib_logging.LogRecord) -> None:
        """Queue a line, or count it as lost."""
        try:
            self.lines.put_nowait(self.format(record) + "\n")
        except Full:
            self.lost += 1

    def write_lines(self) -> None:
        """Write lines for ever."""
        while True:
            self.stream.write(self.lines.get())
            if self.lines.empty():
                self.stream.flush()
            self.lines.task_done()


def lost_lines() -> int:
    """Count the lines that were dropped."""
    handlers = stdlib_logging.getLogger("absl").handlers
    return sum(each.lost for each in handlers if hasattr(each, "lost"))


def start_bounded_logging() -> None:
    """Send events to standard output, never waiting for its reader."""
    flags.FLAGS.mark_as_parsed()
    handler = BoundedHandler(sys.stdout)
    handler.setFormatter(EventFormatter())
    logger = stdlib_logging.getLogger("absl")
    logger.handlers[:] = [handler]
    logger.propagate = False
    logging.set_verbosity(logging.INFO)
    for name in QUIET_LIBRARIES:
        stdlib_logging.getLogger(name).setLevel(stdlib_logging.WARNING)


def start_logging() -> None:
    """Send events to standard error, one line each."""
    flags.FLAGS.mark_as_parsed()
    logging.use_absl_handler()
    handler = logging.get_absl_handler()
    handler.setFormatter(EventFormatter())
    logging.set_verbosity(logging.INFO)
    logging.set_stderrthreshold("info")
    for name in QUIET_LIBRARIES:
        stdlib_logging.getLogger(name).setLevel(stdlib_logging.WARNING)
