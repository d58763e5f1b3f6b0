"""Tell which answers of replicas may be passed on."""

from berylcart.state.errors import (
    Code,
    InputsGoneError,
    Ran,
    UpstreamError,
)
from berylcart.state.relayed import (
    AnswerHead,
)
from berylcart.state.routes import Route

HTTP_OK = range(200, 300)
HTTP_CONFLICT = 409
HTTP_SERVER_ERRORS = range(500, 600)
# Statuses by which an answer promises that the request did not run.
HTTP_PROMISES = (408, 421, 429, 503)
REFUSED_RETRY_AFTER_MS = 500


def failed_answer(head: AnswerHead) -> UpstreamError:
    """Describe a replica's own failure, which another may better."""
    return UpstreamError(
        Code.UPSTREAM_FAILED,
        f"the replica answered {head.status}",
        ran=Ran.YES,
    )


def check_answer(head: AnswerHead, route: Route) -> None:
    """Raise UpstreamError on an answer that must not be passed on."""
    if head.did_not_run:
        if head.status == HTTP_CONFLICT:
            raise InputsGoneError
        raise UpstreamError(
            Code.NO_UPSTREAM,
            f"the replica refused with {head.status}",
            ran=Ran.NO,
            retry_after_ms=REFUSED_RETRY_AFTER_MS,
        )
    is_false_promise = head.status in HTTP_PROMISES
    if is_false_promise and not route.is_repeatable:
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
