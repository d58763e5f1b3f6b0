"""Test that a daemon discovers peers when its configured seeds are gone."""

import json
import random

import anyio
from berylcart.coordination.policy.vm_directory import VmDirectory
from berylcart.state.errors import BerylcartError, Code
from berylcart.state.vm import Vm, VmListSnapshot, VmRole, VmState
from berylcart.transport.http_client import HttpResponse
from berylcart_daemon.seed_finder import SeedFinder

OWN_ADDRESS = "127.0.0.1:8080"
OTHER_ADDRESS = "127.0.0.1:8180"
PEER_ADDRESS = "127.0.0.1:8181"


class FakeVmList:
    """Give an empty VM list; tests apply their own pages."""

    async def fetch(self):
        """Give a page without VMs."""
        return VmListSnapshot(0, ())


class FakeClient:
    """Answer status requests to OTHER only."""

    def __init__(self):
        self.requested_addresses = []

    async def request(self, request):
        """Give a status with a live and a dead member, or raise."""
        self.requested_addresses.append(request.address)
        if request.address != OTHER_ADDRESS:
            raise BerylcartError(Code.PEER_UNAVAILABLE, "gone")
        members = [
            {"state": "alive", "peer_address": PEER_ADDRESS},
            {"state": "dead", "peer_address": "127.0.0.1:1"},
        ]
        body = json.dumps({"members": members}).encode()
        return HttpResponse(200, {}, body)


def make_entry(vm_id, address):
    return Vm(vm_id, 1, address, "p", VmRole.ENTRY, "", VmState.LIVE, vm_id)


def make_finder(*vms):
    directory = VmDirectory(FakeVmList())
    directory.apply(VmListSnapshot(1, vms))
    client = FakeClient()
    finder = SeedFinder(
        ["127.0.0.1:9"], directory, client, OWN_ADDRESS, random.Random(1)
    )
    return finder, client


def test_live_peers_of_a_listed_daemon_become_seeds():
    finder, _ = make_finder(
        make_entry("e1", OWN_ADDRESS), make_entry("e2", OTHER_ADDRESS)
    )
    anyio.run(finder.search)
    assert finder.seeds() == ["127.0.0.1:9", PEER_ADDRESS]


def test_own_address_is_skipped_and_an_unreachable_daemon_adds_no_seeds():
    finder, client = make_finder(
        make_entry("e1", OWN_ADDRESS), make_entry("e3", "127.0.0.1:8280")
    )
    anyio.run(finder.search)
    assert client.requested_addresses == ["127.0.0.1:8280"]
    assert finder.seeds() == ["127.0.0.1:9"]
