"""Hold a response body in pieces, each of which is freed once it is sent."""

from collections import deque

# As much as one read of a connection returns.
PIECE_BYTES = 64 * 2**10


class BodyBuffer:
    """Hold the bytes of a body in order.

    >>> buffer = BodyBuffer()
    >>> buffer.add(b"a"), buffer.add(b"b"), len(buffer)
    (None, None, 2)
    >>> buffer.take(), buffer.take(), len(buffer)
    (b'ab', b'', 0)
    """

    def __init__(self) -> None:
        self.pieces: deque[bytes] = deque()
        # Small parts are joined, as each piece costs memory of its own.
        self.tail = bytearray()
        self.count_bytes = 0

    def __len__(self) -> int:
        """Return the number of bytes held."""
        return self.count_bytes

    def add(self, data: bytes) -> None:
        """Add bytes at the end."""
        self.count_bytes += len(data)
        if self.tail and len(self.tail) + len(data) > PIECE_BYTES:
            self.pieces.append(bytes(self.tail))
            self.tail.clear()
        if len(data) >= PIECE_BYTES:
            self.pieces.append(data)
        else:
            self.tail += data

    def take(self) -> bytes:
        """Remove and return the first piece, empty if there is none."""
        if self.pieces:
            data = self.pieces.popleft()
        else:
            data = bytes(self.tail)
            self.tail.clear()
        self.count_bytes -= len(data)
        return data

    def detach(self) -> "BodyBuffer":
        """Move all bytes to a buffer of their own."""
        detached = BodyBuffer()
        detached.pieces, self.pieces = self.pieces, detached.pieces
        detached.tail, self.tail = self.tail, detached.tail
        detached.count_bytes, self.count_bytes = self.count_bytes, 0
        return detached
