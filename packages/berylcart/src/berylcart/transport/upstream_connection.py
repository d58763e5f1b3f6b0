"""Send requests and read their answers on one kept connection."""

from collections.abc import Iterable

from berylcart.clock import now_s
from berylcart.protocol.http_answers import (
    AnswerEnd,
    AnswerHead,
    AnswerParser,
    Part,
)
from berylcart.state.relayed import Headers
from berylcart.transport.channel import Channel

HEAD = "HEAD"
# A larger body isn't copied to be sent with its head at once.
JOINED_BYTES = 64 * 2**10


def write_head(method: str, target: str, headers: Iterable[bytes]) -> bytes:
    r"""Write the head of a request whose header lines are written.

    >>> write_head("GET", "/", [b"host: a"])
    b'GET / HTTP/1.1\r\nhost: a\r\n\r\n'
    """
    line = f"{method} {target} HTTP/1.1".encode("latin-1")
    return b"\r\n".join([line, *headers, b"", b""])


def header_lines(headers: Headers) -> Iterable[bytes]:
    r"""Write headers; raises ValueError where one holds a line's end.

    >>> list(header_lines([(b"Host", b"a")]))
    [b'Host: a']
    """
    for name, value in headers:
        line = b"%s: %s" % (name, value)
        if b"\r" in line or b"\n" in line or b"\0" in line:
            raise ValueError("a header holds a line's end")
        yield line


class UpstreamConnection:
    """Send one request after another; its calls raise OSError."""

    def __init__(self, address: str, channel: Channel) -> None:
        self.address = address
        self.channel = channel
        self.parser = AnswerParser()
        self.usable_until_s = 0.0
        self.is_sent = False
        self.is_broken = False

    async def send(self, method: str, head: bytes, body: bytes) -> None:
        """Write a whole request."""
        if method == HEAD:
            self.parser = AnswerParser(is_head_only=True)
        self.is_sent = True
        if len(body) <= JOINED_BYTES:
            await self.channel.send(head + body)
            return
        await self.channel.send(head)
        await self.channel.send(body)

    async def next_part(self) -> Part:
        """Read the next part of an answer.

        Raises AnswerError on bytes that are none.
        """
        while True:
            part = self.parser.take()
            if part is not None:
                return part
            data = await self.channel.receive()
            if data:
                self.parser.feed(data)
            else:
                self.parser.feed_end()

    async def read_head(self) -> AnswerHead:
        """Read up to the head of the next final answer."""
        while True:
            part = await self.next_part()
            if isinstance(part, AnswerHead):
                return part

    async def read_data(self) -> bytes | None:
        """Read the next bytes of the answer, None after the last ones."""
        while True:
            part = await self.next_part()
            if isinstance(part, bytes):
                return part
            if isinstance(part, AnswerEnd):
                return None

    def prepare_reuse(self, idle_timeout_s: float) -> bool:
        """Tell whether another request may follow, and until when."""
        is_done = not self.is_broken and self.parser.is_reusable
        if not is_done or idle_timeout_s <= 0:
            return False
        self.is_sent = False
        self.usable_until_s = now_s() + idle_timeout_s
        return self.channel.is_quiet()

    def is_usable(self) -> bool:
        """Tell whether a kept connection may carry a request."""
        is_fresh = now_s() < self.usable_until_s
        return is_fresh and self.channel.is_quiet()
