"""Split a stream of server-sent events at event boundaries."""

import re

from berylcart.state.errors import Code, Ran, UpstreamError

EVENT_END = re.compile(rb"\r\n\r\n|\n\n|\r\r")
EVENT_ID = re.compile(rb"^id:[ ]?([^\r\n]*)", re.MULTILINE)
# The start of a field (not an empty line or a comment) after a line end.
LATER_FIELD = re.compile(rb"[\r\n][^:\r\n]")
LINE_ENDS = b"\r\n"
NON_FIELD_STARTS = b":\r\n"
# Length of the longest event terminator, without its last byte.
TAIL_BYTES = 3
# Largest incomplete event that is buffered. Events of engines have some
# hundred bytes; this is also the limit for buffering a whole response.
MAX_EVENT_BYTES = 2**20


def is_one_event(data: bytes) -> bool:
    r"""Return whether the bytes are exactly one event, the common case.

    >>> is_one_event(b"data: a\n\n"), is_one_event(b"data: a\n\ndata")
    (True, False)
    """
    return (
        data.endswith(b"\n\n")
        and data.find(b"\n\n") == len(data) - 2
        and data[0] not in NON_FIELD_STARTS
        and b"\r" not in data
    )


class EventScanner:
    r"""Find event boundaries without buffering the events.

    count is the number of complete events. Empty lines and comments alone do
    not count as events.

    >>> scanner = EventScanner()
    >>> scanner.feed(b"id: 1\n"), scanner.feed(b"\nid: 2"), scanner.count
    (0, 1, 1)
    >>> scanner.feed(b"\n\n\n\n: still here\n\n"), scanner.count
    (18, 2)
    """

    def __init__(self) -> None:
        self.count = 0
        # The last bytes of the incomplete event.
        self.tail = b""
        self.has_field = False

    def feed(self, data: bytes) -> int:
        """Scan bytes; return how many precede the last event boundary."""
        if not self.tail and is_one_event(data):
            self.count += 1
            return len(data)
        joined = self.tail + data
        seen = len(self.tail)
        start = 0
        for match in EVENT_END.finditer(joined):
            self.detect_field(joined, start, seen, match.end())
            self.count += self.has_field
            self.has_field = False
            start = seen = match.end()
        self.detect_field(joined, start, seen, len(joined))
        end = max(0, start - len(self.tail))
        self.tail = joined[max(start, len(joined) - TAIL_BYTES) :]
        return end

    def detect_field(
        self, joined: bytes, start: int, seen: int, end: int
    ) -> None:
        """Record whether the bytes from seen to end contain a field."""
        if self.has_field or seen == end:
            return
        if seen == start or joined[seen - 1] in LINE_ENDS:
            self.has_field = joined[seen] not in NON_FIELD_STARTS
        if not self.has_field:
            match = LATER_FIELD.search(joined, seen, end)
            self.has_field = match is not None

    def reset(self) -> None:
        """Discard the state of the incomplete event."""
        self.tail = b""
        self.has_field = False


class EventSplitter:
    r"""Buffer each event until it is complete.

    >>> splitter = EventSplitter()
    >>> splitter.feed(b"id: 1\ndata: a\n\nid: 2")
    b'id: 1\ndata: a\n\n'
    >>> splitter.last_id, splitter.buffered
    ('1', b'id: 2')
    """

    def __init__(self) -> None:
        self.last_id = ""
        self.scanner = EventScanner()
        self.partial = bytearray()

    @property
    def buffered(self) -> bytes:
        """Return the bytes of the incomplete event."""
        return bytes(self.partial)

    def feed(self, data: bytes) -> bytes:
        """Add bytes and return the events that they complete.

        Raises UpstreamError if an event exceeds MAX_EVENT_BYTES.
        """
        end = self.scanner.feed(data)
        if end < len(data) or self.partial:
            whole = bytes(self.partial) + data[:end] if end else b""
            if whole:
                self.partial.clear()
            self.buffer(data[end:])
        else:
            whole = data
        ids = EVENT_ID.findall(whole)
        if ids:
            self.last_id = ids[-1].decode("latin-1")
        return whole

    def buffer(self, data: bytes) -> None:
        """Buffer bytes of the incomplete event."""
        self.partial += data
        if len(self.partial) > MAX_EVENT_BYTES:
            raise UpstreamError(
                Code.UPSTREAM_FAILED,
                f"an event exceeds {MAX_EVENT_BYTES} bytes",
                ran=Ran.UNKNOWN,
            )

    def discard_partial(self) -> None:
        """Discard an incomplete event, which another attempt sends again."""
        self.partial.clear()
        self.scanner.reset()
