"""Show the entries that a caller may use."""

import sys
from dataclasses import dataclass
from typing import Annotated

import cappa


@cappa.command(name="entries", help="Show the entries to call, best first.")
@dataclass
class Entries:
    """Hold the command line of an entry list."""

    entry: Annotated[
        str, cappa.Arg(long=True, help="IP:PORT of any entry to ask.")
    ]
    workspace: Annotated[
        str, cappa.Arg(long=True, help="Only those that may serve it.")
    ] = ""

    def __call__(self) -> int:
        """Print one entry a line."""
        import anyio

        return anyio.run(self.run)

    async def run(self) -> int:
        """Fetch the list and print it."""
        from berylcart.transport.http_client import HttpClient

        from berylcart_tools.caller import fetch_entries

        async with HttpClient() as client:
            entries = await fetch_entries(client, self.entry, self.workspace)
        for entry in entries:
            sys.stdout.write(
                f"{entry.address} place={entry.place} id={entry.daemon_id}\n"
            )
        return 0
