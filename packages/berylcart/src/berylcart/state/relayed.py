"""Describe requests and answers that a gateway passes on unchanged."""

from enum import StrEnum
from typing import NamedTuple

Headers = tuple[tuple[bytes, bytes], ...]


class PromptPart(NamedTuple):
    """Name a part of a prompt that replicas may have cached."""

    part_id: str
    tokens: int


class Prompt(NamedTuple):
    """Describe an engine request: its parts, the last one its own."""

    model: str = ""
    parts: tuple[PromptPart, ...] = ()
    input_tokens: int = 0
    output_tokens: int = 0

    @property
    def affinity(self) -> str:
        """Name the longest prefix that other requests share, or nothing.

        >>> shared, own = PromptPart("a1", 900), PromptPart("b2", 40)
        >>> Prompt(parts=(shared, own)).affinity
        'a1'
        >>> Prompt(parts=(own,)).affinity
        ''
        """
        return self.parts[-2].part_id if len(self.parts) > 1 else ""


class CallerHead(NamedTuple):
    """Hold the head of a request; names of headers are in lower case."""

    method: str
    target: str
    headers: Headers

    def values(self, name: bytes) -> list[bytes]:
        """List the values of a header."""
        return [value for key, value in self.headers if key == name]


class Refusal(NamedTuple):
    """Hold a whole answer of the gateway itself."""

    status: int
    headers: Headers
    body: bytes


class RelayRequest(NamedTuple):
    """Hold a whole request as it came from a caller.

    headers are those that are passed on; deadline_ms is what the caller
    waits from its arrival. piece_counts has the number of pieces of each
    stage, which piece_key identifies.
    """

    request_id: str
    method: str
    target: str
    host: str
    headers: Headers
    body: bytes
    deadline_ms: int
    api_key: str | None = None
    prompt: Prompt = Prompt()
    piece_counts: tuple[int, ...] = ()
    piece_key: str = ""

    @property
    def path(self) -> str:
        """Give the target without its query."""
        return self.target.partition("?")[0]


class UpstreamRequest(NamedTuple):
    """Describe one request as it is written to an upstream."""

    address: str
    method: str
    target: str
    headers: Headers
    body: bytes
    request_id: str


class ReplicaLoad(NamedTuple):
    """Hold what a replica says of its work.

    percent is how long work takes there now, 100 where it is as usual.
    """

    running: int
    waiting: int
    slots: int
    percent: int = 100


class ReplicaNotice(NamedTuple):
    """Hold what one answer says of its replica.

    limit_per_s is 0 where it names no limit, None where the answer doesn't
    tell. cold_ms is for how long the replica stays cold.
    """

    limit_per_s: float | None = None
    is_leaving: bool = False
    retry_after_s: float | None = None
    load: ReplicaLoad | None = None
    cold_ms: int | None = None


class AnswerHead(NamedTuple):
    """Hold the head of an upstream's answer and what it says.

    did_not_run is set where the upstream promises so. headers are those that
    are passed on.
    """

    status: int
    headers: Headers
    request_id: str | None
    is_sealed: bool
    did_not_run: bool
    is_other_instance: bool
    idle_timeout_s: float | None = None
    # The requests a second that the upstream takes from all daemons, 0 where
    # it names no limit, None where the answer doesn't tell.
    limit_per_s: float | None = None
    is_leaving: bool = False
    # For how long a replica that answered 503 wants nothing.
    retry_after_s: float | None = None
    load: ReplicaLoad | None = None
    cold_ms: int | None = None

    @property
    def notice(self) -> ReplicaNotice:
        """Give what the answer says of its replica."""
        return ReplicaNotice(
            self.limit_per_s,
            self.is_leaving,
            self.retry_after_s,
            self.load,
            self.cold_ms,
        )


class PieceFailure(StrEnum):
    """Say why a piece of a stage has no result."""

    LATE = "late"
    GONE = "gone"
    ROOM = "room"
    ERROR = "error"


class Piece(NamedTuple):
    """Ask for one piece of one stage of a request.

    Either key identifies its input, or inputs lists the results that it
    reads.
    """

    request_id: str
    stage: int
    number: int
    key: str = ""
    inputs: tuple[str, ...] = ()


class PieceResult(NamedTuple):
    """Name a piece's result, or say why there is none."""

    handle: str = ""
    failure: PieceFailure | None = None
