"""Encode and decode MessagePack-RPC frames for calls between daemons."""

from collections.abc import Iterator, Sequence
from typing import NamedTuple

import msgpack

REQUEST = 0
RESPONSE = 1
NOTIFICATION = 2
# Upper bound of what the framing adds to a message body.
MAX_OVERHEAD_BYTES = 1024
MAX_FRAME_FIELDS = 4


class Request(NamedTuple):
    """Call a method; number is the message id, chosen by the sender."""

    number: int
    method: str
    body: bytes


class Response(NamedTuple):
    """Answer the request of the same number with a body or an error."""

    number: int
    error: str | None
    body: bytes


class Notification(NamedTuple):
    """Call a method without a response."""

    method: str
    body: bytes


Frame = Request | Response | Notification


def pack_array(fields: Sequence[object]) -> bytes:
    """Serialize a frame's fields as a MessagePack array."""
    data: bytes = msgpack.packb(fields)
    return data


def write_request(number: int, method: str, body: bytes) -> bytes:
    r"""Serialize a request.

    >>> write_request(7, "Ping", b"x")
    b'\x94\x00\x07\xa4Ping\x91\xc4\x01x'
    """
    return pack_array([REQUEST, number, method, [body]])


def write_response(number: int, error: str | None, body: bytes) -> bytes:
    """Serialize a response."""
    return pack_array([RESPONSE, number, error, body])


def write_notification(method: str, body: bytes) -> bytes:
    """Serialize a notification."""
    return pack_array([NOTIFICATION, method, [body]])


def read_frame(fields: object) -> Frame:
    """Build a frame from its decoded array; raises ValueError.

    >>> read_frame([1, 7, None, b"x"])
    Response(number=7, error=None, body=b'x')
    """
    match fields:
        case [0, int(number), str(method), [bytes(body)]]:
            return Request(number, method, body)
        case [1, int(number), str() | None as error, bytes(body)]:
            return Response(number, error, body)
        case [2, str(method), [bytes(body)]]:
            return Notification(method, body)
    raise ValueError("not a MessagePack-RPC frame")


class FrameReader:
    """Parse frames incrementally from the bytes of a connection.

    >>> reader = FrameReader(100)
    >>> data = write_notification("a", b"1") + write_notification("b", b"2")
    >>> [each.method for each in reader.feed(data[:9])]
    ['a']
    >>> [each.method for each in reader.feed(data[9:])]
    ['b']
    """

    def __init__(self, max_body_bytes: int) -> None:
        self.max_frame_bytes = max_body_bytes + MAX_OVERHEAD_BYTES
        # Stream position after the last complete frame, and the number of
        # bytes fed beyond it.
        self.consumed_bytes = 0
        self.pending_bytes = 0
        self.unpacker = msgpack.Unpacker(
            max_buffer_size=self.max_frame_bytes,
            max_bin_len=max_body_bytes,
            max_array_len=MAX_FRAME_FIELDS,
            max_map_len=0,
            max_ext_len=0,
        )

    def feed(self, data: bytes) -> Iterator[Frame]:
        """Yield the frames that the bytes complete; raises ValueError.

        The unpacker's buffer limit does not bound nested lists, because it
        consumes their bytes as they arrive. The bytes of the incomplete frame
        are therefore counted here.
        """
        self.pending_bytes += len(data)
        try:
            self.unpacker.feed(data)
            for fields in self.unpacker:
                position_bytes = self.unpacker.tell()
                self.pending_bytes -= position_bytes - self.consumed_bytes
                self.consumed_bytes = position_bytes
                yield read_frame(fields)
        except msgpack.exceptions.BufferFull:
            raise ValueError("the frame is too large") from None
        if self.pending_bytes > self.max_frame_bytes:
            raise ValueError("the frame is too large")

    @property
    def has_partial_frame(self) -> bool:
        """Return whether an incomplete frame has been received."""
        return self.pending_bytes > 0
