"""Write and read the frames of calls between daemons, as MessagePack-RPC."""

from collections.abc import Iterator, Sequence
from typing import NamedTuple

import msgpack

REQUEST = 0
RESPONSE = 1
NOTICE = 2
# What frames a message of the largest size.
OVERHEAD_BYTES = 1024
MAX_FIELDS = 4


class Request(NamedTuple):
    """Ask for an answer; number is the sender's own."""

    number: int
    method: str
    body: bytes


class Response(NamedTuple):
    """Answer a request, with an error or else with a body."""

    number: int
    error: str | None
    body: bytes


class Notice(NamedTuple):
    """Tell something that isn't answered."""

    method: str
    body: bytes


Frame = Request | Response | Notice


def pack(item: Sequence[object]) -> bytes:
    """Write a list in MessagePack."""
    data: bytes = msgpack.packb(item)
    return data


def write_request(number: int, method: str, body: bytes) -> bytes:
    r"""Write a request.

    >>> write_request(7, "Ping", b"x")
    b'\x94\x00\x07\xa4Ping\x91\xc4\x01x'
    """
    return pack([REQUEST, number, method, [body]])


def write_response(number: int, error: str | None, body: bytes) -> bytes:
    """Write the answer to a request."""
    return pack([RESPONSE, number, error, body])


def write_notice(method: str, body: bytes) -> bytes:
    """Write what needs no answer."""
    return pack([NOTICE, method, [body]])


def read_frame(item: object) -> Frame:
    """Read one frame; raises ValueError when it is malformed.

    >>> read_frame([1, 7, None, b"x"])
    Response(number=7, error=None, body=b'x')
    """
    match item:
        case [0, int(number), str(method), [bytes(body)]]:
            return Request(number, method, body)
        case [1, int(number), str() | None as error, bytes(body)]:
            return Response(number, error, body)
        case [2, str(method), [bytes(body)]]:
            return Notice(method, body)
    raise ValueError("no frame of MessagePack-RPC")


class FrameReader:
    """Split a connection's bytes into frames.

    >>> reader = FrameReader(100)
    >>> data = write_notice("a", b"1") + write_notice("b", b"2")
    >>> [each.method for each in reader.feed(data[:9])]
    ['a']
    >>> [each.method for each in reader.feed(data[9:])]
    ['b']
    """

    def __init__(self, max_body_bytes: int) -> None:
        self.max_frame_bytes = max_body_bytes + OVERHEAD_BYTES
        # Where the last whole frame ended, and the bytes fed since.
        self.read_bytes = 0
        self.unread_bytes = 0
        self.unpacker = msgpack.Unpacker(
            max_buffer_size=self.max_frame_bytes,
            max_bin_len=max_body_bytes,
            max_array_len=MAX_FIELDS,
            max_map_len=0,
            max_ext_len=0,
        )

    def feed(self, data: bytes) -> Iterator[Frame]:
        """Read the frames that bytes complete; raises ValueError.

        The unpacker's buffer bounds no nested lists, whose bytes it consumes
        while they arrive, so the bytes of an unfinished frame are counted.
        """
        self.unread_bytes += len(data)
        try:
            self.unpacker.feed(data)
            for item in self.unpacker:
                end_bytes = self.unpacker.tell()
                self.unread_bytes -= end_bytes - self.read_bytes
                self.read_bytes = end_bytes
                yield read_frame(item)
        except msgpack.exceptions.BufferFull:
            raise ValueError("a frame is too large") from None
        if self.unread_bytes > self.max_frame_bytes:
            raise ValueError("a frame is too large")

    @property
    def is_in_frame(self) -> bool:
        """Tell whether a frame has begun that is not whole."""
        return self.unread_bytes > 0
