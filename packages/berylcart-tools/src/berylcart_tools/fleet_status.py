"""Fetch the status of daemons and format it as tables."""

from collections.abc import Sequence
from typing import Any

from berylcart.state.errors import BerylcartError, Code
from berylcart.transport.http_client import HttpClient, HttpRequest
from pydantic_core import from_json
from rich.table import Table

STATUS_TIMEOUT_MS = 2000

StatusRow = dict[str, Any]


async def fetch_status(client: HttpClient, address: str) -> StatusRow:
    """Fetch the status of one daemon, or the reason why it is unreachable."""
    request = HttpRequest(
        "GET", address, "/v1/status", timeout_ms=STATUS_TIMEOUT_MS
    )
    try:
        answer = await client.request(request)
    except BerylcartError as error:
        return {"daemon_id": address, "fault": error.detail}
    row: StatusRow = from_json(answer.body)
    return row


def describe_state(row: StatusRow) -> str:
    """Describe the state of one daemon.

    >>> describe_state({"is_ready": True, "is_draining": False})
    'ready'
    """
    if "fault" in row:
        return f"unreachable: {row['fault']}"
    if row["is_draining"]:
        return "draining"
    return "ready" if row["is_ready"] else "not ready"


def format_refusals(row: StatusRow) -> str:
    """Format the number of refusals by error code.

    >>> format_refusals({"refused": {"2000": 3}})
    '2000:3'
    """
    counts = row.get("refused", {})
    return " ".join(f"{code}:{count}" for code, count in counts.items())


def daemon_table(rows: Sequence[StatusRow]) -> Table:
    """Build a table with one row per daemon."""
    table = Table(title="Daemons")
    columns = ("id", "place", "state", "version", "in flight", "refused")
    for column in columns:
        table.add_column(column)
    for row in rows:
        table.add_row(
            str(row["daemon_id"]),
            str(row.get("place", "")),
            describe_state(row),
            str(row.get("config_version", "")),
            str(row.get("in_flight", "")),
            format_refusals(row),
        )
    return table


def first_reachable(rows: Sequence[StatusRow]) -> StatusRow:
    """Return the first fetched status; raises PEER_UNAVAILABLE if none."""
    for row in rows:
        if "fault" not in row:
            return row
    raise BerylcartError(Code.PEER_UNAVAILABLE, "no daemon answered")


def pool_table(row: StatusRow) -> Table:
    """Build a table of the pools that one daemon sees."""
    table = Table(title=f"Pools as {row['daemon_id']} sees them")
    table.add_column("service")
    table.add_column("replicas")
    for service, replicas in sorted(row["pools"].items()):
        table.add_row(service, " ".join(replicas))
    table.add_row("leaving", " ".join(row["leaving"]) or "none")
    return table
