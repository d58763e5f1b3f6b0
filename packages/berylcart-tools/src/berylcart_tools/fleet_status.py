"""Fetch and lay out what the daemons know."""

from collections.abc import Sequence
from typing import Any

from berylcart.state.errors import BerylcartError, Code
from berylcart.transport.http_client import HttpClient, HttpRequest
from pydantic_core import from_json
from rich.table import Table

STATUS_TIMEOUT_MS = 2000

StatusRow = dict[str, Any]


async def fetch_status(client: HttpClient, address: str) -> StatusRow:
    """Fetch one daemon's status, or note why it did not answer."""
    request = HttpRequest(
        "GET", address, "/v1/status", timeout_ms=STATUS_TIMEOUT_MS
    )
    try:
        answer = await client.request(request)
    except BerylcartError as error:
        return {"daemon_id": address, "fault": error.detail}
    row: StatusRow = from_json(answer.body)
    return row


def state_of(row: StatusRow) -> str:
    """Sum up one daemon's state in a word.

    >>> state_of({"is_ready": True, "is_draining": False})
    'ready'
    """
    if "fault" in row:
        return f"unreachable: {row['fault']}"
    if row["is_draining"]:
        return "draining"
    return "ready" if row["is_ready"] else "not ready"


def refusals_of(row: StatusRow) -> str:
    """List refusals by code.

    >>> refusals_of({"refused": {"2000": 3}})
    '2000:3'
    """
    counts = row.get("refused", {})
    return " ".join(f"{code}:{count}" for code, count in counts.items())


def daemon_table(rows: Sequence[StatusRow]) -> Table:
    """Lay out one line for each daemon."""
    table = Table(title="Daemons")
    columns = ("id", "place", "state", "version", "in flight", "refused")
    for column in columns:
        table.add_column(column)
    for row in rows:
        table.add_row(
            str(row["daemon_id"]),
            str(row.get("place", "")),
            state_of(row),
            str(row.get("config_version", "")),
            str(row.get("in_flight", "")),
            refusals_of(row),
        )
    return table


def first_answering(rows: Sequence[StatusRow]) -> StatusRow:
    """Find a daemon that answered; raises BerylcartError without one."""
    for row in rows:
        if "fault" not in row:
            return row
    raise BerylcartError(Code.PEER_UNAVAILABLE, "no daemon answered")


def pool_table(row: StatusRow) -> Table:
    """Lay out the pools as one daemon sees them."""
    table = Table(title=f"Pools as {row['daemon_id']} sees them")
    table.add_column("service")
    table.add_column("replicas")
    for service, replicas in sorted(row["pools"].items()):
        table.add_row(service, " ".join(replicas))
    table.add_row("leaving", " ".join(row["leaving"]) or "none")
    return table
