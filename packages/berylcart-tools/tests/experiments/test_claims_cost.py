"""Tests for the components of the claims cost experiment."""

import pytest
import trio
from berylcart.state.claim_ledger import ClaimLedger, ClaimRules
from berylcart.state.errors import LogUnavailableError
from berylcart.state.records import Release
from berylcart_tools.experiments import claims_cost
from berylcart_tools.experiments.rate_limited_log import RateLimitedLog
from trio.testing import MockClock


def test_generated_claims_are_all_held_with_outcomes():
    ledger = ClaimLedger(ClaimRules())
    for entry in claims_cost.make_log_entries(100):
        ledger.fold(entry)
    assert len(ledger.holders) == 100
    assert all(holder.ran for holder in ledger.holders.values())


def test_rate_limited_log_rejects_appends_above_its_rate():
    async def scenario():
        log = RateLimitedLog(100, 0.0)
        await log.append("s", [Release("k", "c")])
        with pytest.raises(LogUnavailableError) as caught:
            await log.append("s", [Release("k", "c")])
        assert caught.value.retry_after_ms == 10
        await trio.sleep(0.01)
        await log.append("s", [Release("k", "c")])
        assert log.appends == 2

    trio.run(scenario, clock=MockClock(autojump_threshold=0))
