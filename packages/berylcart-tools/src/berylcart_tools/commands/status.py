"""Show the status of all daemons."""

import sys
from dataclasses import dataclass
from typing import Annotated, Any

import cappa


@cappa.command(
    name="status",
    help="Show daemons, places, versions in force, pools and refusals.",
)
@dataclass
class Status:
    """Show the status of all daemons and the pools that one of them sees."""

    entry: Annotated[str, cappa.Arg(long=True, help="IP:PORT of any entry.")]

    def __call__(self) -> int:
        """Print the status tables."""
        import anyio

        return anyio.run(self.run)

    async def run(self) -> int:
        """Fetch the status of every entry in the entry list and print it."""
        from berylcart.transport.http_client import HttpClient
        from rich.console import Console

        from berylcart_tools.caller import fetch_entries
        from berylcart_tools.fleet_status import (
            daemon_table,
            fetch_status,
            first_reachable,
            pool_table,
        )

        async with HttpClient() as client:
            entries = await fetch_entries(client, self.entry)
            addresses = [entry.address for entry in entries] or [self.entry]
            rows: list[dict[str, Any]] = [
                await fetch_status(client, address) for address in addresses
            ]
        console = Console(file=sys.stdout)
        console.print(daemon_table(rows))
        console.print(pool_table(first_reachable(rows)))
        return 0
