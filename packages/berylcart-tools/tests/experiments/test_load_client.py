"""Check how answers are judged."""

import pytest
from berylcart_tools.experiments.arrivals import Arrival, CallKind
from berylcart_tools.experiments.load_client import (
    Received,
    is_whole,
    make_request,
)

ASK = Arrival(
    0.0,
    1,
    "clerks",
    CallKind("ask", 1.0, is_pipeline=True, is_stream=True, max_tokens=2),
    {"text": "hem", "max_tokens": 2},
)


def answer(text, tokens):
    return {"output": {"text": text}, "stages": [{"tokens": tokens}]}


@pytest.mark.parametrize(
    ("received", "expected"),
    [
        (Received(0, answer("ab", 2), None, ("a", "b")), True),
        (Received(0, answer("ab", 2), None, ("a",)), False),
        (Received(0, answer("", 0), None, ()), False),
        (Received(0, answer("ab", 3), None, ("a", "b")), False),
        (Received(0, {"output": None}), False),
        (Received(2000), False),
        (Received(-1), False),
    ],
)
def test_only_whole_answers_pass(received, expected):
    assert is_whole(ASK, received) is expected


def test_keyed_calls_carry_a_key_of_their_own():
    booking = CallKind("booking", 1.0, is_keyed=True)
    keys = set()
    for number in range(3):
        arrival = Arrival(0.0, number, "clerks", booking, {"slot": number})
        headers = dict(make_request("127.0.0.1:1", arrival).headers)
        keys.add(headers["Idempotency-Key"])
    assert len(keys) == 3
