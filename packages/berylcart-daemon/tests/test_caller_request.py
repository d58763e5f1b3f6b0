"""Fuzz request parsing: it must succeed or raise BerylcartError."""

import contextlib

import anyio
import pytest
from berylcart.state.errors import BerylcartError
from berylcart_daemon.caller_request import (
    BodyBudget,
    parse_payload,
    parse_request,
)
from berylcart_daemon.settings import LimitSettings
from hypothesis import given, seed
from hypothesis import strategies as st
from starlette.requests import Request

LIMITS = LimitSettings(body_bytes=200, total_body_bytes=1000)
HEADERS = (
    "workspace",
    "deadline-ms",
    "idempotency-key",
    "ordering-key",
    "request-id",
    "accept",
)


def make_request(headers, parts):
    """Build a request whose body arrives in parts."""
    pending = list(parts)

    async def receive():
        body = pending.pop(0) if pending else b""
        return {
            "type": "http.request",
            "body": body,
            "more_body": bool(pending),
        }

    scope = {
        "type": "http",
        "method": "POST",
        "path": "/v1/services/x",
        "path_params": {"name": "x"},
        "query_string": b"",
        "headers": headers,
    }
    return Request(scope, receive)


def parse(headers, parts):
    """Parse one request and check that it releases its body budget."""
    budget = BodyBudget(LIMITS.total_body_bytes)

    async def main():
        with budget.open_share() as share:
            return await parse_request(
                make_request(headers, parts),
                share,
                is_pipeline=False,
                limits=LIMITS,
            )

    try:
        return anyio.run(main)
    finally:
        assert budget.held_bytes == 0


@seed(1)
@given(st.binary(max_size=300))
def test_any_body_parses_to_an_object_or_raises(body):
    with contextlib.suppress(BerylcartError):
        assert isinstance(parse_payload(body), dict)


@seed(1)
@given(
    st.dictionaries(st.sampled_from(HEADERS), st.binary(max_size=40)),
    st.lists(st.binary(max_size=120), max_size=4),
)
def test_any_request_parses_or_raises(headers, parts):
    raw = [(name.encode(), value) for name, value in headers.items()]
    with contextlib.suppress(BerylcartError):
        check_request(parse(raw, parts))


def check_request(request):
    """Check the invariants of a parsed request."""
    assert 1 <= request.deadline_ms <= LIMITS.max_deadline_ms
    assert request.workspace


@pytest.mark.parametrize("parts", [[b"{", b'"a": 1', b"}"], [b'{"a": 1}']])
def test_body_parts_are_joined(parts):
    request = parse([(b"workspace", b"w")], parts)
    assert request.payload == {"a": 1}
    assert request.request_id
