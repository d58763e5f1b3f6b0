"""Define the interface between the HTTP endpoints and the daemon."""

from typing import Protocol, TypedDict

from berylcart.state.errors import BerylcartError
from berylcart.state.request import ServeRequest

UNKNOWN = "unknown"


class EntryAnswer(TypedDict):
    """Describe one entry in an entry list."""

    daemon_id: str
    address: str
    place: str


class EntriesAnswer(TypedDict):
    """List the entries to use and for how long the list may be cached."""

    entries: list[EntryAnswer]
    keep_ms: int


class KeysAnswer(TypedDict):
    """List new idempotency keys and for how long each is valid."""

    keys: list[str]
    keep_ms: int


class StatusAnswer(TypedDict):
    """Describe the daemon's state and its view of the deployment."""

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


class DaemonFacade(Protocol):
    """Give the HTTP endpoints access to the daemon's state."""

    def check_open(self) -> None:
        """Raise BerylcartError DRAINING if new requests are refused."""
        ...

    def check_ready(self) -> None:
        """Raise BerylcartError if the daemon is not ready to serve."""
        ...

    def entries(self, workspace: str) -> EntriesAnswer:
        """List the entries for a workspace, in order of preference."""
        ...

    async def issue_keys(self, count: int) -> KeysAnswer:
        """Issue idempotency keys that carry their date of issue."""
        ...

    def status(self) -> StatusAnswer:
        """Describe the daemon's state."""
        ...

    def count_error(self, error: BerylcartError) -> None:
        """Count an error reply by its code."""
        ...

    def config_version(self) -> int:
        """Give the configuration version in force on this daemon."""
        ...

    def labels(self, request: ServeRequest) -> tuple[str, str]:
        """Give the tier and target labels of a request for metrics."""
        ...
