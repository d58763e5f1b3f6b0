"""Check that only those who hold most and read slowest are cut."""

import random

import anyio
import pytest
from berylcart.coordination.gateway.held_bytes import SLOW_S, HeldBytes

from ..serving_fakes import run


class Callers:
    """Hold bytes for callers by name."""

    def __init__(self, limit_bytes):
        self.held = HeldBytes(limit_bytes)
        self.cut = []
        self.holders = {}

    def add(self, name, count_bytes, waited_s=None):
        """Hold bytes for a caller that is waited for."""
        if name not in self.holders:
            self.holders[name] = self.held.holder(
                lambda: self.cut.append(name)
            )
        holder = self.holders[name]
        if waited_s is not None:
            holder.waiting_since_s = anyio.current_time() - waited_s
        holder.add(count_bytes)


def test_nobody_is_cut_under_the_limit_or_without_one():
    async def check(limit_bytes):
        callers = Callers(limit_bytes)
        for name in "abcd":
            callers.add(name, 250, waited_s=900)
        assert callers.held.make_room(0, callers.holders["a"])
        assert callers.cut == []
        assert callers.held.total_bytes == 1000

    run(lambda: check(1000))
    run(lambda: check(None))


def test_who_holds_most_and_reads_slowest_is_cut():
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


def test_what_one_cut_holds_counts_no_more():
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


def test_room_is_made_only_by_slow_ones_and_only_where_enough():
    async def check():
        callers = Callers(1000)
        callers.add("served", 500)
        callers.add("slow", 300, waited_s=2 * SLOW_S)
        callers.add("fast", 150, waited_s=SLOW_S / 2)
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
