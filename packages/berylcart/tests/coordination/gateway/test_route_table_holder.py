"""Test that the version of the route table never decreases."""

import json

import anyio
import pytest
from berylcart.coordination.gateway.route_table_holder import RouteTableHolder
from berylcart.state.errors import BerylcartError, Code
from berylcart.state.routes import RouteTable
from hypothesis import given
from hypothesis import strategies as st

from ..serving_fakes import run


def parse(text):
    try:
        return RouteTable(json.loads(text))
    except ValueError:
        raise BerylcartError(Code.CONFIG_INVALID, "no version") from None


@given(st.lists(st.integers(1, 9), min_size=1, max_size=12))
def test_version_never_decreases(versions):
    keeper = RouteTableHolder(parse)
    seen = []
    keeper.on_change = lambda table: seen.append(table.version)
    for offset, version in enumerate(versions):
        keeper.offer(str(version), offset, "store")
    assert seen == sorted(set(seen))
    assert keeper.version == max(versions)


def test_invalid_text_is_ignored():
    keeper = RouteTableHolder(parse)
    keeper.offer("3", 1, "store")
    keeper.offer("no number", 2, "store")
    assert keeper.version == 3


def test_require_without_routes_raises_not_ready():
    with pytest.raises(BerylcartError) as raised:
        RouteTableHolder(parse).require()
    assert raised.value.code is Code.NOT_READY
    assert raised.value.retry_after_ms


def test_offers_only_newer_routes():
    async def check():
        keeper = RouteTableHolder(parse)
        assert keeper.offer_for(0).checkpoint is None
        keeper.offer("3", 1, "store")
        await anyio.sleep(1)
        keeper.confirm(4)
        assert keeper.offer_for(3).checkpoint is None
        offer = keeper.offer_for(2)
        assert (offer.checkpoint.version, offer.checkpoint.text) == (3, "3")
        assert keeper.freshness().as_of_offset == 4

    run(check)


def test_peers_are_asked_before_the_first_version_only():
    async def check():
        asked = []
        keeper = RouteTableHolder(parse)

        async def ask_peers():
            asked.append(keeper.version)
            keeper.offer("5", 1, "10.0.0.9:7700")

        keeper.ask_peers = ask_peers
        await keeper.wait_for_peer()
        keeper.offer("3", 0, "store", 1)
        await keeper.wait_for_peer()
        assert asked == [0]
        assert keeper.version == 5

    run(check)
