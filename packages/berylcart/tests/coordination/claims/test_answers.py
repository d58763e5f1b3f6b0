"""Check that answers stay with their key and within their bounds."""

import anyio
import trio
from berylcart.coordination.claims.answers import AnswerStore, StoredAnswer
from berylcart.state.errors import Ran
from trio.testing import MockClock

ANSWER = StoredAnswer(Ran.YES, 0, b"booked")


def run(scenario):
    """Run a scenario on a clock that jumps over every sleep."""
    return trio.run(scenario, clock=MockClock(autojump_threshold=0))


def test_an_answer_belongs_to_its_key():
    async def scenario():
        store = AnswerStore(10, 1000)
        store.keep("k", "c", ANSWER)
        assert store.find("k", "c") == ANSWER
        assert store.find("other", "c") is None

    run(scenario)


def test_answers_end_with_their_time():
    async def scenario():
        store = AnswerStore(10, 1000)
        store.keep("k", "c", ANSWER)
        await anyio.sleep(11)
        assert store.find("k", "c") is None

    run(scenario)


def test_bytes_are_bounded():
    async def scenario():
        store = AnswerStore(10, 1000)
        for n in range(100):
            store.keep("k", f"c{n}", ANSWER)
        store.keep("k", "large", ANSWER._replace(body=b"x" * 2000))
        assert store.kept.currsize <= 1000
        assert store.find("k", "c99") == ANSWER
        assert store.find("k", "large") is None

    run(scenario)
