"""Parse and write server-sent events."""

from typing import NamedTuple

from berylcart.protocol.json_values import MessageError

MAX_EVENT_BYTES = 1 << 20


class ServerEvent(NamedTuple):
    """Carry one event of a stream."""

    name: str
    event_id: str
    data: str


def write_event(event: ServerEvent) -> bytes:
    r"""Write one event.

    >>> write_event(ServerEvent("token", "0", "{}"))
    b'event: token\nid: 0\ndata: {}\n\n'
    """
    lines = [f"event: {event.name}"]
    if event.event_id:
        lines.append(f"id: {event.event_id}")
    lines.extend(f"data: {line}" for line in event.data.split("\n"))
    return ("\n".join(lines) + "\n\n").encode()


class EventParser:
    r"""Parse a stream of events that arrives in arbitrary pieces.

    >>> parser = EventParser()
    >>> parser.feed(b"event: token\nid: 0\nda")
    []
    >>> parser.feed(b"ta: x\n\n")
    [ServerEvent(name='token', event_id='0', data='x')]
    """

    def __init__(self, max_event_bytes: int = MAX_EVENT_BYTES) -> None:
        self.max_event_bytes = max_event_bytes
        self.rest = b""
        self.size_bytes = 0
        self.clear()

    def clear(self) -> None:
        """Forget the event in progress."""
        self.name = ""
        self.event_id = ""
        self.data: list[str] = []
        self.size_bytes = 0

    def feed(self, chunk: bytes) -> list[ServerEvent]:
        """Take the next bytes and give the events that they complete.

        Raises MessageError on text that is not UTF-8 or an event over
        the limit.
        """
        lines = (self.rest + chunk).splitlines(keepends=True)
        self.rest = b""
        # A lone CR at the end may be the first half of CR LF.
        if lines and not lines[-1].endswith(b"\n"):
            self.rest = lines.pop()
        found = [self.take_line(line) for line in lines]
        if self.size_bytes + len(self.rest) > self.max_event_bytes:
            raise MessageError("an event of the stream is too large")
        return [event for event in found if event is not None]

    def take_line(self, line: bytes) -> ServerEvent | None:
        """Take one line and give the event that it ends, if any."""
        self.size_bytes += len(line)
        if self.size_bytes > self.max_event_bytes:
            raise MessageError("an event of the stream is too large")
        try:
            text = line.decode().rstrip("\r\n")
        except UnicodeDecodeError:
            raise MessageError("the stream is not UTF-8") from None
        if not text:
            return self.finish()
        field, _, value = text.partition(":")
        self.take_field(field, value.removeprefix(" "))
        return None

    def take_field(self, field: str, value: str) -> None:
        """Keep one field; comments and unknown fields are passed over."""
        if field == "event":
            self.name = value
        elif field == "id":
            self.event_id = value
        elif field == "data":
            self.data.append(value)

    def finish(self) -> ServerEvent | None:
        """End the event in progress."""
        event = ServerEvent(self.name, self.event_id, "\n".join(self.data))
        has_data = bool(self.data)
        self.clear()
        return event if has_data else None
