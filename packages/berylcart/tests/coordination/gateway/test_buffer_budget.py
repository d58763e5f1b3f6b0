"""Test that only slow connections with many buffered bytes are closed."""

import random

import anyio
import pytest
from berylcart.coordination.gateway.buffer_budget import (
    MIN_SLOW_WAIT_S,
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
        callers = Callers(1000)
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
