"""Test the list of what is blocked, and lifting an entry."""

import json

import anyio
import trio
from berylcart.coordination.gateway.part_faults import SETTLE_S, PartFaults
from berylcart.state.relay_messages import CallerHead
from berylcart_daemon.blocked_page import answer_blocked_page
from trio.testing import MockClock

REQUEST = "request:00ff"


def call(faults, method, target):
    return answer_blocked_page(faults, CallerHead(method, target, ()))


def test_blocked_request_is_listed_and_lifted():
    async def scenario():
        faults = PartFaults()
        for number in range(3):
            faults.record_crash(
                f"v{number}/1", (REQUEST,), "r", anyio.current_time()
            )
            await anyio.sleep(1)
        await anyio.sleep(SETTLE_S)
        faults.decide("own")
        (entry,) = json.loads(call(faults, "GET", "/blocked").body)
        assert entry["id"] == REQUEST
        assert entry["is_blocked"]
        assert len(entry["crashes"]) == 3
        assert json.loads(call(faults, "GET", "/blocked/other").body) == []
        lifted = call(faults, "DELETE", "/blocked/request%3A00ff")
        assert lifted.status == 204
        assert not faults.is_refused((REQUEST,))

    trio.run(scenario, clock=MockClock(autojump_threshold=0))


def test_unknown_name_and_other_methods_are_rejected():
    faults = PartFaults()
    assert call(faults, "DELETE", "/blocked/none").status == 404
    assert call(faults, "DELETE", "/blocked").status == 405
    assert call(faults, "POST", "/blocked").status == 405
