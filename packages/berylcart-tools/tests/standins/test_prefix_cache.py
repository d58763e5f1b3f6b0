"""Check the prefix cache, its events and the lagging load."""

import anyio
import trio
from berylcart.state.prefixes import BLOCK_WORDS, prefix_keys
from berylcart_tools.standins.cache_events import CacheEventFeed
from berylcart_tools.standins.load_report import LaggingLoad, Load
from berylcart_tools.standins.prefix_cache import CacheEventKind, PrefixCache
from trio.testing import MockClock

STORED = CacheEventKind.STORED
EVICTED = CacheEventKind.EVICTED


def run(scenario):
    return trio.run(scenario, clock=MockClock(autojump_threshold=0))


def make_cache(capacity):
    heard = []
    cache = PrefixCache(lambda kind, key: heard.append((kind, key)), capacity)
    return cache, heard


def test_shared_prefix_is_matched_up_to_the_first_difference():
    cache, _ = make_cache(8)
    shared = " ".join(f"w{i}" for i in range(2 * BLOCK_WORDS))
    cache.store(prefix_keys(f"{shared} {'x ' * BLOCK_WORDS}"))
    keys = prefix_keys(f"{shared} {'y ' * BLOCK_WORDS}")
    assert len(keys) == 3
    assert cache.match(keys) == 2 * BLOCK_WORDS


def test_least_recently_used_prefix_goes_first():
    cache, heard = make_cache(2)
    cache.store(["a"])
    cache.store(["b"])
    cache.match(["a"])
    cache.store(["c"])
    assert heard[-1] == (EVICTED, "b")
    assert cache.chain("a") == ["a"]


def test_long_prefix_loses_its_end_first():
    cache, heard = make_cache(2)
    cache.store(["a", "ab", "abc"])
    assert heard[-1] == (EVICTED, "abc")
    assert cache.chain("ab") == ["a", "ab"]


def test_chain_with_a_missing_block_is_not_exported():
    cache, _ = make_cache(2)
    cache.store(["a", "ab"])
    cache.parents.pop("a")
    assert cache.chain("ab") == []


def test_clear_tells_of_every_block():
    cache, heard = make_cache(4)
    cache.store(["a", "ab"])
    cache.clear()
    assert sorted(heard[2:]) == [(EVICTED, "a"), (EVICTED, "ab")]


def test_events_come_late_and_with_gaps():
    async def scenario():
        feed = CacheEventFeed(lag_ms=500, loss=0.5, seed=1)
        for number in range(100):
            feed.publish(STORED, str(number))
        assert feed.since(0) == ([], 0)
        await anyio.sleep(0.6)
        shown, following = feed.since(0)
        sequences = [event.sequence for event in shown]
        assert 0 < len(sequences) < 100
        assert sequences == sorted(sequences)
        assert feed.since(following) == ([], following)

    run(scenario)


def test_load_is_shown_after_the_lag():
    async def scenario():
        lagging = LaggingLoad(lag_ms=200)
        lagging.note(Load(3, 1))
        assert lagging.report()[1] == Load(0, 0)
        await anyio.sleep(0.3)
        lagging.note(Load(5, 0))
        as_of_ms, load = lagging.report()
        assert load == Load(3, 1)
        assert as_of_ms == round(anyio.current_time() * 1000) - 200

    run(scenario)
