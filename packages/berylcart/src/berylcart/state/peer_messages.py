"""Define the typed messages that daemons send one another."""

from enum import IntEnum
from typing import NamedTuple

from berylcart.state.leaving_marks import LeavingMark
from berylcart.state.member_table import Member
from berylcart.state.records import Checkpoint
from berylcart.state.relayed import PromptPart


class MemberNews(NamedTuple):
    """Report a member and how long ago the member itself was heard."""

    member: Member
    heard_age_ms: int


class VitalSign(NamedTuple):
    """Report in brief when a member was heard, its load and version.

    The digest is member_digest() of the daemon's id.
    """

    digest: int
    heard_age_ms: int
    load: float = 0.0
    config_version: int = 0


class Demand(NamedTuple):
    """Report how much work of a workspace one daemon has in flight."""

    daemon_id: str
    workspace: str
    in_flight: int
    age_ms: int = 0


class LimitNews(NamedTuple):
    """Report the requests a second that a replica takes from all daemons.

    per_s is 0 where its newest answer named no limit. cold_ms is for how long
    the replica stays cold, 0 where it isn't.
    """

    vm_id: str
    incarnation: int
    per_s: float
    age_ms: int = 0
    cold_ms: int = 0


class EvacuationNews(NamedTuple):
    """Report whether a place is evacuated, as of a record of the store.

    A withdrawal that is told has become known age_ms ago.
    """

    place: str
    is_active: bool
    offset: int
    age_ms: int = 0


class PlacementQuery(NamedTuple):
    """Ask where a request to an engine service should run.

    parts are those that other requests share, own_tokens the rest of the
    prompt. moved_bytes are read from place. is_question is set where no
    request follows.
    """

    service: str
    parts: tuple[PromptPart, ...]
    own_tokens: int
    output_tokens: int
    left_ms: int
    place: str = ""
    moved_bytes: int = 0
    is_question: bool = False


class Placement(NamedTuple):
    """Name a replica, and the request by a number of its home.

    expected_ms is the estimate of the time to the first token.
    """

    vm_id: str
    incarnation: int
    number: int
    expected_ms: int = 0


class AttemptNews(NamedTuple):
    """Tell that a placed request has begun, or has ended before.

    is_failed tells that it ended by its replica's fault.
    """

    service: str
    number: int
    is_begun: bool
    latency_ms: int
    is_failed: bool = False


class ConfigFreshness(NamedTuple):
    """State a configuration version and how recently the log confirmed it.

    The log had been read up to offset as_of_offset age_ms ago.
    """

    version: int = 0
    as_of_offset: int = -1
    age_ms: int = 0


class Gossip(NamedTuple):
    """Carry a sender's view, whole or in part.

    view_digest is that of the members that the sender counts as running.
    """

    sender: Member
    members: tuple[MemberNews, ...] = ()
    leaving: tuple[LeavingMark, ...] = ()
    demand: tuple[Demand, ...] = ()
    config: ConfigFreshness = ConfigFreshness()
    vitals: tuple[VitalSign, ...] = ()
    view_digest: int = 0
    limits: tuple[LimitNews, ...] = ()
    evacuations: tuple[EvacuationNews, ...] = ()


class Ping(NamedTuple):
    """Probe the daemon that should be listening at an address."""

    target_id: str
    gossip: Gossip


class PingRequest(NamedTuple):
    """Ask a peer to probe a third daemon."""

    target_id: str
    target_address: str
    timeout_ms: int


class ConfigQuery(NamedTuple):
    """Ask a peer for a configuration newer than the one known."""

    known_version: int
    known_offset: int


class ConfigOffer(NamedTuple):
    """Carry a newer configuration, or None when the peer is not ahead."""

    checkpoint: Checkpoint | None
    age_ms: int = 0


class AnswerQuery(NamedTuple):
    """Ask a claimant for the answer of a claimed request."""

    key_digest: str
    claim_id: str
    workspace: str


class AnswerState(IntEnum):
    """Say what the claimant holds for a claim."""

    UNKNOWN = 0
    PENDING = 1
    STORED = 2


class StoredAnswer(NamedTuple):
    """Carry the stored answer of a claimed request, once there is one."""

    state: AnswerState
    status: int = 0
    content_type: str = ""
    body: bytes = b""
