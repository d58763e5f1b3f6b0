"""Write one HTTP reply, as a whole answer or as server-sent events."""

from collections.abc import Mapping

from berylcart.protocol.problem import to_problem_response
from berylcart.protocol.serve_responses import (
    done_event,
    error_event,
    token_event,
)
from berylcart.state.errors import BerylcartError
from berylcart.state.request import ServeReply
from berylcart.state.stage import StageChunk
from starlette.types import Send

STREAM_HEADERS = {
    "Content-Type": "text/event-stream",
    "Cache-Control": "no-store",
}


def raw_headers(headers: Mapping[str, str]) -> list[tuple[bytes, bytes]]:
    """Encode headers as ASGI expects them: lower-case names, as bytes.

    >>> raw_headers({"Ran": "no"})
    [(b'ran', b'no')]
    """
    return [
        (name.lower().encode(), value.encode())
        for name, value in headers.items()
    ]


class ReplyStream:
    """Write one HTTP reply; the first event of a stream sends its headers."""

    def __init__(self, send: Send) -> None:
        self.send = send
        self.request_id = ""
        self.has_begun = False

    async def start(self, status: int, headers: Mapping[str, str]) -> None:
        """Send the status line and headers."""
        self.has_begun = True
        if self.request_id:
            headers = {**headers, "Request-Id": self.request_id}
        await self.send(
            {
                "type": "http.response.start",
                "status": status,
                "headers": raw_headers(headers),
            }
        )

    async def write(self, body: bytes, *, is_last: bool = False) -> None:
        """Send a part of the body; block while the caller reads slowly."""
        await self.send(
            {
                "type": "http.response.body",
                "body": body,
                "more_body": not is_last,
            }
        )

    async def send_chunk(self, chunk: StageChunk) -> None:
        """Send one token event."""
        if not self.has_begun:
            await self.start(200, STREAM_HEADERS)
        await self.write(token_event(chunk))

    async def finish(self, reply: ServeReply) -> None:
        """Send the done event that ends a complete stream."""
        if not self.has_begun:
            await self.start(200, STREAM_HEADERS)
        await self.write(done_event(reply), is_last=True)

    async def send_error(self, error: BerylcartError) -> None:
        """Send an error, as the last event where a stream has begun."""
        if self.has_begun:
            await self.write(error_event(error), is_last=True)
            return
        answer = to_problem_response(error)
        await self.start(answer["status"], answer["headers"])
        await self.write(answer["body"], is_last=True)
