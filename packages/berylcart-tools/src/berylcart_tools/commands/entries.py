"""Print the entries that a caller may use."""

import sys
from dataclasses import dataclass
from typing import Annotated

import cappa


@cappa.command(name="entries", help="Show the entries to call, best first.")
@dataclass
class Entries:
    """Print the entries to call, best first."""

    entry: Annotated[str, cappa.Arg(long=True, help="IP:PORT of any entry.")]
    workspace: Annotated[
        str,
        cappa.Arg(
            long=True,
            help="List only the entries that may serve this workspace.",
        ),
    ] = ""

    def __call__(self) -> int:
        """Print one entry per line."""
        import anyio

        return anyio.run(self.run)

    async def run(self) -> int:
        """Fetch the entry list and print it."""
        from berylcart.transport.http_client import HttpClient

        from berylcart_tools.caller import fetch_entries

        async with HttpClient() as client:
            entries = await fetch_entries(client, self.entry, self.workspace)
        for entry in entries:
            sys.stdout.write(
                f"{entry.address} place={entry.place} id={entry.daemon_id}\n"
            )
        return 0
