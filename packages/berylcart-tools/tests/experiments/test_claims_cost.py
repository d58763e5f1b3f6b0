"""Check the parts of the experiment on claims."""

import pytest
import trio
from berylcart.state.claim_ledger import ClaimLedger, ClaimRules
from berylcart.state.errors import LogUnavailableError
from berylcart.state.records import Release
from berylcart_tools.experiments import claims_cost
from berylcart_tools.experiments.rated_log import RatedLog
from trio.testing import MockClock


def test_entries_are_all_held_and_settled():
    ledger = ClaimLedger(ClaimRules())
    for entry in claims_cost.make_entries(100):
        ledger.fold(entry)
    assert len(ledger.holders) == 100
    assert all(holder.ran for holder in ledger.holders.values())


def test_rated_log_refuses_beyond_its_rate():
    async def scenario():
        log = RatedLog(100, 0.0)
        await log.append("s", [Release("k", "c")])
        with pytest.raises(LogUnavailableError) as caught:
            await log.append("s", [Release("k", "c")])
        assert caught.value.retry_after_ms == 10
        await trio.sleep(0.01)
        await log.append("s", [Release("k", "c")])
        assert log.appends == 2

    trio.run(scenario, clock=MockClock(autojump_threshold=0))
