"""Test when the return of the store is noticed, on a paused clock."""

import anyio
import pytest
from berylcart.clock import now_s
from berylcart.coordination.gateway.store_contact import StoreContact

from ..serving_fakes import run

REPEAT_S = 0.5


class Calls:
    """Answer calls after scripted times; None loses the call."""

    def __init__(self, *script):
        self.script = list(script)
        self.started_s = []

    async def send(self):
        """Send one call and return its number."""
        number = len(self.started_s)
        self.started_s.append(now_s())
        answer_s = self.script.pop(0)
        if isinstance(answer_s, Exception):
            raise answer_s
        await anyio.sleep(1000 if answer_s is None else answer_s)
        return number


def test_prompt_answer_needs_one_call():
    async def check():
        calls, contact = Calls(0.004), StoreContact(REPEAT_S)
        assert await contact.first_answer(calls.send) == 0
        assert len(calls.started_s) == 1
        assert contact.returned_s < 0

    run(check)


def test_lost_answer_is_noticed_by_the_next_call():
    async def check():
        calls = Calls(None, None, 0.004)
        contact, returns = StoreContact(REPEAT_S), []
        contact.on_returned = lambda: returns.append(now_s())
        started_s = now_s()
        assert await contact.first_answer(calls.send) == 2
        assert contact.returned_s == pytest.approx(started_s + 1.004)
        assert returns == [contact.returned_s]

    run(check)


def test_slow_answer_is_no_outage():
    async def check():
        calls, contact = Calls(0.8, 0.8), StoreContact(REPEAT_S)
        assert await contact.first_answer(calls.send) == 0
        assert contact.returned_s < 0
        assert len(calls.started_s) == 2

    run(check)


def test_failed_call_fails_the_others():
    async def check():
        calls = Calls(None, OSError("down"))
        with pytest.raises(OSError, match="down"):
            await StoreContact(REPEAT_S).first_answer(calls.send)
        assert len(calls.started_s) == 2

    run(check)


def test_first_answer_after_a_failure_is_the_return():
    async def check():
        contact = StoreContact()
        contact.record_answer()
        await anyio.sleep(1)
        contact.record_failure(now_s() - 0.5)
        await anyio.sleep(1)
        contact.record_answer()
        assert contact.returned_s == now_s()

    run(check)


def test_failure_of_a_call_that_the_store_outlived_is_no_outage():
    async def check():
        contact = StoreContact()
        started_s = now_s()
        await anyio.sleep(1)
        contact.record_answer()
        await anyio.sleep(1)
        contact.record_failure(started_s)
        contact.record_answer()
        assert contact.returned_s < 0

    run(check)
