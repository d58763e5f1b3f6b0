"""Answer an attempt with server-sent events."""

from collections.abc import Awaitable, Callable

import anyio
from anyio.streams.memory import MemoryObjectReceiveStream
from berylcart.protocol.json_values import to_plain, write_json
from berylcart.protocol.sse import ServerEvent, write_event
from berylcart.protocol.upstream_messages import (
    DONE_EVENT,
    TOKEN_EVENT,
    TokenMessage,
)
from berylcart.state.stage import StageChunk, StageReply
from starlette.requests import Request
from starlette.responses import Response
from starlette.types import Receive, Scope, Send

from berylcart_tools.standins.replies import run_until_closed
from berylcart_tools.standins.work import OverloadedError

Emit = Callable[[StageChunk], None]
Perform = Callable[[Emit], Awaitable[StageReply]]


def token_event(attempt_id: str, chunk: StageChunk) -> bytes:
    """Write one token."""
    message = TokenMessage(attempt_id=attempt_id, text=chunk.text)
    data = write_json(message).decode()
    return write_event(ServerEvent(TOKEN_EVENT, str(chunk.offset), data))


def done_event(reply: StageReply) -> bytes:
    """Write the last event."""
    data = write_json(to_plain(reply)).decode()
    return write_event(ServerEvent(DONE_EVENT, "", data))


class EventStream(Response):
    """Stream one attempt's tokens, cancelling it when the caller closes."""

    media_type = "text/event-stream"

    def __init__(self, perform: Perform, attempt_id: str) -> None:
        super().__init__()
        del self.headers["content-length"]
        self.perform = perform
        self.attempt_id = attempt_id

    async def __call__(
        self, scope: Scope, receive: Receive, send: Send
    ) -> None:
        """Serve the stream."""
        request = Request(scope, receive)
        await run_until_closed(request, lambda: self.stream(send))

    async def stream(self, send: Send) -> None:
        """Run the attempt and send what it gives."""
        await send(
            {
                "type": "http.response.start",
                "status": self.status_code,
                "headers": self.raw_headers,
            }
        )
        chunks, reader = anyio.create_memory_object_stream[StageChunk](
            float("inf")
        )
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self.forward, reader, send)
            with chunks:
                try:
                    reply = await self.perform(chunks.send_nowait)
                except OverloadedError:
                    tasks.cancel_scope.cancel()
                    return
        await send_body(send, done_event(reply), is_last=True)

    async def forward(
        self, reader: MemoryObjectReceiveStream[StageChunk], send: Send
    ) -> None:
        """Send each token as it comes."""
        async with reader:
            async for chunk in reader:
                event = token_event(self.attempt_id, chunk)
                await send_body(send, event, is_last=False)


async def send_body(send: Send, body: bytes, *, is_last: bool) -> None:
    """Send one piece of the body."""
    await send(
        {"type": "http.response.body", "body": body, "more_body": not is_last}
    )
