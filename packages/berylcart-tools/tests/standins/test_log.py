"""Test the log stand-in through its HTTP client."""

import json
from functools import partial

import anyio
import pytest
import trio
from berylcart.coordination.config.follower import ConfigFollower
from berylcart.state.errors import (
    LogAmbiguousError,
    LogGapError,
    LogUnavailableError,
)
from berylcart.state.records import CONFIG_STREAM, Publication, Release
from berylcart.transport.http_client import (
    MAX_BODY_BYTES,
    HttpClient,
    HttpRequest,
)
from berylcart.transport.log_client import HttpLog
from berylcart_tools.standins.log import (
    LogSettings,
    LogStandin,
    serve_log,
)
from berylcart_tools.standins.serve import running
from trio.testing import MockClock

RELEASE = Release("digest", "claim")


SETTINGS = LogSettings()


def run_with_log(scenario, settings=SETTINGS):
    """Run a scenario with a client of a running log stand-in."""

    async def main():
        async with (
            running(serve_log, settings) as address,
            HttpClient() as client,
        ):
            await scenario(HttpLog(address, client))

    anyio.run(main)


async def send(log, method, path, body=b""):
    return await log.client.request(
        HttpRequest(method, log.address, path, body)
    )


async def set_faults(log, **faults):
    body = json.dumps(faults).encode()
    response = await send(log, "PUT", "/admin/faults", body)
    assert response.status == 204


def test_records_are_read_in_append_order():
    async def scenario(log):
        assert await log.append("s", [RELEASE, RELEASE]) == 0
        assert await log.append("s", [RELEASE]) == 2
        page = await log.read("s", 1, wait_ms=0, limit=10)
        assert [entry.offset for entry in page.entries] == [1, 2]
        assert page.entries[0].record == RELEASE
        bounds = await log.read("s", -1, wait_ms=0, limit=1)
        assert bounds == (0, 3, ())

    run_with_log(scenario)


def test_append_ends_a_long_poll():
    async def scenario(log):
        pages = []

        async def read():
            pages.append(await log.read("s", 0, wait_ms=20_000, limit=10))

        with anyio.fail_after(10):
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(read)
                await log.append("s", [RELEASE])
        assert len(pages[0].entries) == 1

    run_with_log(scenario)


def test_stop_ends_a_long_poll():
    async def main():
        standin = LogStandin(SETTINGS)
        stop = anyio.Event()
        await standin.log.append("s", [RELEASE])
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(standin.end_pending_reads, stop)
            tasks.start_soon(
                partial(standin.log.read, wait_ms=60_000, limit=1), "s", 1
            )
            await anyio.sleep(1)
            stop.set()
        assert anyio.current_time() < 2

    trio.run(main, clock=MockClock(autojump_threshold=0))


def test_record_of_unknown_kind_keeps_its_offset():
    async def scenario(log):
        body = b'{"records": [{"kind": "novel"}]}'
        await send(log, "POST", "/v1/streams/s/records", body)
        page = await log.read("s", 0, wait_ms=0, limit=10)
        assert page.entries[0].record is None
        assert page.entries[0].offset == 0

    run_with_log(scenario)


def test_append_over_the_rate_limit_has_no_effect():
    async def scenario(log):
        await log.append("s", [RELEASE])
        with pytest.raises(LogUnavailableError) as caught:
            await log.append("s", [RELEASE])
        assert caught.value.retry_after_ms >= 1000
        page = await log.read("s", -1, wait_ms=0, limit=1)
        assert page.end_offset == 1

    run_with_log(scenario, LogSettings(appends_per_s=0.01))


def test_append_takes_effect_if_the_response_is_dropped_but_not_in_an_outage():
    async def scenario(log):
        await set_faults(log, outage=True)
        with pytest.raises(LogUnavailableError):
            await log.append("s", [RELEASE])
        with pytest.raises(LogUnavailableError):
            await log.read("s", 0, wait_ms=0, limit=1)
        await set_faults(log, drop_answer=1)
        with pytest.raises(LogAmbiguousError):
            await log.append("s", [RELEASE])
        page = await log.read("s", 0, wait_ms=0, limit=10)
        assert len(page.entries) == 1
        assert await log.append("s", [RELEASE]) == 1

    run_with_log(scenario)


def test_drop_fault_skips_calls_without_effect():
    async def scenario(log):
        await set_faults(log, drop_answer=1)
        await log.read("s", -1, wait_ms=0, limit=1)
        refused = await send(log, "POST", "/v1/streams/s/records", b"?")
        assert refused.status == 400
        with pytest.raises(LogAmbiguousError):
            await log.append("s", [RELEASE])

    run_with_log(scenario)


def test_read_of_expired_records_raises_log_gap_error():
    async def scenario(log):
        await log.append("s", [RELEASE, RELEASE])
        await set_faults(log, expire=True)
        with pytest.raises(LogGapError) as caught:
            await log.read("s", 0, wait_ms=0, limit=10)
        assert caught.value.start_offset == 2
        assert await log.append("s", [RELEASE]) == 2

    run_with_log(scenario)


def test_timed_out_append_is_ambiguous():
    async def scenario(log):
        await set_faults(log, delay_ms=60_000)
        log.append_timeout_ms = 50
        with pytest.raises(LogAmbiguousError):
            await log.append("s", [RELEASE])

    run_with_log(scenario)


def test_append_without_listener_has_no_effect():
    async def main():
        async with running(serve_log, LogSettings()) as address:
            pass
        async with HttpClient() as client:
            log = HttpLog(address, client)
            with pytest.raises(LogUnavailableError):
                await log.append("s", [RELEASE])

    anyio.run(main)


@pytest.mark.parametrize(
    "query", ["offset=x", "offset=-2", "wait_ms=-1", "limit=0"]
)
def test_malformed_query_is_refused(query):
    async def scenario(log):
        response = await send(log, "GET", f"/v1/streams/s/records?{query}")
        assert response.status == 400

    run_with_log(scenario)


@pytest.mark.parametrize(
    "body", [b"", b"{", b"[]", b'{"drop_answer": -1}', b'{"novel": 1}']
)
def test_malformed_faults_are_refused(body):
    async def scenario(log):
        response = await send(log, "PUT", "/admin/faults", body)
        assert response.status == 400

    run_with_log(scenario)


def test_record_too_large_for_a_response_is_skipped():
    async def scenario(log):
        config_text = 'format = 1\n[place.a]\nregion = "r"\n'
        records = [
            Publication("h" * MAX_BODY_BYTES, None, 1, ""),
            Publication("next", None, 1, config_text),
        ]
        await log.append(CONFIG_STREAM, records)
        page = await log.read(CONFIG_STREAM, 0, wait_ms=0, limit=1)
        assert [entry.record for entry in page.entries] == [None]
        assert page.end_offset == 2
        keeper = ConfigFollower(log, writes_checkpoints=False)
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(keeper.run)
            with anyio.fail_after(20):
                verdict = await keeper.wait_for_verdict("next")
            tasks.cancel_scope.cancel()
        assert verdict.version == 1
        assert len(keeper.verdicts) == 1

    run_with_log(scenario)
