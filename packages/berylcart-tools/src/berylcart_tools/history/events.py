"""Define a history's events: one JSON object a line, times in ms.

All writers of one history take at_ms from one clock. Only upstreams write
run events: they are the witness for what ran.
"""

from typing import Annotated, Literal, NotRequired

from pydantic import Field
from typing_extensions import TypedDict


class Send(TypedDict):
    """Record that a client sent a request.

    expected is the output that deterministic upstreams must give.
    """

    kind: Literal["send"]
    at_ms: int
    send_id: str
    client: str
    workspace: str
    key: NotRequired[str]
    expected: NotRequired[object]


class Answer(TypedDict):
    """Record what a client was told, or that its connection was cut.

    A whole answer carries its output, an error its code and ran.
    """

    kind: Literal["answer"]
    at_ms: int
    send_id: str
    client: str
    status: Literal["whole", "error", "cut"]
    ran: NotRequired[Literal["no", "yes", "unknown"]]
    code: NotRequired[int]
    output: NotRequired[object]
    entry: NotRequired[str]


class Run(TypedDict):
    """Record, at the upstream, that it began one attempt."""

    kind: Literal["run"]
    at_ms: int
    attempt_id: str
    send_id: str
    stage: str
    vm_id: str
    instance: str
    place: str
    workspace: str
    key: NotRequired[str]
    is_idempotent: NotRequired[bool]


class StageResult(TypedDict):
    """Record, at the upstream, the result that it sent for an attempt."""

    kind: Literal["stage_result"]
    at_ms: int
    attempt_id: str
    output: object


class StageUsed(TypedDict):
    """Record, at a daemon, the one result that a request's stage used."""

    kind: Literal["stage_used"]
    at_ms: int
    send_id: str
    stage: str
    attempt_id: str
    output: object


class Leaving(TypedDict):
    """Record that the platform marked an upstream's VM as leaving."""

    kind: Literal["leaving"]
    at_ms: int
    vm_id: str
    instance: str


class StopPlanned(TypedDict):
    """Record that an entry was told to stop (SIGTERM)."""

    kind: Literal["stop_planned"]
    at_ms: int
    entry: str


class Died(TypedDict):
    """Record that an entry was killed, so that its cut answers are due."""

    kind: Literal["died"]
    at_ms: int
    entry: str


class Accepted(TypedDict):
    """Record that the log accepted a configuration version.

    places lists where each workspace permits its data.
    """

    kind: Literal["accepted"]
    at_ms: int
    version: int
    places: NotRequired[dict[str, list[str]]]


class InForce(TypedDict):
    """Record the version that a daemon acts upon from now on.

    A version of 0 says that the daemon has none and takes no work.
    """

    kind: Literal["in_force"]
    at_ms: int
    daemon: str
    version: int


class Joined(TypedDict):
    """Record that a daemon can be reached from now on."""

    kind: Literal["joined"]
    at_ms: int
    daemon: str


class Unreachable(TypedDict):
    """Record that a daemon is dead, frozen or cut off from now on."""

    kind: Literal["unreachable"]
    at_ms: int
    daemon: str


class HistoryEnd(TypedDict):
    """Record when the writers closed the history."""

    kind: Literal["end"]
    at_ms: int


EventUnion = (
    Send
    | Answer
    | Run
    | StageResult
    | StageUsed
    | Leaving
    | StopPlanned
    | Died
    | Accepted
    | InForce
    | Joined
    | Unreachable
    | HistoryEnd
)

Event = Annotated[EventUnion, Field(discriminator="kind")]
