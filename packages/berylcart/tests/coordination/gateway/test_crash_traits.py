"""Test the identity of requests."""

import pytest
from berylcart.coordination.gateway.crash_traits import (
    MAX_ID_CHARS,
    digest_request,
    is_request_trait,
    is_valid_id,
    request_traits,
)
from berylcart.state.relay_messages import Prompt, PromptPart, RelayRequest

PROMPT = Prompt("m", (PromptPart("a", 9), PromptPart("b", 1)), 10, 5)
REQUEST = RelayRequest(
    request_id="9c41",
    method="POST",
    target="/slot/1?page=2",
    host="slot.example",
    headers=((b"id", b"9c41"),),
    body=b"hello",
    deadline_ms=1500,
    api_key="k1",
    prompt=PROMPT,
)


def test_identity_outlasts_a_new_attempt():
    again = REQUEST._replace(
        request_id="77aa",
        headers=((b"id", b"77aa"), (b"resume-after", b"3")),
        deadline_ms=900,
        api_key="k2",
        piece_key="new",
    )
    assert digest_request(REQUEST, "w") == digest_request(again, "w")


@pytest.mark.parametrize(
    "fields",
    [
        {"method": "PUT"},
        {"target": "/slot/1?page=3"},
        {"host": "other.example"},
        {"body": b"hello!"},
        {"body": b""},
        {"prompt": PROMPT._replace(model="n")},
        {"prompt": PROMPT._replace(output_tokens=6)},
        {"prompt": PROMPT._replace(parts=PROMPT.parts[:1])},
        {"piece_counts": (1,)},
        {"method": "POSTs", "target": "lot.example"},
    ],
)
def test_other_requests_have_other_identities(fields):
    other = REQUEST._replace(**fields)
    assert digest_request(REQUEST, "w") != digest_request(other, "w")


def test_callers_do_not_share_identities():
    identities = {
        digest_request(REQUEST, workspace)
        for workspace in ("w", "v", "", "w" * 300, "\ud800")
    }
    assert len(identities) == 5
    assert digest_request(REQUEST, None) == digest_request(REQUEST, "")


def test_identity_is_the_same_in_all_processes():
    assert digest_request(REQUEST, "w") == ("a26ddd0598a5cfba41123438e17c9aa5")


def test_part_cannot_pass_for_a_request():
    victim = request_traits(REQUEST, "w")[-1]
    assert is_request_trait(victim)
    assert is_valid_id(victim)
    assert len(victim) <= MAX_ID_CHARS
    parts = (PromptPart(victim, 9), PromptPart("own", 1))
    forged = REQUEST._replace(prompt=Prompt("m", parts))
    assert victim not in request_traits(forged, "v")
