"""Test that issued keys carry timestamps of the log's clock."""

import anyio
import pytest
from berylcart.coordination.claims.key_issuer import KeyIssuer
from berylcart.state.claim_keys import issued_ms
from berylcart.state.errors import BerylcartError, Code
from berylcart.transport.memory_log import MemoryLog

from ..serving_fakes import run

AHEAD_MS = 5_000_000


def ahead_ms():
    """Return a log clock that is far ahead of the runtime's clock."""
    return AHEAD_MS + int(anyio.current_time() * 1000)


def test_keys_are_unique_and_dated_by_the_log():
    async def scenario():
        log = MemoryLog(clock_ms=ahead_ms)
        issuer = KeyIssuer(log)
        before_ms = ahead_ms()
        keys = await issuer.issue(3)
        await anyio.sleep(2)
        later = await issuer.issue(1)
        assert len(set(keys)) == 3
        assert all(issued_ms(key) == before_ms for key in keys)
        assert issued_ms(later[0]) == before_ms + 2000
        assert log.append_calls == 1

    run(scenario)


def test_log_clock_is_read_again_after_a_minute():
    async def scenario():
        log = MemoryLog(clock_ms=ahead_ms)
        issuer = KeyIssuer(log)
        await issuer.issue(1)
        await anyio.sleep(61)
        await issuer.issue(1)
        assert log.append_calls == 2

    run(scenario)


def test_log_outage_raises_claims_unavailable():
    async def scenario():
        log = MemoryLog()
        log.is_down = True
        with pytest.raises(BerylcartError) as caught:
            await KeyIssuer(log).issue(1)
        assert caught.value.code is Code.CLAIMS_UNAVAILABLE

    run(scenario)
