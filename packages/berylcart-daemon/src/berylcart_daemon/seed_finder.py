"""Find other daemons through the VM list when settings name none alive."""

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
MAX_ASKED = 3
MAX_SEEDS = 64


def peer_addresses(body: bytes) -> list[str]:
    """Read the live daemons' peer addresses from a status page.

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
    """Know peer addresses to join through: of the settings and found ones.

    All daemons of the settings may have been replaced by the time that one
    starts again; the VM list names those that run now.
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
        self.found: tuple[str, ...] = ()

    def seeds(self) -> Sequence[str]:
        """List peer addresses to join through."""
        return [*self.configured, *self.found]

    async def run(self, membership: Membership) -> None:
        """Search while this daemon knows no other, until cancelled."""
        while True:
            if len(membership.live_members()) <= 1:
                await self.search()
            await anyio.sleep(SEARCH_PERIOD_S)

    async def search(self) -> None:
        """Ask a few listed daemons whom they know."""
        listed = [
            vm.address
            for vm in self.directory.entries()
            if vm.address != self.own_address
        ]
        for address in self.rng.sample(listed, min(MAX_ASKED, len(listed))):
            found = await self.ask(address)
            if found:
                self.found = tuple(found[:MAX_SEEDS])
                events.info("membership.seeds_found", count=len(self.found))
                return

    async def ask(self, address: str) -> list[str]:
        """Ask one daemon for its status; one that is gone knows nobody."""
        request = HttpRequest(
            "GET", address, "/v1/status", timeout_ms=STATUS_TIMEOUT_MS
        )
        try:
            answer = await self.client.request(request)
        except BerylcartError:
            return []
        return peer_addresses(answer.body)
