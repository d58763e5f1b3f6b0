"""Decide which replica responses may be forwarded to the client."""

from berylcart.state.errors import (
    Code,
    InputsGoneError,
    Ran,
    UpstreamError,
)
from berylcart.state.relay_messages import Headers, ResponseHead
from berylcart.state.routes import Route

HTTP_OK = range(200, 300)
HTTP_CONFLICT = 409
HTTP_SERVER_ERRORS = range(500, 600)
# Statuses by which a server may reject a request before executing it. They
# count as "not executed" only with the header that confirms it.
HTTP_NOT_EXECUTED = (408, 421, 429, 503)
REFUSED_RETRY_AFTER_MS = 500


def response_error(head: ResponseHead) -> UpstreamError:
    """Return the error for a response that another replica may replace."""
    return UpstreamError(
        Code.UPSTREAM_FAILED,
        f"the replica answered {head.status}",
        ran=Ran.YES,
    )


def content_type(headers: Headers) -> bytes | None:
    """Return the media type of a response, None if it names none.

    >>> content_type(((b"content-type", b"Text/A; q=1"),))
    b'text/a'
    """
    for name, value in headers:
        if name == b"content-type":
            return value.partition(b";")[0].strip().lower()
    return None


def check_response(head: ResponseHead, route: Route) -> None:
    """Raise UpstreamError for a response that must not be forwarded."""
    if head.did_not_run:
        if head.status == HTTP_CONFLICT:
            raise InputsGoneError
        raise UpstreamError(
            Code.NO_UPSTREAM,
            f"the replica refused with {head.status}",
            ran=Ran.NO,
            retry_after_ms=REFUSED_RETRY_AFTER_MS,
        )
    is_unconfirmed = head.status in HTTP_NOT_EXECUTED
    if is_unconfirmed and not route.is_repeatable:
        raise UpstreamError(
            Code.UPSTREAM_FAILED,
            f"{head.status} without a promise that it did not run",
            ran=Ran.UNKNOWN,
        )
    if head.status in HTTP_OK and not head.is_sealed:
        raise UpstreamError(
            Code.UPSTREAM_FAILED,
            "an answer without the replica's proof",
            ran=Ran.UNKNOWN,
        )


def check_resumed(head: ResponseHead, begun_type: bytes | None) -> None:
    """Raise UpstreamError for a response that does not go on with a stream."""
    if content_type(head.headers) != begun_type:
        raise UpstreamError(
            Code.UPSTREAM_FAILED,
            "another type of content than the stream that was begun",
            ran=Ran.UNKNOWN,
        )
