"""Run attempts on upstreams over HTTP."""

from berylcart import events
from berylcart.coordination.ports import ChunkSink
from berylcart.protocol.json_values import MessageError
from berylcart.protocol.sse import EventParser, ServerEvent
from berylcart.protocol.upstream_messages import (
    DONE_EVENT,
    INSTANCE_HEADER,
    TOKEN_EVENT,
    read_load,
    read_reply,
    read_token,
    write_run,
)
from berylcart.state.errors import BerylcartError, Code, Ran, UpstreamError
from berylcart.state.stage import StageCall, StageChunk, StageReply
from berylcart.state.vm import LoadReport, Vm
from berylcart.transport.http_client import (
    HttpClient,
    HttpError,
    HttpRequest,
    HttpStream,
)
from berylcart.transport.upstream_errors import (
    failed,
    from_http_error,
    from_status,
)

RUN_PATH = "/v1/run"
LOAD_PATH = "/v1/load"
LOAD_TIMEOUT_MS = 500

STATUS_OK = 200
STREAM_TYPE = "text/event-stream"


def run_request(call: StageCall) -> HttpRequest:
    """Write the request of an attempt; raises UpstreamError."""
    try:
        body = write_run(call)
    except MessageError as error:
        raise UpstreamError(
            Code.UPSTREAM_REJECTED, error.detail, ran=Ran.NO
        ) from error
    headers = ((INSTANCE_HEADER, call.vm.instance),)
    return HttpRequest(
        "POST", call.vm.address, RUN_PATH, body, headers, call.deadline_ms
    )


class HttpUpstreams:
    """Implement the Upstreams port over HTTP.

    crossed_answers counts the answers that were dropped because they named
    another attempt or came from another instance.
    """

    def __init__(self, client: HttpClient) -> None:
        self.client = client
        self.crossed_answers = 0

    async def call(
        self, call: StageCall, sink: ChunkSink | None = None
    ) -> StageReply:
        """Run one attempt, giving each streamed chunk to the sink.

        Raises UpstreamError. Cancelling the call closes the connection. A
        whole reply may come without chunks when the call starts at offset
        0, also where a stream was asked for.
        """
        request = run_request(call)
        try:
            async with self.client.stream(request) as stream:
                return await self.read_answer(call, stream, sink)
        except HttpError as error:
            raise from_http_error(error) from error
        except MessageError as error:
            raise failed(error.detail) from error

    async def read_answer(
        self, call: StageCall, stream: HttpStream, sink: ChunkSink | None
    ) -> StageReply:
        """Read a reply, streamed or not."""
        if stream.status != STATUS_OK:
            raise await from_status(stream)
        content_type = stream.headers.get("content-type", "")
        if not content_type.startswith(STREAM_TYPE):
            return await self.read_whole(call, stream)
        if not call.is_stream:
            raise failed("a stream was not asked for")
        return await self.read_stream(call, stream, sink)

    async def read_whole(
        self, call: StageCall, stream: HttpStream
    ) -> StageReply:
        """Read a reply that comes at once."""
        reply = read_reply(await stream.read_body())
        self.check_attempt(call, reply.attempt_id)
        self.check_instance(call, reply.instance)
        if call.start_offset > 0:
            raise failed("the upstream did not resume the stream")
        return reply

    async def read_stream(
        self, call: StageCall, stream: HttpStream, sink: ChunkSink | None
    ) -> StageReply:
        """Read a streamed reply up to its last event."""
        parser = EventParser()
        reader = StreamReader(call.start_offset)
        async for data in stream.chunks:
            for event in parser.feed(data):
                if event.name == DONE_EVENT:
                    return self.finish(call, reader, event)
                if event.name == TOKEN_EVENT:
                    chunk = self.take_token(call, reader, event)
                    if sink is not None:
                        await sink(chunk)
        raise failed("the stream ended before its last event")

    def take_token(
        self, call: StageCall, reader: "StreamReader", event: ServerEvent
    ) -> StageChunk:
        """Take one token of this attempt."""
        attempt_id, chunk = read_token(event)
        self.check_attempt(call, attempt_id)
        reader.take(chunk)
        return chunk

    def finish(
        self, call: StageCall, reader: "StreamReader", event: ServerEvent
    ) -> StageReply:
        """Check the last event against the tokens before it."""
        reply = read_reply(event.data)
        self.check_attempt(call, reply.attempt_id)
        self.check_instance(call, reply.instance)
        reader.check_whole(reply)
        return reply

    def check_attempt(self, call: StageCall, attempt_id: str) -> None:
        """Drop and count an answer that names another attempt."""
        if attempt_id != call.attempt_id:
            self.drop(call, "another attempt")

    def check_instance(self, call: StageCall, instance: str) -> None:
        """Drop and count an answer that comes from another instance."""
        if instance != call.vm.instance:
            self.drop(call, "another instance")

    def drop(self, call: StageCall, detail: str) -> None:
        """Count a crossed answer and fail the attempt."""
        self.crossed_answers += 1
        events.warning(
            "upstream.crossed_answer",
            attempt_id=call.attempt_id,
            vm_id=call.vm.vm_id,
            detail=detail,
        )
        raise failed(f"the answer belongs to {detail}")

    async def load(self, vm: Vm) -> LoadReport:
        """Fetch an upstream's load report; raises BerylcartError."""
        request = HttpRequest(
            "GET", vm.address, LOAD_PATH, timeout_ms=LOAD_TIMEOUT_MS
        )
        answer = await self.client.request(request)
        if answer.status != STATUS_OK:
            raise BerylcartError(
                Code.UPSTREAM_FAILED, f"no load report: {answer.status}"
            )
        report = read_load(answer.body)
        if report["instance"] != vm.instance:
            raise BerylcartError(
                Code.UPSTREAM_FAILED, "the load report is another instance's"
            )
        return LoadReport(
            report["in_flight"],
            report["queued"],
            report["capacity"],
            report["state"],
        )


class StreamReader:
    """Check that a stream's tokens are whole and in order."""

    def __init__(self, start_offset: int) -> None:
        self.next_offset = start_offset
        self.texts: list[str] = []

    def take(self, chunk: StageChunk) -> None:
        """Take the next token; raises UpstreamError out of order."""
        if chunk.offset != self.next_offset:
            raise failed(
                f"the stream jumped to offset {chunk.offset}"
                f" from {self.next_offset}"
            )
        self.next_offset += 1
        self.texts.append(chunk.text)

    def check_whole(self, reply: StageReply) -> None:
        """Compare the count and text at the end with the tokens.

        Raises UpstreamError when they differ.
        """
        if reply.usage.tokens != len(self.texts):
            raise failed("the stream's token count differs from its end")
        if not isinstance(reply.output, dict):
            return
        if reply.output.get("text") != "".join(self.texts):
            raise failed("the stream's text differs from its end")
