"""Check that a daemon finds the others when its settings are out of date."""

import json
import random

import anyio
from berylcart.coordination.policy.vm_directory import VmDirectory
from berylcart.state.errors import BerylcartError, Code
from berylcart.state.vm import Vm, VmPage, VmRole, VmState
from berylcart.transport.http_client import HttpAnswer
from berylcart_daemon.seed_finder import SeedFinder

OWN = "127.0.0.1:8080"
OTHER = "127.0.0.1:8180"
PEER = "127.0.0.1:8181"


class FakeVmList:
    """Show two daemons."""

    async def fetch(self):
        """Give nothing; the test applies its own page."""
        return VmPage(0, ())


class FakeClient:
    """Answer a status page at the other daemon only."""

    def __init__(self):
        self.asked = []

    async def request(self, request):
        """Answer one request."""
        self.asked.append(request.address)
        if request.address != OTHER:
            raise BerylcartError(Code.PEER_UNAVAILABLE, "gone")
        members = [
            {"state": "alive", "peer_address": PEER},
            {"state": "dead", "peer_address": "127.0.0.1:1"},
        ]
        body = json.dumps({"members": members}).encode()
        return HttpAnswer(200, {}, body)


def entry(vm_id, address):
    return Vm(vm_id, 1, address, "p", VmRole.ENTRY, "", VmState.LIVE, vm_id)


def make_finder(*vms):
    directory = VmDirectory(FakeVmList())
    directory.apply(VmPage(1, vms))
    client = FakeClient()
    finder = SeedFinder(
        ["127.0.0.1:9"], directory, client, OWN, random.Random(1)
    )
    return finder, client


def test_listed_daemons_name_their_live_peers():
    finder, _ = make_finder(entry("e1", OWN), entry("e2", OTHER))
    anyio.run(finder.search)
    assert finder.seeds() == ["127.0.0.1:9", PEER]


def test_own_address_is_not_asked_and_gone_ones_name_nobody():
    finder, client = make_finder(
        entry("e1", OWN), entry("e3", "127.0.0.1:8280")
    )
    anyio.run(finder.search)
    assert client.asked == ["127.0.0.1:8280"]
    assert finder.seeds() == ["127.0.0.1:9"]
