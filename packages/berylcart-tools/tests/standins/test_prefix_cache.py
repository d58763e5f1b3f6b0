"""Test the prefix cache, its event feed and the delayed load report."""

import anyio
import trio
from berylcart.state.prefixes import BLOCK_WORDS, prefix_keys
from berylcart_tools.standins.cache_events import CacheEventFeed
from berylcart_tools.standins.load_report import DelayedLoad, Load
from berylcart_tools.standins.prefix_cache import CacheEventKind, PrefixCache
from trio.testing import MockClock

STORED = CacheEventKind.STORED
EVICTED = CacheEventKind.EVICTED


def run_on_mock_clock(scenario):
    return trio.run(scenario, clock=MockClock(autojump_threshold=0))


def make_cache(capacity):
    events = []
    cache = PrefixCache(lambda kind, key: events.append((kind, key)), capacity)
    return cache, events


def test_match_ends_at_the_first_differing_block():
    cache, _ = make_cache(8)
    shared = " ".join(f"w{i}" for i in range(2 * BLOCK_WORDS))
    cache.store(prefix_keys(f"{shared} {'x ' * BLOCK_WORDS}"))
    keys = prefix_keys(f"{shared} {'y ' * BLOCK_WORDS}")
    assert len(keys) == 3
    assert cache.match(keys) == 2 * BLOCK_WORDS


def test_least_recently_used_prefix_is_evicted_first():
    cache, events = make_cache(2)
    cache.store(["a"])
    cache.store(["b"])
    cache.match(["a"])
    cache.store(["c"])
    assert events[-1] == (EVICTED, "b")
    assert cache.prefix_blocks("a") == ["a"]


def test_last_block_of_a_prefix_is_evicted_first():
    cache, events = make_cache(2)
    cache.store(["a", "ab", "abc"])
    assert events[-1] == (EVICTED, "abc")
    assert cache.prefix_blocks("ab") == ["a", "ab"]


def test_prefix_with_a_missing_block_has_no_blocks():
    cache, _ = make_cache(2)
    cache.store(["a", "ab"])
    cache.parents.pop("a")
    assert cache.prefix_blocks("ab") == []


def test_clear_publishes_an_eviction_of_every_block():
    cache, events = make_cache(4)
    cache.store(["a", "ab"])
    cache.clear()
    assert sorted(events[2:]) == [(EVICTED, "a"), (EVICTED, "ab")]


def test_events_are_delayed_and_some_are_lost():
    async def scenario():
        feed = CacheEventFeed(lag_ms=500, loss_probability=0.5, seed=1)
        for number in range(100):
            feed.publish(STORED, str(number))
        assert feed.events_since(0) == ([], 0)
        await anyio.sleep(0.6)
        visible, next_sequence = feed.events_since(0)
        sequences = [event.sequence for event in visible]
        assert 0 < len(sequences) < 100
        assert sequences == sorted(sequences)
        assert feed.events_since(next_sequence) == ([], next_sequence)

    run_on_mock_clock(scenario)


def test_load_is_reported_after_the_lag():
    async def scenario():
        delayed_load = DelayedLoad(lag_ms=200)
        delayed_load.add_sample(Load(3, 1))
        assert delayed_load.report()[1] == Load(0, 0)
        await anyio.sleep(0.3)
        delayed_load.add_sample(Load(5, 0))
        as_of_ms, load = delayed_load.report()
        assert load == Load(3, 1)
        assert as_of_ms == round(anyio.current_time() * 1000) - 200

    run_on_mock_clock(scenario)
