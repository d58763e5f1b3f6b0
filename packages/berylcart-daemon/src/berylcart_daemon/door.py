"""Define what the HTTP endpoints ask of the daemon."""

from typing import Protocol, TypedDict

from berylcart.state.errors import BerylcartError
from berylcart.state.request import ServeRequest

UNKNOWN = "unknown"


class EntryAnswer(TypedDict):
    """Show one entry that a caller may use."""

    daemon_id: str
    address: str
    place: str


class EntriesAnswer(TypedDict):
    """Show the entries to use and how long to keep the answer."""

    entries: list[EntryAnswer]
    keep_ms: int


class KeysAnswer(TypedDict):
    """Show fresh idempotency keys and how long each is honoured."""

    keys: list[str]
    keep_ms: int


class StatusAnswer(TypedDict):
    """Show what this daemon knows."""

    daemon_id: str
    incarnation: int
    place: str
    config_version: int
    config_as_of_offset: int
    is_ready: bool
    is_draining: bool
    in_flight: int
    members: list[dict[str, str | int | float]]
    pools: dict[str, list[str]]
    leaving: list[str]
    refused: dict[str, int]


class Door(Protocol):
    """Tell whether the daemon takes new requests, and what it knows."""

    def check_open(self) -> None:
        """Raise BerylcartError DRAINING when it takes no new request."""
        ...

    def check_ready(self) -> None:
        """Raise BerylcartError when it cannot serve."""
        ...

    def entries(self, workspace: str) -> EntriesAnswer:
        """List the entries for a workspace, best first."""
        ...

    async def issue_keys(self, count: int) -> KeysAnswer:
        """Issue dated idempotency keys."""
        ...

    def status(self) -> StatusAnswer:
        """Describe the daemon."""
        ...

    def note_refused(self, error: BerylcartError) -> None:
        """Count an error answer."""
        ...

    def config_version(self) -> int:
        """Give the configuration version in force here."""
        ...

    def labels(self, request: ServeRequest) -> tuple[str, str]:
        """Give the tier and target under which a request is counted."""
        ...
