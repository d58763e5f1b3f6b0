"""Send requests and read responses on one persistent connection."""

from collections.abc import Iterable

from berylcart.clock import now_s
from berylcart.protocol.http_responses import (
    ResponseEnd,
    ResponseHead,
    ResponseParser,
    ResponsePart,
)
from berylcart.state.relay_messages import Headers
from berylcart.transport.channel import Channel

HEAD = "HEAD"
# Bodies up to this size are copied behind the head and sent in one call.
MAX_COALESCED_BYTES = 64 * 2**10


def write_head(method: str, target: str, headers: Iterable[bytes]) -> bytes:
    r"""Serialize the head of a request from encoded header lines.

    >>> write_head("GET", "/", [b"host: a"])
    b'GET / HTTP/1.1\r\nhost: a\r\n\r\n'
    """
    line = f"{method} {target} HTTP/1.1".encode("latin-1")
    return b"\r\n".join([line, *headers, b"", b""])


def header_lines(headers: Headers) -> Iterable[bytes]:
    r"""Yield encoded header lines; raises ValueError on a line break.

    >>> list(header_lines([(b"Host", b"a")]))
    [b'Host: a']
    """
    for name, value in headers:
        line = b"%s: %s" % (name, value)
        if b"\r" in line or b"\n" in line or b"\0" in line:
            raise ValueError("a header holds a line's end")
        yield line


class UpstreamConnection:
    """Send requests one after another; the methods raise OSError."""

    def __init__(self, address: str, channel: Channel) -> None:
        self.address = address
        self.channel = channel
        self.parser = ResponseParser()
        self.expires_s = 0.0
        self.is_sent = False
        self.is_broken = False
        # Whether an earlier request was answered on this connection.
        self.is_reused = False
        # Marks of earlier responses, by which a repeated one is recognized.
        self.seen_marks: set[str] = set()

    async def send(self, method: str, head: bytes, body: bytes) -> None:
        """Send a request until all of it is sent or its response begins.

        The rest is sent while the response is read. An error of the
        connection shows there, behind a response that arrived before it.
        """
        if method == HEAD:
            self.parser = ResponseParser(is_response_to_head=True)
        self.is_sent = True
        if len(body) <= MAX_COALESCED_BYTES:
            self.channel.start_sending(head + body)
        else:
            self.channel.start_sending(head, body)
        await self.channel.send_output_until_input()

    async def next_part(self) -> ResponsePart:
        """Read the next part of a response.

        Raises AnswerError on bytes that are not a valid response. A response
        that ends with its connection is complete only if the peer received
        the whole request: a process that ends while it reads leaves an
        orderly end too.
        """
        while True:
            part = self.parser.next_part()
            if part is not None:
                return part
            data = await self.channel.receive()
            if data:
                self.parser.feed(data)
                continue
            if self.parser.ends_with_connection:
                await self.channel.confirm_output()
            self.parser.feed_eof()

    async def read_head(self) -> ResponseHead:
        """Read up to the next response head; skips other parts."""
        while True:
            part = await self.next_part()
            if isinstance(part, ResponseHead):
                return part

    async def read_data(self) -> bytes | None:
        """Return the next bytes of the body, None at its end."""
        while True:
            part = await self.next_part()
            if isinstance(part, bytes):
                return part
            if isinstance(part, ResponseEnd):
                return None

    def prepare_reuse(self, idle_timeout_s: float) -> bool:
        """Set the expiry of an idle connection; return whether to keep it."""
        is_done = not self.is_broken and self.parser.is_reusable
        if not is_done or idle_timeout_s <= 0:
            return False
        self.channel.expect_prompt_peer()
        self.is_sent = False
        self.is_reused = True
        self.expires_s = now_s() + idle_timeout_s
        return self.channel.is_idle()

    def is_usable(self) -> bool:
        """Return whether an idle connection may be reused."""
        is_fresh = now_s() < self.expires_s
        return is_fresh and self.channel.is_idle()
