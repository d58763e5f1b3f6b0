"""Stream the tokens of an attempt as server-sent events."""

from collections.abc import Awaitable, Callable

import anyio
from anyio.streams.memory import MemoryObjectReceiveStream
from berylcart.protocol.json_codec import to_builtins, write_json
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

from berylcart_tools.standins.attempt_executor import OverloadedError
from berylcart_tools.standins.http_responses import run_until_disconnect

EmitChunk = Callable[[StageChunk], None]
PerformAttempt = Callable[[EmitChunk], Awaitable[StageReply]]


def encode_token_event(attempt_id: str, chunk: StageChunk) -> bytes:
    """Encode one token as a server-sent event."""
    message = TokenMessage(attempt_id=attempt_id, text=chunk.text)
    data = write_json(message).decode()
    return write_event(ServerEvent(TOKEN_EVENT, str(chunk.offset), data))


def encode_done_event(reply: StageReply) -> bytes:
    """Encode the final event, which carries the reply."""
    data = write_json(to_builtins(reply)).decode()
    return write_event(ServerEvent(DONE_EVENT, "", data))


class EventStreamResponse(Response):
    """Stream one attempt's tokens; a client disconnect cancels the attempt."""

    media_type = "text/event-stream"

    def __init__(
        self, perform_attempt: PerformAttempt, attempt_id: str
    ) -> None:
        super().__init__()
        del self.headers["content-length"]
        self.perform_attempt = perform_attempt
        self.attempt_id = attempt_id

    async def __call__(
        self, scope: Scope, receive: Receive, send: Send
    ) -> None:
        """Send the response until it ends or the client disconnects."""
        request = Request(scope, receive)
        await run_until_disconnect(request, lambda: self.send_events(send))

    async def send_events(self, send: Send) -> None:
        """Run the attempt and send its tokens, then the final event."""
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
            tasks.start_soon(self.send_tokens, reader, send)
            with chunks:
                try:
                    reply = await self.perform_attempt(chunks.send_nowait)
                except OverloadedError:
                    tasks.cancel_scope.cancel()
                    return
        await send_body_chunk(send, encode_done_event(reply), is_last=True)

    async def send_tokens(
        self, reader: MemoryObjectReceiveStream[StageChunk], send: Send
    ) -> None:
        """Send each token as soon as it is generated."""
        async with reader:
            async for chunk in reader:
                event = encode_token_event(self.attempt_id, chunk)
                await send_body_chunk(send, event, is_last=False)


async def send_body_chunk(send: Send, body: bytes, *, is_last: bool) -> None:
    """Send one chunk of the response body."""
    await send(
        {"type": "http.response.body", "body": body, "more_body": not is_last}
    )
