"""Parse and validate callers' HTTP requests within size and time limits."""

import contextlib
import re
import secrets
from collections.abc import Iterator
from typing import Any

import anyio
from berylcart.clock import now_s
from berylcart.protocol.http_requests import HEADER_OVERHEAD_BYTES
from berylcart.state.errors import BerylcartError, Code
from berylcart.state.relay_messages import Headers
from berylcart.state.request import ServeRequest
from pydantic_core import from_json
from starlette.requests import ClientDisconnect, Request

from berylcart_daemon.settings import LimitSettings

MS_PER_S = 1000
DEFAULT_DEADLINE_MS = 3000
KEY_PATTERN = re.compile(r"[\x21-\x7e]{1,255}")
REQUEST_ID_PATTERN = re.compile(r"[0-9A-Za-z._-]{1,64}")
REQUEST_ID_BYTES = 8
# Heads that take no more memory than this do not count.
USUAL_HEAD_BYTES = 16 * 2**10
EVENT_STREAM = "text/event-stream"


def make_request_id(caller_id: str) -> str:
    """Make a unique request id, prefixed with the caller's id if it sent one.

    Raises BAD_REQUEST when the caller's id is malformed. The random suffix
    keeps ids distinct when callers reuse theirs.

    >>> make_request_id("visit-7").startswith("visit-7~")
    True
    """
    unique_id = secrets.token_hex(REQUEST_ID_BYTES)
    if not caller_id:
        return unique_id
    if not REQUEST_ID_PATTERN.fullmatch(caller_id):
        raise BerylcartError(
            Code.BAD_REQUEST,
            "Request-Id must be 1 to 64 letters, digits, '.', '_' or '-'",
        )
    return f"{caller_id}~{unique_id}"


def read_key_header(request: Request, name: str) -> str:
    """Read an optional key header; raises BAD_REQUEST if it is malformed."""
    value = request.headers.get(name, "")
    if value and not KEY_PATTERN.fullmatch(value):
        raise BerylcartError(
            Code.BAD_REQUEST,
            f"{name} must be 1 to 255 visible ASCII characters",
        )
    return value


def read_deadline_ms(request: Request, limits: LimitSettings) -> int:
    """Read Deadline-Ms; raises DEADLINE_INVALID unless it is in range."""
    text = request.headers.get("deadline-ms", str(DEFAULT_DEADLINE_MS))
    is_valid = text.isdecimal() and text.isascii() and len(text) < 10
    if not is_valid or not 1 <= int(text) <= limits.max_deadline_ms:
        raise BerylcartError(
            Code.DEADLINE_INVALID,
            f"Deadline-Ms must be from 1 to {limits.max_deadline_ms}",
        )
    return int(text)


def large_head_bytes(headers: Headers) -> int:
    """Return what the lines of a head take in memory, 0 for a usual head.

    >>> large_head_bytes(((b"host", b"h"),))
    0
    >>> large_head_bytes(((b"a", b""),) * 1000)
    217000
    """
    count_bytes = sum(
        HEADER_OVERHEAD_BYTES + len(name) + len(value)
        for name, value in headers
    )
    return count_bytes if count_bytes > USUAL_HEAD_BYTES else 0


class BodyBudget:
    """Limit the memory of the bodies and large heads of requests.

    >>> budget = BodyBudget(10)
    >>> with budget.open_share() as share:
    ...     share.add(8)
    ...     budget.held_bytes
    8
    >>> budget.held_bytes
    0
    """

    def __init__(self, limit_bytes: int) -> None:
        self.limit_bytes = limit_bytes
        self.held_bytes = 0

    @contextlib.contextmanager
    def open_share(self) -> Iterator["BodyShare"]:
        """Give a share for one request's body and release it on exit."""
        share = BodyShare(self)
        try:
            yield share
        finally:
            self.held_bytes -= share.held_bytes


class BodyShare:
    """Count the bytes of a budget that one request uses."""

    def __init__(self, budget: BodyBudget) -> None:
        self.budget = budget
        self.held_bytes = 0

    def add(self, count: int) -> None:
        """Reserve more bytes; raises OVERLOADED if the budget is exhausted."""
        if self.budget.held_bytes + count > self.budget.limit_bytes:
            raise BerylcartError(
                Code.OVERLOADED,
                "the requests in flight fill their memory",
                retry_after_ms=MS_PER_S,
            )
        self.held_bytes += count
        self.budget.held_bytes += count


async def read_body(
    request: Request, limits: LimitSettings, share: BodyShare
) -> bytes:
    """Read a request body; raises BerylcartError if too large or too slow."""
    body = bytearray()
    try:
        with anyio.fail_after(limits.request_timeout_ms / MS_PER_S):
            async for part in request.stream():
                share.add(len(part))
                body += part
                if len(body) > limits.body_bytes:
                    raise BerylcartError(
                        Code.BODY_TOO_LARGE,
                        f"the body exceeds {limits.body_bytes} bytes",
                    )
    except TimeoutError:
        raise BerylcartError(
            Code.REQUEST_TIMEOUT,
            f"the body did not arrive in {limits.request_timeout_ms} ms",
        ) from None
    except ClientDisconnect:
        raise BerylcartError(
            Code.BAD_REQUEST, "the connection closed inside the body"
        ) from None
    return bytes(body)


def parse_payload(body: bytes) -> dict[str, Any]:
    """Parse a JSON object; raises BAD_REQUEST if it is not one.

    >>> parse_payload(b'{"text": "hem"}')
    {'text': 'hem'}
    """
    try:
        payload = from_json(body, allow_inf_nan=False)
    except ValueError as error:
        raise BerylcartError(
            Code.BAD_REQUEST, f"the body is not JSON: {error}"
        ) from None
    if not isinstance(payload, dict):
        raise BerylcartError(
            Code.BAD_REQUEST, "the body must be a JSON object"
        )
    return payload


async def parse_request(
    request: Request,
    share: BodyShare,
    *,
    is_pipeline: bool,
    limits: LimitSettings,
) -> ServeRequest:
    """Parse and validate one request; raises BerylcartError."""
    received_at_s = now_s()
    deadline_ms = read_deadline_ms(request, limits)
    workspace = request.headers.get("workspace", "")
    if not workspace:
        raise BerylcartError(
            Code.BAD_REQUEST, "the Workspace header is missing"
        )
    idempotency_key = read_key_header(request, "idempotency-key")
    ordering_key = read_key_header(request, "ordering-key")
    body = await read_body(request, limits, share)
    return ServeRequest(
        request_id=make_request_id(request.headers.get("request-id", "")),
        workspace=workspace,
        target=request.path_params["name"],
        is_pipeline=is_pipeline,
        payload=parse_payload(body),
        deadline_ms=deadline_ms,
        deadline_at_s=received_at_s + deadline_ms / MS_PER_S,
        idempotency_key=idempotency_key,
        ordering_key=ordering_key,
        is_stream=EVENT_STREAM in request.headers.get("accept", ""),
    )
