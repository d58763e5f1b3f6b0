"""Test that answers are collected from permitted places only."""

import anyio
import pytest
from berylcart.coordination.claims.answers import CollectState
from berylcart.state.config import Configuration, Place, Workspace
from berylcart.state.errors import BerylcartError, Code, Ran
from berylcart.state.member_table import Member
from berylcart.state.peer_messages import AnswerState, StoredAnswer
from berylcart_daemon.peer_handlers import AnswerCollector, decode_collected

PLACES = {name: Place(name, "r", {}) for name in ("p1", "p2")}
CONFIGURATION = Configuration(
    PLACES,
    {},
    {},
    {
        "one": Workspace("one", frozenset({"p1"})),
        "both": Workspace("both", frozenset({"p1", "p2"})),
    },
)
CLAIMANT = "e2/7"


class FakeConfigurations:
    """Give CONFIGURATION as the one in force."""

    def require(self):
        """Give the configuration."""
        return CONFIGURATION


class FakeMembership:
    """Report one other live daemon, in p2."""

    def live_members(self):
        """List the other daemon."""
        return [Member("e2", 7, "127.0.0.1:2", "127.0.0.1:3", "p2")]


class FakePeers:
    """Answer every query with a stored answer and record it."""

    def __init__(self):
        self.queries = []

    async def collect_answer(self, address, query, *, timeout_ms):
        """Give a stored answer."""
        self.queries.append(query)
        return StoredAnswer(AnswerState.STORED, 0, "yes", b"{}")


def make_collector():
    peers = FakePeers()
    collector = AnswerCollector(peers, FakeConfigurations())
    collector.membership = FakeMembership()
    return collector, peers


def collect(collector, workspace, claimant=CLAIMANT):
    return anyio.run(collector.collect, claimant, "k", "c", workspace)


def test_answer_is_collected_from_a_permitted_place():
    collector, peers = make_collector()
    collected = collect(collector, "both")
    assert collected.state is CollectState.ANSWERED
    assert collected.answer.ran is Ran.YES
    assert peers.queries[0].workspace == "both"


@pytest.mark.parametrize("workspace", ["one", "unknown"])
def test_no_query_is_sent_to_a_place_that_is_not_permitted(workspace):
    collector, peers = make_collector()
    with pytest.raises(BerylcartError) as caught:
        collect(collector, workspace)
    assert caught.value.code is Code.PLACE_NOT_PERMITTED
    assert peers.queries == []


def test_unknown_claimant_raises_peer_unavailable():
    collector, _ = make_collector()
    with pytest.raises(BerylcartError) as caught:
        collect(collector, "both", "e9/1")
    assert caught.value.code is Code.PEER_UNAVAILABLE


def test_malformed_answer_raises():
    message = StoredAnswer(AnswerState.STORED, 0, "perhaps", b"{}")
    with pytest.raises(BerylcartError):
        decode_collected(message)
