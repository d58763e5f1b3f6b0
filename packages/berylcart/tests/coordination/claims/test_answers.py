"""Test that answers are cached per key, within age and size limits."""

import anyio
import trio
from berylcart.coordination.claims.answers import AnswerCache, StoredAnswer
from berylcart.state.errors import Ran
from trio.testing import MockClock

ANSWER = StoredAnswer(Ran.YES, 0, b"booked")


def run(scenario):
    """Run a scenario on a mock clock that skips every sleep."""
    return trio.run(scenario, clock=MockClock(autojump_threshold=0))


def test_answer_is_found_only_under_its_key():
    async def scenario():
        cache = AnswerCache(10, 1000)
        cache.put("k", "c", ANSWER)
        assert cache.get("k", "c") == ANSWER
        assert cache.get("other", "c") is None

    run(scenario)


def test_answers_expire():
    async def scenario():
        cache = AnswerCache(10, 1000)
        cache.put("k", "c", ANSWER)
        await anyio.sleep(11)
        assert cache.get("k", "c") is None

    run(scenario)


def test_total_size_is_bounded():
    async def scenario():
        cache = AnswerCache(10, 1000)
        for n in range(100):
            cache.put("k", f"c{n}", ANSWER)
        cache.put("k", "large", ANSWER._replace(body=b"x" * 2000))
        assert cache.entries.currsize <= 1000
        assert cache.get("k", "c99") == ANSWER
        assert cache.get("k", "large") is None

    run(scenario)
