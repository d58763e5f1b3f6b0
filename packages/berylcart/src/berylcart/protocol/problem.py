"""Serialize errors as problem+json (RFC 9457) for callers."""

import json
import math
from typing import NotRequired, TypedDict

from berylcart.state.errors import CODE_INFO, BerylcartError

CONTENT_TYPE = "application/problem+json"
MS_PER_S = 1000


class Problem(TypedDict):
    """Define the JSON body of an error response."""

    type: str
    title: str
    status: int
    detail: str
    code: int
    ran: str
    retry_after_ms: NotRequired[int]
    entries: NotRequired[list[str]]


class ProblemResponse(TypedDict):
    """Hold an error response ready to be sent."""

    status: int
    headers: dict[str, str]
    body: bytes


def to_problem(error: BerylcartError) -> Problem:
    """Convert an error to its JSON fields.

    >>> from berylcart.state.errors import Code
    >>> problem = to_problem(BerylcartError(Code.OVERLOADED, "queue full"))
    >>> problem["code"], problem["ran"], problem["status"]
    (2000, 'no', 503)
    """
    info = CODE_INFO[error.code]
    problem = Problem(
        type=f"urn:berylcart:code:{int(error.code)}",
        title=info.meaning,
        status=info.http_status,
        detail=error.detail,
        code=int(error.code),
        ran=error.ran.value,
    )
    if error.retry_after_ms is not None:
        problem["retry_after_ms"] = error.retry_after_ms
    if error.entries:
        problem["entries"] = list(error.entries)
    return problem


def retry_after_s(retry_after_ms: int) -> int:
    """Round up to whole seconds for the Retry-After header.

    >>> retry_after_s(1200)
    2
    """
    return max(1, math.ceil(retry_after_ms / MS_PER_S))


def to_problem_response(error: BerylcartError) -> ProblemResponse:
    """Build the HTTP response for an error."""
    problem = to_problem(error)
    headers = {"Content-Type": CONTENT_TYPE, "Ran": error.ran.value}
    if error.retry_after_ms is not None:
        headers["Retry-After"] = str(retry_after_s(error.retry_after_ms))
    body = json.dumps(problem).encode()
    return ProblemResponse(
        status=problem["status"], headers=headers, body=body
    )
