"""Fuzz the parsers of platform and upstream messages."""

import contextlib
import json

import pytest
from berylcart.protocol.json_codec import MessageError, read_json
from berylcart.protocol.log_messages import (
    read_appended,
    read_bounds,
    read_page,
)
from berylcart.protocol.order_messages import read_grant, read_state
from berylcart.protocol.sse import ServerEvent
from berylcart.protocol.upstream_messages import (
    read_load,
    read_refusal,
    read_reply,
    read_run,
    read_token,
    write_run,
)
from berylcart.protocol.vm_messages import (
    canonical_address,
    read_vm,
    read_vm_page,
    write_vm,
)
from berylcart.state.stage import StageCall
from berylcart.state.vm import Vm, VmRole, VmState
from hypothesis import HealthCheck, given, seed, settings
from hypothesis import strategies as st

RELAXED = settings(deadline=None, suppress_health_check=[HealthCheck.too_slow])

VM = Vm(
    "vm-1",
    1,
    "127.0.0.1:80",
    "lahore-1",
    VmRole.UPSTREAM,
    "drafts",
    VmState.LIVE,
    "vm-1/1",
)
CALL = StageCall("a", "r", VM, "drafts", "w", {"prompt": "hem"}, 1000)

MESSAGES = {
    "page": {
        "start_offset": 0,
        "end_offset": 2,
        "records": [
            {"offset": 1, "time_ms": 1, "value": {"kind": "novel"}},
        ],
    },
    "appended": {"first_offset": 0, "end_offset": 1},
    "bounds": {"start_offset": 0, "end_offset": 1},
    "run": json.loads(write_run(CALL)),
    "reply": {
        "attempt_id": "a",
        "instance": "vm-1/1",
        "output": {"text": ""},
        "usage": {"steps": 1, "tokens": 1, "seconds": 0.5},
    },
    "grant": {"seconds": 0.5},
    "state": {
        "fencing": 1,
        "models": ["m"],
        "adapters": [],
        "version": "",
        "role": "",
    },
    "refusal": {"reason": "overloaded", "retry_after_ms": 1},
    "load": {
        "instance": "vm-1/1",
        "in_flight": 0,
        "queued": 0,
        "capacity": 1,
        "as_of_ms": 1,
        "state": "live",
    },
    "vms": {"as_of_ms": 1, "vms": [json.loads(write_vm(VM))]},
    "vm": json.loads(write_vm(VM)),
}
PARSERS = {
    "page": lambda body: read_page(body, 1),
    "appended": lambda body: read_appended(body, 1),
    "bounds": read_bounds,
    "run": read_run,
    "reply": read_reply,
    "grant": read_grant,
    "state": read_state,
    "refusal": read_refusal,
    "load": read_load,
    "vms": read_vm_page,
    "vm": lambda body: read_vm(read_json(body)),
}

JSON = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats() | st.text(),
    lambda inner: st.lists(inner) | st.dictionaries(st.text(), inner),
    max_leaves=8,
)


@st.composite
def corrupt_messages(draw):
    """Draw a message with one field, possibly nested, replaced or removed."""
    name = draw(st.sampled_from(sorted(MESSAGES)))
    message = json.loads(json.dumps(MESSAGES[name]))
    target = message
    while True:
        key = draw(st.sampled_from(sorted(target)))
        inner = target[key]
        if isinstance(inner, list) and inner and isinstance(inner[0], dict):
            inner = inner[0]
        if not (isinstance(inner, dict) and inner and draw(st.booleans())):
            break
        target = inner
    if draw(st.booleans()):
        target[key] = draw(JSON)
    else:
        del target[key]
    return name, json.dumps(message).encode()


@pytest.mark.parametrize("name", sorted(MESSAGES))
def test_valid_messages_are_parsed(name):
    PARSERS[name](json.dumps(MESSAGES[name]).encode())


@seed(1)
@RELAXED
@given(corrupt=corrupt_messages())
def test_corrupt_message_is_parsed_or_raises_message_error(corrupt):
    name, body = corrupt
    with contextlib.suppress(MessageError):
        PARSERS[name](body)


@seed(2)
@RELAXED
@given(
    name=st.sampled_from(sorted(MESSAGES)),
    body=st.binary() | JSON.map(lambda v: json.dumps(v).encode()),
)
def test_any_body_is_parsed_or_raises_message_error(name, body):
    with contextlib.suppress(MessageError):
        PARSERS[name](body)


@seed(3)
@RELAXED
@given(event_id=st.text(), data=st.text())
def test_any_token_event_is_parsed_or_raises_message_error(event_id, data):
    with contextlib.suppress(MessageError):
        read_token(ServerEvent("token", event_id, data))


@seed(4)
@RELAXED
@given(
    text=st.text()
    | st.from_regex(r"[0-9.:\[\]]*:[0-9]*", fullmatch=True)
    | st.ip_addresses().map(lambda ip: f"[{ip}]:80")
)
def test_canonical_address_is_idempotent(text):
    try:
        address = canonical_address(text)
    except MessageError:
        return
    assert canonical_address(address) == address


@pytest.mark.parametrize(
    "change",
    [
        {"end_offset": 0},
        {"start_offset": 2},
        {"records": [{"offset": 0, "time_ms": 1, "value": 1}]},
        {"records": [{"offset": 2, "time_ms": 1, "value": 1}]},
        {"records": [{"offset": 1, "time_ms": 1, "value": 1}] * 2},
    ],
)
def test_page_with_invalid_offsets_raises(change):
    body = json.dumps({**MESSAGES["page"], **change}).encode()
    with pytest.raises(MessageError):
        read_page(body, 1)


@pytest.mark.parametrize("seconds", ["-1", "NaN", "Infinity", "1e400"])
def test_grant_with_invalid_duration_raises(seconds):
    with pytest.raises(MessageError):
        read_grant(b'{"seconds": %s}' % seconds.encode())


def test_invalid_vm_is_skipped_and_counted():
    vm = MESSAGES["vm"]
    vms = [{**vm, "state": "novel"}, vm, {**vm, "incarnation": "1"}, None]
    body = json.dumps({"as_of_ms": 1, "vms": vms}).encode()
    page, invalid_count = read_vm_page(body)
    assert page.vms == (VM,)
    assert invalid_count == 3
