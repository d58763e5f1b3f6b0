"""Map failures of an attempt to UpstreamError; tell if it may have run."""

from collections.abc import Mapping

from berylcart.protocol.json_codec import MessageError
from berylcart.protocol.upstream_messages import RefusalReason, read_refusal
from berylcart.state.errors import Code, Ran, UpstreamError
from berylcart.transport.http_client import (
    HttpError,
    HttpStreamingResponse,
    HttpTimeoutError,
    retry_after_ms,
)

MAX_REFUSAL_BYTES = 1 << 16
STATUS_REJECTED = (400, 422)
STATUS_OTHER_INSTANCE = 412
STATUS_REFUSED = (429, 503)


def upstream_failure(detail: str, ran: Ran = Ran.UNKNOWN) -> UpstreamError:
    """Build the error of a failed attempt."""
    return UpstreamError(Code.UPSTREAM_FAILED, detail, ran=ran)


def convert_http_error(error: HttpError) -> UpstreamError:
    """Convert the error of an attempt without a complete response."""
    code = Code.UPSTREAM_FAILED
    if isinstance(error, HttpTimeoutError):
        code = Code.DEADLINE_EXCEEDED
    return UpstreamError(code, error.detail, ran=error.ran)


def convert_refusal(headers: Mapping[str, str], body: bytes) -> UpstreamError:
    """Convert a refusal; without header or reason it may have run."""
    header_ms = retry_after_ms(headers)
    if header_ms is None:
        return upstream_failure("a refusal without Retry-After")
    try:
        refusal = read_refusal(body)
    except MessageError as error:
        return upstream_failure(error.detail)
    is_draining = refusal["reason"] == RefusalReason.DRAINING
    return UpstreamError(
        Code.NO_UPSTREAM if is_draining else Code.OVERLOADED,
        f"the upstream refused: {refusal['reason'].value}",
        ran=Ran.NO,
        is_draining=is_draining,
        retry_after_ms=refusal.get("retry_after_ms", header_ms),
    )


async def convert_error_response(
    stream: HttpStreamingResponse,
) -> UpstreamError:
    """Convert a response with an error status."""
    if stream.status in STATUS_REJECTED:
        detail = f"the upstream answered {stream.status}"
        return UpstreamError(Code.UPSTREAM_REJECTED, detail, ran=Ran.NO)
    if stream.status == STATUS_OTHER_INSTANCE:
        return upstream_failure(
            "another instance listens at this address", Ran.NO
        )
    if stream.status in STATUS_REFUSED:
        body = await stream.read_body(MAX_REFUSAL_BYTES)
        return convert_refusal(stream.headers, body)
    return upstream_failure(f"the upstream answered {stream.status}")
