"""Test that only slow connections with many buffered bytes are closed."""

import random

import anyio
import pytest
from berylcart.coordination.gateway.held_bytes import (
    MIN_SLOW_WAIT_S,
    BufferBudget,
)

from ..serving_fakes import run


class Callers:
    """Buffer accounts of clients, by name."""

    def __init__(self, limit_bytes):
        self.held = BufferBudget(limit_bytes)
        self.cut = []
        self.holders = {}

    def add(self, name, count_bytes, waited_s=None):
        """Buffer bytes for a client; the current wait for it took waited_s."""
        if name not in self.holders:
            self.holders[name] = self.held.holder(
                lambda: self.cut.append(name)
            )
        holder = self.holders[name]
        if waited_s is not None:
            holder.waiting_since_s = anyio.current_time() - waited_s
        holder.add(count_bytes)


def test_no_connection_is_closed_under_the_limit_or_without_one():
    async def check(limit_bytes):
        callers = Callers(limit_bytes)
        for name in "abcd":
            callers.add(name, 250, waited_s=900)
        assert callers.held.make_room(0, callers.holders["a"])
        assert callers.cut == []
        assert callers.held.total_bytes == 1000

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
        assert callers.cut == ["slow"]
        assert callers.held.total_bytes == 950

    run(check)


def test_bytes_of_a_closed_connection_do_not_count():
    async def check():
        callers = Callers(100)
        callers.add("slow", 90, waited_s=5)
        callers.add("new", 50)
        callers.holders["slow"].add(70)
        callers.holders["slow"].release()
        assert callers.held.total_bytes == 50
        callers.holders["new"].release()
        assert callers.held.total_bytes == 0
        assert not callers.held.holders

    run(check)


def test_room_is_made_only_by_slow_connections_if_sufficient():
    async def check():
        callers = Callers(1000)
        callers.add("served", 500)
        callers.add("slow", 300, waited_s=2 * MIN_SLOW_WAIT_S)
        callers.add("fast", 150, waited_s=MIN_SLOW_WAIT_S / 2)
        new = callers.held.holder(lambda: None)
        assert callers.held.make_room(50, new)
        assert not callers.held.make_room(360, new)
        assert callers.cut == []
        assert callers.held.make_room(350, new)
        assert callers.cut == ["slow"]

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
                callers.holders[name].release()
            sums = sum(each.count_bytes for each in callers.holders.values())
            assert sums == callers.held.total_bytes <= 1000

    run(check)
