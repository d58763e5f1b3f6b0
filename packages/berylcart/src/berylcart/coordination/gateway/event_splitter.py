"""Split a stream of events into whole ones."""

import re

from berylcart.state.errors import Code, Ran, UpstreamError

EVENT_END = re.compile(rb"\r\n\r\n|\n\n|\r\r")
EVENT_ID = re.compile(rb"^id:[ ]?([^\r\n]*)", re.MULTILINE)
# A line that is neither empty nor a comment, after another line.
LATER_FIELD = re.compile(rb"[\r\n][^:\r\n]")
LINE_ENDS = b"\r\n"
NO_FIELD = b":\r\n"
# The longest end of an event but for its last byte.
TAIL_BYTES = 3
# The largest part of an event that is held back. Events of engines have some
# hundred bytes; this is what a whole answer may have that is buffered.
MAX_EVENT_BYTES = 2**20


def is_one_event(data: bytes) -> bool:
    r"""Tell whether bytes are just one event, as they mostly come.

    >>> is_one_event(b"data: a\n\n"), is_one_event(b"data: a\n\ndata")
    (True, False)
    """
    return (
        data.endswith(b"\n\n")
        and data.find(b"\n\n") == len(data) - 2
        and data[0] not in NO_FIELD
        and b"\r" not in data
    )


class EventScanner:
    r"""Find where events end, without holding them.

    count is the number of events that ended. Empty lines and comments alone
    are no event.

    >>> scanner = EventScanner()
    >>> scanner.feed(b"id: 1\n"), scanner.feed(b"\nid: 2"), scanner.count
    (0, 1, 1)
    >>> scanner.feed(b"\n\n\n\n: still here\n\n"), scanner.count
    (18, 2)
    """

    def __init__(self) -> None:
        self.count = 0
        # The last bytes of the event that has begun.
        self.tail = b""
        self.has_field = False

    def feed(self, data: bytes) -> int:
        """Take bytes and give how many of them end with a whole event."""
        if not self.tail and is_one_event(data):
            self.count += 1
            return len(data)
        joined = self.tail + data
        seen = len(self.tail)
        start = 0
        for match in EVENT_END.finditer(joined):
            self.look(joined, start, seen, match.end())
            self.count += self.has_field
            self.has_field = False
            start = seen = match.end()
        self.look(joined, start, seen, len(joined))
        end = max(0, start - len(self.tail))
        self.tail = joined[max(start, len(joined) - TAIL_BYTES) :]
        return end

    def look(self, joined: bytes, start: int, seen: int, end: int) -> None:
        """Note whether the bytes of an event from seen on have a field."""
        if self.has_field or seen == end:
            return
        if seen == start or joined[seen - 1] in LINE_ENDS:
            self.has_field = joined[seen] not in NO_FIELD
        if not self.has_field:
            match = LATER_FIELD.search(joined, seen, end)
            self.has_field = match is not None

    def reset(self) -> None:
        """Forget the event that has begun."""
        self.tail = b""
        self.has_field = False


class EventSplitter:
    r"""Hold back the beginning of an event until all of it is there.

    >>> splitter = EventSplitter()
    >>> splitter.feed(b"id: 1\ndata: a\n\nid: 2")
    b'id: 1\ndata: a\n\n'
    >>> splitter.last_id, splitter.held
    ('1', b'id: 2')
    """

    def __init__(self) -> None:
        self.last_id = ""
        self.scanner = EventScanner()
        self.partial = bytearray()

    @property
    def held(self) -> bytes:
        """Give the beginning of the event that is not yet whole."""
        return bytes(self.partial)

    def feed(self, data: bytes) -> bytes:
        """Take bytes and give the events that they complete.

        Raises UpstreamError where an event exceeds MAX_EVENT_BYTES.
        """
        end = self.scanner.feed(data)
        if end < len(data) or self.partial:
            whole = bytes(self.partial) + data[:end] if end else b""
            if whole:
                self.partial.clear()
            self.hold(data[end:])
        else:
            whole = data
        ids = EVENT_ID.findall(whole)
        if ids:
            self.last_id = ids[-1].decode("latin-1")
        return whole

    def hold(self, data: bytes) -> None:
        """Hold back bytes of an event that has begun."""
        self.partial += data
        if len(self.partial) > MAX_EVENT_BYTES:
            raise UpstreamError(
                Code.UPSTREAM_FAILED,
                f"an event exceeds {MAX_EVENT_BYTES} bytes",
                ran=Ran.UNKNOWN,
            )

    def drop_partial(self) -> None:
        """Forget the beginning of an event that another run sends again."""
        self.partial.clear()
        self.scanner.reset()
