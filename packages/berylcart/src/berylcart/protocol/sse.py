"""Parse and serialize server-sent events."""

from typing import NamedTuple

from berylcart.protocol.json_codec import MessageError

MAX_EVENT_BYTES = 1 << 20


class ServerEvent(NamedTuple):
    """Hold one event; event_id is empty if the event has none."""

    name: str
    event_id: str
    data: str


def write_event(event: ServerEvent) -> bytes:
    r"""Serialize one event.

    >>> write_event(ServerEvent("token", "0", "{}"))
    b'event: token\nid: 0\ndata: {}\n\n'
    """
    lines = [f"event: {event.name}"]
    if event.event_id:
        lines.append(f"id: {event.event_id}")
    lines.extend(f"data: {line}" for line in event.data.split("\n"))
    return ("\n".join(lines) + "\n\n").encode()


class EventParser:
    r"""Parse a stream of events incrementally.

    >>> parser = EventParser()
    >>> parser.feed(b"event: token\nid: 0\nda")
    []
    >>> parser.feed(b"ta: x\n\n")
    [ServerEvent(name='token', event_id='0', data='x')]
    """

    def __init__(self, max_event_bytes: int = MAX_EVENT_BYTES) -> None:
        self.max_event_bytes = max_event_bytes
        self.incomplete_line = b""
        self.size_bytes = 0
        self.reset_event()

    def reset_event(self) -> None:
        """Reset the state of the event that is being parsed."""
        self.name = ""
        self.event_id = ""
        self.data: list[str] = []
        self.size_bytes = 0

    def feed(self, chunk: bytes) -> list[ServerEvent]:
        """Parse the next bytes and return the events that they complete.

        Raises MessageError on text that is not UTF-8 and on an event that
        exceeds the size limit.
        """
        lines = (self.incomplete_line + chunk).splitlines(keepends=True)
        self.incomplete_line = b""
        # A CR at the end may be the first byte of a CR LF.
        if lines and not lines[-1].endswith(b"\n"):
            self.incomplete_line = lines.pop()
        events = [self.parse_line(line) for line in lines]
        if self.size_bytes + len(self.incomplete_line) > self.max_event_bytes:
            raise MessageError("an event of the stream is too large")
        return [event for event in events if event is not None]

    def parse_line(self, line: bytes) -> ServerEvent | None:
        """Parse one line; return the event that an empty line ends, if any."""
        self.size_bytes += len(line)
        if self.size_bytes > self.max_event_bytes:
            raise MessageError("an event of the stream is too large")
        try:
            text = line.decode().rstrip("\r\n")
        except UnicodeDecodeError:
            raise MessageError("the stream is not UTF-8") from None
        if not text:
            return self.finish_event()
        field, _, value = text.partition(":")
        self.set_field(field, value.removeprefix(" "))
        return None

    def set_field(self, field: str, value: str) -> None:
        """Store one field; comments and unknown fields are ignored."""
        if field == "event":
            self.name = value
        elif field == "id":
            self.event_id = value
        elif field == "data":
            self.data.append(value)

    def finish_event(self) -> ServerEvent | None:
        """Return the event that was parsed, None if it has no data."""
        event = ServerEvent(self.name, self.event_id, "\n".join(self.data))
        has_data = bool(self.data)
        self.reset_event()
        return event if has_data else None
