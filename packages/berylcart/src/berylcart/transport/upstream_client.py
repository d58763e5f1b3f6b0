"""Run attempts on upstreams over HTTP."""

from berylcart import events
from berylcart.coordination.ports import ChunkSink
from berylcart.protocol.json_codec import MessageError
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
    HttpStreamingResponse,
)
from berylcart.transport.upstream_errors import (
    convert_error_response,
    convert_http_error,
    upstream_failure,
)

RUN_PATH = "/v1/run"
LOAD_PATH = "/v1/load"
LOAD_TIMEOUT_MS = 500

STATUS_OK = 200
STREAM_TYPE = "text/event-stream"


def run_request(call: StageCall) -> HttpRequest:
    """Build the HTTP request of an attempt; raises UpstreamError."""
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

    mismatched_responses counts the responses that were rejected
    because they name another attempt or another instance.
    """

    def __init__(self, client: HttpClient) -> None:
        self.client = client
        self.mismatched_responses = 0

    async def call(
        self, call: StageCall, sink: ChunkSink | None = None
    ) -> StageReply:
        """Run one attempt, passing each streamed chunk to the sink.

        Raises UpstreamError. Cancelling the call closes the connection. A
        call that starts at offset 0 may get its reply without chunks, even if
        it requested a stream.
        """
        request = run_request(call)
        try:
            async with self.client.stream(request) as stream:
                return await self.read_response(call, stream, sink)
        except HttpError as error:
            raise convert_http_error(error) from error
        except MessageError as error:
            raise upstream_failure(error.detail) from error

    async def read_response(
        self,
        call: StageCall,
        stream: HttpStreamingResponse,
        sink: ChunkSink | None,
    ) -> StageReply:
        """Parse a response, streamed or not."""
        if stream.status != STATUS_OK:
            raise await convert_error_response(stream)
        content_type = stream.headers.get("content-type", "")
        if not content_type.startswith(STREAM_TYPE):
            return await self.read_single(call, stream)
        if not call.is_stream:
            raise upstream_failure("a stream was not asked for")
        return await self.read_stream(call, stream, sink)

    async def read_single(
        self, call: StageCall, stream: HttpStreamingResponse
    ) -> StageReply:
        """Parse a response that is not streamed."""
        reply = read_reply(await stream.read_body())
        self.check_attempt(call, reply.attempt_id)
        self.check_instance(call, reply.instance)
        if call.start_offset > 0:
            raise upstream_failure("the upstream did not resume the stream")
        return reply

    async def read_stream(
        self,
        call: StageCall,
        stream: HttpStreamingResponse,
        sink: ChunkSink | None,
    ) -> StageReply:
        """Parse a streamed response up to its final event."""
        parser = EventParser()
        checker = StreamChecker(call.start_offset)
        async for data in stream.chunks:
            for event in parser.feed(data):
                if event.name == DONE_EVENT:
                    return self.parse_final_event(call, checker, event)
                if event.name == TOKEN_EVENT:
                    chunk = self.parse_token(call, checker, event)
                    if sink is not None:
                        await sink(chunk)
        raise upstream_failure("the stream ended before its last event")

    def parse_token(
        self, call: StageCall, checker: "StreamChecker", event: ServerEvent
    ) -> StageChunk:
        """Validate and parse one token event."""
        attempt_id, chunk = read_token(event)
        self.check_attempt(call, attempt_id)
        checker.add(chunk)
        return chunk

    def parse_final_event(
        self, call: StageCall, checker: "StreamChecker", event: ServerEvent
    ) -> StageReply:
        """Validate the final event against the tokens before it."""
        reply = read_reply(event.data)
        self.check_attempt(call, reply.attempt_id)
        self.check_instance(call, reply.instance)
        checker.check_complete(reply)
        return reply

    def check_attempt(self, call: StageCall, attempt_id: str) -> None:
        """Reject a response that names another attempt."""
        if attempt_id != call.attempt_id:
            self.reject_mismatched(call, "another attempt")

    def check_instance(self, call: StageCall, instance: str) -> None:
        """Reject a response that names another instance."""
        if instance != call.vm.instance:
            self.reject_mismatched(call, "another instance")

    def reject_mismatched(self, call: StageCall, detail: str) -> None:
        """Count a mismatched response; always raises UpstreamError."""
        self.mismatched_responses += 1
        events.warning(
            "upstream.mismatched_response_rejected",
            attempt_id=call.attempt_id,
            vm_id=call.vm.vm_id,
            detail=detail,
        )
        raise upstream_failure(f"the answer belongs to {detail}")

    async def load(self, vm: Vm) -> LoadReport:
        """Fetch an upstream's load report; raises BerylcartError."""
        request = HttpRequest(
            "GET", vm.address, LOAD_PATH, timeout_ms=LOAD_TIMEOUT_MS
        )
        response = await self.client.request(request)
        if response.status != STATUS_OK:
            raise BerylcartError(
                Code.UPSTREAM_FAILED,
                f"the load report request returned status {response.status}",
            )
        report = read_load(response.body)
        if report["instance"] != vm.instance:
            raise BerylcartError(
                Code.UPSTREAM_FAILED,
                "the load report belongs to another instance",
            )
        return LoadReport(
            report["in_flight"],
            report["queued"],
            report["capacity"],
            report["state"],
        )


class StreamChecker:
    """Check that the tokens of a stream are complete and in order."""

    def __init__(self, start_offset: int) -> None:
        self.next_offset = start_offset
        self.texts: list[str] = []

    def add(self, chunk: StageChunk) -> None:
        """Add the next token; raises UpstreamError if it is out of order."""
        if chunk.offset != self.next_offset:
            raise upstream_failure(
                f"the stream jumped to offset {chunk.offset} "
                f"from {self.next_offset}"
            )
        self.next_offset += 1
        self.texts.append(chunk.text)

    def check_complete(self, reply: StageReply) -> None:
        """Compare the final token count and text with the tokens.

        Raises UpstreamError when they differ.
        """
        if reply.usage.tokens != len(self.texts):
            raise upstream_failure(
                "the stream's token count differs from its end"
            )
        if not isinstance(reply.output, dict):
            return
        if reply.output.get("text") != "".join(self.texts):
            raise upstream_failure("the stream's text differs from its end")
