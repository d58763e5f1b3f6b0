"""Split a stream of events into whole ones."""

import re

EVENT_END = re.compile(rb"\r\n\r\n|\n\n|\r\r")
EVENT_ID = re.compile(rb"^id:[ ]?([^\r\n]*)", re.MULTILINE)


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
        self.held = b""

    def feed(self, data: bytes) -> bytes:
        """Take bytes and give the events that they complete."""
        self.held += data
        end = 0
        for match in EVENT_END.finditer(self.held):
            end = match.end()
        whole, self.held = self.held[:end], self.held[end:]
        ids = EVENT_ID.findall(whole)
        if ids:
            self.last_id = ids[-1].decode("latin-1")
        return whole

    def drop_partial(self) -> None:
        """Forget the beginning of an event that another run sends again."""
        self.held = b""
