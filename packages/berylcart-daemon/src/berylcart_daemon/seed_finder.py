"""Discover peers through the VM list when the configured seeds are gone."""

import random
from collections.abc import Sequence

import anyio
from berylcart import events
from berylcart.coordination.membership.membership import Membership
from berylcart.coordination.policy.vm_directory import VmDirectory
from berylcart.state.errors import BerylcartError
from berylcart.transport.http_client import HttpClient, HttpRequest
from pydantic_core import from_json

SEARCH_PERIOD_S = 2.0
STATUS_TIMEOUT_MS = 1000
MAX_QUERIED_ENTRIES = 3
MAX_SEEDS = 64


def peer_addresses(body: bytes) -> list[str]:
    """Parse live members' peer addresses, none if the body is malformed.

    >>> peer_addresses(b'{"members": [{"state": "alive", '
    ...                b'"peer_address": "127.0.0.1:1"}]}')
    ['127.0.0.1:1']
    >>> peer_addresses(b"no status")
    []
    """
    try:
        members = from_json(body)["members"]
        return [
            str(member["peer_address"])
            for member in members
            if member["state"] == "alive"
        ]
    except (ValueError, KeyError, TypeError):
        return []


class SeedFinder:
    """Give configured and discovered peer addresses to join through.

    By the time a daemon restarts, all its configured seeds may have been
    replaced; the VM list names the daemons that run now.
    """

    def __init__(
        self,
        configured: Sequence[str],
        directory: VmDirectory,
        client: HttpClient,
        own_address: str,
        rng: random.Random,
    ) -> None:
        self.configured = tuple(configured)
        self.directory = directory
        self.client = client
        self.own_address = own_address
        self.rng = rng
        self.discovered: tuple[str, ...] = ()

    def seeds(self) -> Sequence[str]:
        """List the peer addresses to join through, configured ones first."""
        return [*self.configured, *self.discovered]

    async def run(self, membership: Membership) -> None:
        """Search periodically while no peer is known, until cancelled."""
        while True:
            if len(membership.live_members()) <= 1:
                await self.search()
            await anyio.sleep(SEARCH_PERIOD_S)

    async def search(self) -> None:
        """Query a few randomly chosen entries of the VM list for members."""
        entry_addresses = [
            vm.address
            for vm in self.directory.entries()
            if vm.address != self.own_address
        ]
        for address in self.rng.sample(
            entry_addresses, min(MAX_QUERIED_ENTRIES, len(entry_addresses))
        ):
            peers = await self.query_peers(address)
            if peers:
                self.discovered = tuple(peers[:MAX_SEEDS])
                events.info(
                    "membership.seeds_found", count=len(self.discovered)
                )
                return

    async def query_peers(self, address: str) -> list[str]:
        """Get live peer addresses from one daemon, none if it fails."""
        request = HttpRequest(
            "GET", address, "/v1/status", timeout_ms=STATUS_TIMEOUT_MS
        )
        try:
            answer = await self.client.request(request)
        except BerylcartError:
            return []
        return peer_addresses(answer.body)
