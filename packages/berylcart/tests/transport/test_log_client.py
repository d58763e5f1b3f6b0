"""Test how the log client interprets each response."""

import anyio
import pytest
from berylcart.state.errors import (
    BerylcartError,
    LogAmbiguousError,
    LogGapError,
    LogUnavailableError,
)
from berylcart.state.records import Release
from berylcart.transport.http_client import HttpClient
from berylcart.transport.log_client import HttpLog
from hypothesis import HealthCheck, given, seed, settings
from hypothesis import strategies as st

RELEASE = Release("digest", "claim")
APPENDED = b'{"first_offset": 3, "end_offset": 4}'
APPENDED_NONE = b'{"first_offset": 3, "end_offset": 3}'
BOUNDS = b'{"start_offset": 7, "end_offset": 9}'


def response(status, body, headers=b""):
    """Serialize a complete HTTP response."""
    head = b"HTTP/1.1 %d X\r\nContent-Length: %d\r\n" % (status, len(body))
    return head + headers + b"\r\n" + body


@pytest.fixture(scope="session", name="call_log")
def call_log_fixture(serve_bytes):
    """Provide a function that makes one call and serves one response."""

    def call_log(data, call):
        async def main():
            async with serve_bytes(data) as address, HttpClient() as client:
                try:
                    return await call(HttpLog(address, client))
                except BerylcartError as error:
                    return error

        return anyio.run(main)

    return call_log


async def append(log):
    return await log.append("s", [RELEASE])


async def read(log):
    return await log.read("s", 3, wait_ms=0, limit=10)


@pytest.mark.parametrize(
    ("data", "error"),
    [
        (response(429, b"", b"Retry-After: 1\r\n"), LogUnavailableError),
        (response(503, b""), LogUnavailableError),
        (response(400, b""), LogUnavailableError),
        (response(500, APPENDED), LogAmbiguousError),
        (response(200, b"?"), LogAmbiguousError),
        (response(200, APPENDED_NONE), LogAmbiguousError),
        (response(200, APPENDED)[:-1], LogAmbiguousError),
        (b"", LogAmbiguousError),
    ],
)
def test_append_error_is_unavailable_only_if_nothing_was_appended(
    call_log, data, error
):
    assert type(call_log(data, append)) is error


def test_append_returns_its_first_offset(call_log):
    assert call_log(response(200, APPENDED), append) == 3


def test_rate_limit_error_carries_retry_after(call_log):
    error = call_log(response(429, b"", b"Retry-After: 2\r\n"), append)
    assert error.retry_after_ms == 2000


@pytest.mark.parametrize(
    ("data", "error"),
    [
        (response(410, BOUNDS), LogGapError),
        (response(410, b"?"), LogUnavailableError),
        (response(503, b""), LogUnavailableError),
        (response(200, b"?"), LogUnavailableError),
        (b"", LogUnavailableError),
    ],
)
def test_read_errors(call_log, data, error):
    assert type(call_log(data, read)) is error


@seed(1)
@settings(
    max_examples=40,
    deadline=None,
    suppress_health_check=[HealthCheck.too_slow],
)
@given(
    data=st.binary(max_size=60)
    | st.builds(
        response,
        st.sampled_from([200, 410, 429]),
        st.binary(max_size=40) | st.sampled_from([APPENDED, BOUNDS]),
    ),
    call=st.sampled_from([append, read]),
)
def test_any_response_is_a_result_or_a_typed_error(call_log, data, call):
    call_log(data, call)
