"""Check how each answer of the log is judged."""

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
SHORT = b'{"first_offset": 3, "end_offset": 3}'
BOUNDS = b'{"start_offset": 7, "end_offset": 9}'


def answer(status, body, headers=b""):
    """Write a whole HTTP answer."""
    head = b"HTTP/1.1 %d X\r\nContent-Length: %d\r\n" % (status, len(body))
    return head + headers + b"\r\n" + body


@pytest.fixture(scope="session", name="on_log")
def offer_on_log(answering):
    """Give the function that makes one call on a log with one answer."""

    def on_log(data, call):
        async def main():
            async with answering(data) as address, HttpClient() as client:
                try:
                    return await call(HttpLog(address, client))
                except BerylcartError as error:
                    return error

        return anyio.run(main)

    return on_log


async def append(log):
    return await log.append("s", [RELEASE])


async def read(log):
    return await log.read("s", 3, wait_ms=0, limit=10)


@pytest.mark.parametrize(
    ("data", "error"),
    [
        (answer(429, b"", b"Retry-After: 1\r\n"), LogUnavailableError),
        (answer(503, b""), LogUnavailableError),
        (answer(400, b""), LogUnavailableError),
        (answer(500, APPENDED), LogAmbiguousError),
        (answer(200, b"?"), LogAmbiguousError),
        (answer(200, SHORT), LogAmbiguousError),
        (answer(200, APPENDED)[:-1], LogAmbiguousError),
        (b"", LogAmbiguousError),
    ],
)
def test_append_is_unavailable_only_when_nothing_was_appended(
    on_log, data, error
):
    assert type(on_log(data, append)) is error


def test_append_gives_its_first_offset(on_log):
    assert on_log(answer(200, APPENDED), append) == 3


def test_rate_says_when_to_retry(on_log):
    error = on_log(answer(429, b"", b"Retry-After: 2\r\n"), append)
    assert error.retry_after_ms == 2000


@pytest.mark.parametrize(
    ("data", "error"),
    [
        (answer(410, BOUNDS), LogGapError),
        (answer(410, b"?"), LogUnavailableError),
        (answer(503, b""), LogUnavailableError),
        (answer(200, b"?"), LogUnavailableError),
        (b"", LogUnavailableError),
    ],
)
def test_read_errors(on_log, data, error):
    assert type(on_log(data, read)) is error


@seed(1)
@settings(
    max_examples=40,
    deadline=None,
    suppress_health_check=[HealthCheck.too_slow],
)
@given(
    data=st.binary(max_size=60)
    | st.builds(
        answer,
        st.sampled_from([200, 410, 429]),
        st.binary(max_size=40) | st.sampled_from([APPENDED, BOUNDS]),
    ),
    call=st.sampled_from([append, read]),
)
def test_any_answer_is_a_result_or_a_typed_error(on_log, data, call):
    on_log(data, call)
