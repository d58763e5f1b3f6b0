"""Make a caller's HTTP request canonical, within its limits."""

import contextlib
import re
import secrets
from collections.abc import Iterator
from typing import Any

import anyio
from berylcart.clock import now_s
from berylcart.state.errors import BerylcartError, Code
from berylcart.state.request import ServeRequest
from pydantic_core import from_json
from starlette.requests import ClientDisconnect, Request

from berylcart_daemon.settings import LimitSettings

MS_PER_S = 1000
DEFAULT_DEADLINE_MS = 3000
KEY_PATTERN = re.compile(r"[\x21-\x7e]{1,255}")
REQUEST_ID_PATTERN = re.compile(r"[0-9A-Za-z._-]{1,64}")
REQUEST_ID_BYTES = 8
EVENT_STREAM = "text/event-stream"


def make_request_id(wanted: str) -> str:
    """Make an id of our own, with the caller's in front of it.

    Raises BAD_REQUEST when the caller's id is malformed. Two requests never
    share an id, whatever their callers send.

    >>> make_request_id("visit-7").startswith("visit-7~")
    True
    """
    own = secrets.token_hex(REQUEST_ID_BYTES)
    if not wanted:
        return own
    if not REQUEST_ID_PATTERN.fullmatch(wanted):
        raise BerylcartError(
            Code.BAD_REQUEST,
            "Request-Id must be 1 to 64 letters, digits, '.', '_' or '-'",
        )
    return f"{wanted}~{own}"


def header_key(request: Request, name: str) -> str:
    """Read an optional key header; raises BerylcartError if malformed."""
    value = request.headers.get(name, "")
    if value and not KEY_PATTERN.fullmatch(value):
        raise BerylcartError(
            Code.BAD_REQUEST,
            f"{name} must be 1 to 255 visible ASCII characters",
        )
    return value


def deadline_ms_of(request: Request, limits: LimitSettings) -> int:
    """Read Deadline-Ms; raises BerylcartError when out of range."""
    text = request.headers.get("deadline-ms", str(DEFAULT_DEADLINE_MS))
    is_valid = text.isdecimal() and text.isascii() and len(text) < 10
    if not is_valid or not 1 <= int(text) <= limits.max_deadline_ms:
        raise BerylcartError(
            Code.DEADLINE_INVALID,
            f"Deadline-Ms must be from 1 to {limits.max_deadline_ms}",
        )
    return int(text)


class BodyBudget:
    """Bound the bytes of all bodies that the daemon holds at once.

    >>> budget = BodyBudget(10)
    >>> with budget.holding() as share:
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
    def holding(self) -> Iterator["BodyShare"]:
        """Count one request's bytes while the block runs."""
        share = BodyShare(self)
        try:
            yield share
        finally:
            self.held_bytes -= share.held_bytes


class BodyShare:
    """Count the bytes that one request holds."""

    def __init__(self, budget: BodyBudget) -> None:
        self.budget = budget
        self.held_bytes = 0

    def add(self, count: int) -> None:
        """Hold more bytes; raises OVERLOADED when there is no room."""
        if self.budget.held_bytes + count > self.budget.limit_bytes:
            raise BerylcartError(
                Code.OVERLOADED,
                "the bodies of requests in flight fill their memory",
                retry_after_ms=MS_PER_S,
            )
        self.held_bytes += count
        self.budget.held_bytes += count


async def read_body(
    request: Request, limits: LimitSettings, share: BodyShare
) -> bytes:
    """Read a body; raises BerylcartError when too large or too slow."""
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
    """Parse a JSON object; raises BerylcartError.

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
    """Read one request in canonical form; raises BerylcartError."""
    received_at_s = now_s()
    deadline_ms = deadline_ms_of(request, limits)
    workspace = request.headers.get("workspace", "")
    if not workspace:
        raise BerylcartError(
            Code.BAD_REQUEST, "the Workspace header is missing"
        )
    idempotency_key = header_key(request, "idempotency-key")
    ordering_key = header_key(request, "ordering-key")
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
