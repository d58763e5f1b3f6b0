"""Test a deployment of seven daemons with the upstreams of the Authority.

Every component is a separate process. Callers use only the addresses that
GET /v1/entries returns.
"""

import anyio
import pytest
from berylcart.state.errors import BerylcartError, Code, Ran
from berylcart_tools.caller import (
    CallRequest,
    call_stream,
    call_unary,
    fetch_entries,
)
from berylcart_tools.experiments.deployments import (
    AUTHORITY,
    ENTRY_COUNT,
    PIPELINE,
)
from berylcart_tools.experiments.fleet import running_fleet

SEED = 7
WORKSPACE = "counters"
TOKENS = 8
SCENARIO_TIMEOUT_S = 60
POLL_INTERVAL_S = 0.1

pytestmark = pytest.mark.processes


async def wait_for_all_entries(fleet):
    """Wait until the entry list contains every daemon."""
    address = fleet.layout.entry_addresses[0]
    while True:
        entries = await fetch_entries(fleet.client, address, WORKSPACE)
        if len(entries) == ENTRY_COUNT:
            return entries
        await anyio.sleep(POLL_INTERVAL_S)


async def assert_pipeline_is_served(fleet, entries):
    call = CallRequest(
        WORKSPACE, PIPELINE, {"text": "hem", "max_tokens": TOKENS}
    )
    answers = [
        await call_unary(fleet.client, entry.address, call)
        for entry in entries
    ]
    for answer in answers:
        stages = [stage["service"] for stage in answer["stages"]]
        assert stages == ["encoder", "retriever", "reranker", "model"]
        assert len(answer["output"]["text"].split()) == TOKENS
    assert len({answer["request_id"] for answer in answers}) == ENTRY_COUNT


async def assert_stream_is_served(fleet, entries):
    payload = {"prompt": "hem", "max_tokens": TOKENS}
    call = CallRequest(WORKSPACE, "model", payload, is_pipeline=False)
    events = [
        event
        async for event in call_stream(fleet.client, entries[1].address, call)
    ]
    assert [event.event_id for event in events[:-1]] == [
        str(offset) for offset in range(TOKENS)
    ]
    assert events[-1].name == "done"
    text = "".join(event.data["text"] for event in events[:-1])
    assert events[-1].data["output"]["text"] == text


async def assert_booking_runs_once(fleet, entries):
    call = CallRequest(
        WORKSPACE,
        "booking",
        {"slot": "10:30"},
        is_pipeline=False,
        idempotency_key="wedding-suit-1",
    )
    answers = []

    async def book(entry):
        answers.append(await call_unary(fleet.client, entry.address, call))

    async with anyio.create_task_group() as tasks:
        for entry in entries:
            tasks.start_soon(book, entry)
    assert len({str(answer["output"]) for answer in answers}) == 1
    assert (await fleet.count_attempts_by_service())["booking"] == 1


async def assert_unknown_workspace_is_refused(fleet, entries):
    unknown = CallRequest("nobody", PIPELINE, {"text": "hem"})
    with pytest.raises(BerylcartError) as caught:
        await call_unary(fleet.client, entries[2].address, unknown)
    assert caught.value.code is Code.UNKNOWN_WORKSPACE
    assert caught.value.ran is Ran.NO


def test_pipeline_stream_and_booking_are_served():
    async def scenario():
        async with running_fleet(AUTHORITY, "berylcart", SEED) as fleet:
            with anyio.fail_after(SCENARIO_TIMEOUT_S):
                entries = await wait_for_all_entries(fleet)
                await assert_pipeline_is_served(fleet, entries)
                await assert_stream_is_served(fleet, entries)
                await assert_booking_runs_once(fleet, entries)
                await assert_unknown_workspace_is_refused(fleet, entries)

    anyio.run(scenario)
