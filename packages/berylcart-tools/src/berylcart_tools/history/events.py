"""Define the events of a history, stored as one JSON object per line.

All writers of one history take at_ms, in milliseconds, from the same clock.
Only upstreams write run events, so these prove which attempts ran.
"""

from typing import Annotated, Literal, NotRequired

from pydantic import Field
from typing_extensions import TypedDict


class SendEvent(TypedDict):
    """Record that a client sent a request.

    expected is the output that deterministic upstreams must produce.
    """

    kind: Literal["send"]
    at_ms: int
    send_id: str
    client: str
    workspace: str
    key: NotRequired[str]
    expected: NotRequired[object]


class AnswerEvent(TypedDict):
    """Record the answer that a client received, or a lost connection.

    A complete answer (whole) has an output; an error has a code and ran.
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


class RunEvent(TypedDict):
    """Record, at the upstream, the start of an attempt."""

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


class StageResultEvent(TypedDict):
    """Record, at the upstream, the result sent for an attempt."""

    kind: Literal["stage_result"]
    at_ms: int
    attempt_id: str
    output: object


class StageUsedEvent(TypedDict):
    """Record, at a daemon, the result used for one stage of a request."""

    kind: Literal["stage_used"]
    at_ms: int
    send_id: str
    stage: str
    attempt_id: str
    output: object


class LeavingEvent(TypedDict):
    """Record that the platform marked an upstream's VM as leaving."""

    kind: Literal["leaving"]
    at_ms: int
    vm_id: str
    instance: str


class StopPlannedEvent(TypedDict):
    """Record that an entry received SIGTERM."""

    kind: Literal["stop_planned"]
    at_ms: int
    entry: str


class DiedEvent(TypedDict):
    """Record that an entry was killed, which excuses its lost connections."""

    kind: Literal["died"]
    at_ms: int
    entry: str


class AcceptedEvent(TypedDict):
    """Record that the log accepted a configuration version.

    places lists the permitted places of each workspace.
    """

    kind: Literal["accepted"]
    at_ms: int
    version: int
    places: NotRequired[dict[str, list[str]]]


class InForceEvent(TypedDict):
    """Record the configuration version in force on a daemon from now on.

    Version 0 means that the daemon has no configuration and takes no work.
    """

    kind: Literal["in_force"]
    at_ms: int
    daemon: str
    version: int


class JoinedEvent(TypedDict):
    """Record that a daemon is reachable from now on."""

    kind: Literal["joined"]
    at_ms: int
    daemon: str


class UnreachableEvent(TypedDict):
    """Record that a daemon is dead, suspended or partitioned from now on."""

    kind: Literal["unreachable"]
    at_ms: int
    daemon: str


class HistoryEndEvent(TypedDict):
    """Record the time at which the history was closed."""

    kind: Literal["end"]
    at_ms: int


AnyEvent = (
    SendEvent
    | AnswerEvent
    | RunEvent
    | StageResultEvent
    | StageUsedEvent
    | LeavingEvent
    | StopPlannedEvent
    | DiedEvent
    | AcceptedEvent
    | InForceEvent
    | JoinedEvent
    | UnreachableEvent
    | HistoryEndEvent
)

Event = Annotated[AnyEvent, Field(discriminator="kind")]
