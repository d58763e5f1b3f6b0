"""Tests for requests and answer validation of the load client."""

import pytest
from berylcart_tools.experiments.arrivals import Arrival, CallKind
from berylcart_tools.experiments.load_client import (
    CallResult,
    is_whole,
    make_request,
)

STREAM_CALL = Arrival(
    0.0,
    1,
    "clerks",
    CallKind("ask", 1.0, is_pipeline=True, is_stream=True, max_tokens=2),
    {"text": "hem", "max_tokens": 2},
)


def answer_body(text, tokens):
    return {"output": {"text": text}, "stages": [{"tokens": tokens}]}


@pytest.mark.parametrize(
    ("received", "expected"),
    [
        (CallResult(0, answer_body("ab", 2), None, ("a", "b")), True),
        (CallResult(0, answer_body("ab", 2), None, ("a",)), False),
        (CallResult(0, answer_body("", 0), None, ()), False),
        (CallResult(0, answer_body("ab", 3), None, ("a", "b")), False),
        (CallResult(0, {"output": None}), False),
        (CallResult(2000), False),
        (CallResult(-1), False),
    ],
)
def test_only_complete_matching_answers_are_accepted(received, expected):
    assert is_whole(STREAM_CALL, received) is expected


def test_keyed_calls_have_distinct_idempotency_keys():
    booking = CallKind("booking", 1.0, is_keyed=True)
    keys = set()
    for number in range(3):
        arrival = Arrival(0.0, number, "clerks", booking, {"slot": number})
        headers = dict(make_request("127.0.0.1:1", arrival).headers)
        keys.add(headers["Idempotency-Key"])
    assert len(keys) == 3
