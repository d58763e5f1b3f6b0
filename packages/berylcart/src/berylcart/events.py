"""Log events as lines of key=value pairs."""

import json
import logging as stdlib_logging
import re
import sys
from datetime import UTC, datetime
from enum import Enum
from functools import cache
from queue import SimpleQueue
from threading import Thread
from time import sleep, time
from typing import TextIO

BARE_VALUE = re.compile(r"[\w.:/+@,-]+")
EVENT_PREFIX = "event="
# About one second of logging at the highest daily load.
MAX_QUEUED_LINES = 4096
# Lines are batched for this time; a killed process loses them.
WRITE_INTERVAL_S = 0.05
CLOSE_TIMEOUT_S = 0.3
LEVELS = {
    stdlib_logging.DEBUG: "debug",
    stdlib_logging.INFO: "info",
    stdlib_logging.WARNING: "warning",
    stdlib_logging.ERROR: "error",
}
WARNING_ONLY_LIBRARIES = ("uvicorn",)

Value = str | int | float | bool | None


def format_value(value: Value) -> str:
    """Format a value: bare if it is a single word, else JSON-quoted.

    >>> format_value(3), format_value("lahore-1"), format_value("two words")
    ('3', 'lahore-1', '"two words"')
    """
    if isinstance(value, Enum):
        value = value.value
    text = str(value)
    if BARE_VALUE.fullmatch(text):
        return text
    return json.dumps(text)


def format_event(name: str, **fields: Value) -> str:
    """Format an event's name and fields as key=value pairs.

    >>> format_event("config.applied", version=3, detail="two words")
    'event=config.applied version=3 detail="two words"'
    """
    pairs = [f"{key}={format_value(value)}" for key, value in fields.items()]
    return " ".join([f"{EVENT_PREFIX}{name}", *pairs])


class LineWriter:
    """Write lines from a background thread with a bounded queue.

    Lines that exceed the queue are dropped, so that a reader that stops never
    blocks the program.
    """

    def __init__(
        self, stream: TextIO, max_lines: int = MAX_QUEUED_LINES
    ) -> None:
        self.stream = stream
        self.max_lines = max_lines
        self.lines: SimpleQueue[str | None] = SimpleQueue()
        self.lost_count = 0
        self.thread = Thread(target=self.write_lines, daemon=True)
        self.thread.start()

    def put(self, line: str) -> None:
        """Queue a line; drop and count it if the queue is full."""
        if self.lines.qsize() < self.max_lines:
            self.lines.put(line)
        else:
            self.lost_count += 1

    def write_lines(self) -> None:
        """Write lines until the writer is closed."""
        is_open = True
        while is_open:
            batch = [self.lines.get()]
            if batch[0] is not None:
                # Batching limits how often this thread interrupts the program.
                sleep(WRITE_INTERVAL_S)
            while not self.lines.empty():
                batch.append(self.lines.get())
            is_open = batch[-1] is not None
            self.stream.write("".join(line for line in batch if line))
            self.stream.flush()

    def close(self) -> None:
        """Write the queued lines, waiting up to CLOSE_TIMEOUT_S."""
        self.lines.put(None)
        self.thread.join(CLOSE_TIMEOUT_S)


@cache
def absl_logging() -> stdlib_logging.Logger:
    """Return absl's logger, importing absl on first use."""
    from absl import logging

    logger: stdlib_logging.Logger = logging.get_absl_logger()
    return logger


class NonblockingOutput:
    """Hold the line writer if non-blocking logging has been started."""

    writer: LineWriter | None = None


def write(level: int, name: str, fields: dict[str, Value]) -> None:
    """Log one event."""
    pairs = format_event(name, **fields)
    if NonblockingOutput.writer is None:
        absl_logging().log(level, "%s", pairs)
    elif level >= stdlib_logging.INFO:
        NonblockingOutput.writer.put(format_line(time(), LEVELS[level], pairs))


def debug(name: str, **fields: Value) -> None:
    """Log an event that is useful only for debugging this component."""
    write(stdlib_logging.DEBUG, name, fields)


def info(name: str, **fields: Value) -> None:
    """Log an event of normal operation."""
    write(stdlib_logging.INFO, name, fields)


def warning(name: str, **fields: Value) -> None:
    """Log an event that an operator may want to investigate."""
    write(stdlib_logging.WARNING, name, fields)


def error(name: str, **fields: Value) -> None:
    """Log a fault that requires an operator."""
    write(stdlib_logging.ERROR, name, fields)


def format_line(unix_time_s: float, level: str, pairs: str) -> str:
    r"""Format a complete log line.

    >>> format_line(0.25, "info", "event=a")
    'time=1970-01-01T00:00:00.250Z level=info event=a\n'
    """
    timestamp = datetime.fromtimestamp(unix_time_s, UTC)
    text = timestamp.isoformat(timespec="milliseconds").replace("+00:00", "Z")
    return f"time={text} level={level} {pairs}\n"


class EventFormatter(stdlib_logging.Formatter):
    """Format log records as lines with time, level and key=value pairs."""

    def format(self, record: stdlib_logging.LogRecord) -> str:
        """Format a record; library messages become library.log events."""
        pairs = record.getMessage()
        if not pairs.startswith(EVENT_PREFIX):
            pairs = format_event("library.log", detail=pairs)
        level = record.levelname.lower()
        return format_line(record.created, level, pairs).rstrip("\n")


class NonblockingHandler(stdlib_logging.Handler):
    """Pass log records to the line writer."""

    def __init__(self, writer: LineWriter) -> None:
        super().__init__()
        self.writer = writer

    def emit(self, record: stdlib_logging.LogRecord) -> None:
        """Queue a line; drop and count it if the queue is full."""
        self.writer.put(self.format(record) + "\n")


def dropped_lines() -> int:
    """Return the number of lines dropped."""
    return (
        0
        if NonblockingOutput.writer is None
        else NonblockingOutput.writer.lost_count
    )


def start_nonblocking_logging() -> None:
    """Log to standard output without ever blocking on its reader."""
    NonblockingOutput.writer = LineWriter(sys.stdout)
    handler = NonblockingHandler(NonblockingOutput.writer)
    handler.setFormatter(EventFormatter())
    logger = stdlib_logging.getLogger()
    logger.handlers[:] = [handler]
    logger.setLevel(stdlib_logging.INFO)


def stop_nonblocking_logging() -> None:
    """Flush the queued lines and stop non-blocking logging."""
    if NonblockingOutput.writer is not None:
        NonblockingOutput.writer.close()
        NonblockingOutput.writer = None


def start_logging() -> None:
    """Log to standard error through absl, one line per event."""
    # Imported here because it takes a tenth of the start-up time of a gateway,
    # which does not use it.
    from absl import flags, logging

    flags.FLAGS.mark_as_parsed()
    logging.use_absl_handler()
    handler = logging.get_absl_handler()
    handler.setFormatter(EventFormatter())
    logging.set_verbosity(logging.INFO)
    logging.set_stderrthreshold("info")
    for name in WARNING_ONLY_LIBRARIES:
        stdlib_logging.getLogger(name).setLevel(stdlib_logging.WARNING)
