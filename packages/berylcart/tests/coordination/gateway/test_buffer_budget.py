"""Test that only slow connections with many buffered bytes are closed."""

import math
import random

import anyio
import pytest
from berylcart.coordination.gateway.buffer_budget import (
    MIN_SLOW_WAIT_S,
    REQUEST_SHARE,
    RESPONSE_SHARE,
    BufferBudget,
)

from ..serving_fakes import run


class Callers:
    """Buffer accounts of clients, by name."""

    def __init__(self, limit_bytes):
        self.budget = BufferBudget(limit_bytes)
        self.closed = []
        self.accounts = {}

    def add(self, name, count_bytes, waited_s=None):
        """Buffer bytes for a client; the current wait for it took waited_s."""
        if name not in self.accounts:
            self.accounts[name] = self.budget.open_account(
                lambda: self.closed.append(name)
            )
        account = self.accounts[name]
        if waited_s is not None:
            account.waiting_since_s = anyio.current_time() - waited_s
        account.add(count_bytes)


def test_no_connection_is_closed_under_the_limit_or_without_one():
    async def check(limit_bytes):
        callers = Callers(limit_bytes)
        for name in "abcd":
            callers.add(name, 250, waited_s=900)
        assert callers.budget.make_room(0, callers.accounts["a"])
        assert callers.closed == []
        assert callers.budget.total_bytes == 1000

    run(lambda: check(1000))
    run(lambda: check(None))


def test_slowest_connection_with_most_bytes_is_closed():
    async def check():
        callers = Callers(1000)
        callers.add("served", 600)
        callers.add("fast", 200, waited_s=0.01)
        callers.add("slow", 100, waited_s=8)
        callers.add("slower", 50, waited_s=9)
        callers.add("fast", 100)
        assert callers.closed == ["slow"]
        assert callers.budget.total_bytes == 950

    run(check)


def test_bytes_of_a_closed_connection_do_not_count():
    async def check():
        callers = Callers(100)
        callers.add("slow", 90, waited_s=5)
        callers.add("new", 50)
        callers.accounts["slow"].add(70)
        callers.accounts["slow"].release()
        assert callers.budget.total_bytes == 50
        callers.accounts["new"].release()
        assert callers.budget.total_bytes == 0
        assert not callers.budget.accounts

    run(check)


def test_room_is_made_only_by_slow_connections_if_sufficient():
    async def check():
        callers = Callers(math.ceil(1000 / REQUEST_SHARE))
        callers.add("served", 500)
        callers.add("slow", 300, waited_s=2 * MIN_SLOW_WAIT_S)
        callers.add("fast", 150, waited_s=MIN_SLOW_WAIT_S / 2)
        new = callers.budget.open_account(lambda: None)
        assert callers.budget.make_room(50, new)
        assert not callers.budget.make_room(360, new)
        assert callers.closed == []
        assert callers.budget.make_room(350, new)
        assert callers.closed == ["slow"]

    run(check)


def test_requests_leave_room_for_responses():
    async def check():
        callers = Callers(1000)
        new = callers.budget.open_account(lambda: None)
        request_bytes = int(1000 * REQUEST_SHARE)
        assert callers.budget.make_room(request_bytes, new)
        assert not callers.budget.make_room(request_bytes + 1, new)
        new.add(request_bytes)
        response_bytes = int(1000 * RESPONSE_SHARE) - request_bytes
        assert callers.budget.has_room(response_bytes)
        assert not callers.budget.has_room(response_bytes + 1)
        assert BufferBudget().has_room(10**12)

    run(check)


@pytest.mark.parametrize("seed", range(20))
def test_burst_of_requests_closes_none_that_is_in_progress(seed):
    """The largest request in progress was closed for responses of others."""

    async def check():
        rng = random.Random(seed)
        callers = Callers(10_000)
        budget, waiting = callers.budget, []
        for number in range(200):
            name, body_bytes = str(number), rng.randrange(1, 900)
            own = budget.open_account(lambda: None)
            if budget.make_room(body_bytes, own):
                callers.add(name, body_bytes)
                waiting.append(name)
            for name in rng.sample(waiting, min(5, len(waiting))):
                piece_bytes = rng.randrange(1, 100)
                is_held = budget.has_room(piece_bytes)
                callers.add(name, piece_bytes)
                if not is_held:
                    callers.add(name, -piece_bytes)
            if rng.random() < 0.5 and waiting:
                done = waiting.pop(rng.randrange(len(waiting)))
                callers.accounts[done].release()
        assert callers.closed == []

    run(check)


@pytest.mark.parametrize("seed", range(5))
def test_sum_stays_under_the_limit(seed):
    async def check():
        rng = random.Random(seed)
        callers = Callers(1000)
        for number in range(2000):
            name = str(rng.randrange(number // 20, number // 20 + 9))
            callers.add(name, rng.randrange(200), rng.choice([None, 0, 3]))
            if rng.random() < 0.3:
                callers.accounts[name].release()
            sums = sum(each.count_bytes for each in callers.accounts.values())
            assert sums == callers.budget.total_bytes <= 1000

    run(check)
