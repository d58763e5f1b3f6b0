"""Typed messages between daemons."""

from enum import IntEnum
from typing import NamedTuple

from berylcart.state.leaving_marks import LeavingMark
from berylcart.state.member_table import Member
from berylcart.state.records import Checkpoint
from berylcart.state.relay_messages import PromptPart
from berylcart.state.tail import FIRST_ERA, LogPosition


class MemberReport(NamedTuple):
    """Report a member and the time since its own last message."""

    member: Member
    heard_age_ms: int


class HeartbeatSummary(NamedTuple):
    """Compact report of a member's last heartbeat, load and version.

    digest is member_digest() of the daemon's id.
    """

    digest: int
    heard_age_ms: int
    load: float = 0.0
    config_version: int = 0


class Demand(NamedTuple):
    """Report a daemon's number of requests in flight per workspace."""

    daemon_id: str
    workspace: str
    in_flight: int
    age_ms: int = 0


class LimitReport(NamedTuple):
    """Report a replica's rate limit, which applies to all daemons together.

    per_s is in requests per second, 0 if the replica's newest answer gave no
    limit. cold_ms is the time for which the replica remains cold, 0 if it is
    warm.
    """

    vm_id: str
    incarnation: int
    per_s: float
    age_ms: int = 0
    cold_ms: int = 0


class EvacuationReport(NamedTuple):
    """Report whether a place is evacuated, as of an offset of the store.

    For a withdrawal, age_ms is the time since the sender learnt of it.
    """

    place: str
    is_active: bool
    offset: int
    age_ms: int = 0
    era: int = FIRST_ERA

    @property
    def position(self) -> LogPosition:
        """Return the position of the record in the store."""
        return LogPosition(self.era, self.offset)


class PlacementQuery(NamedTuple):
    """Ask for the replica on which an engine request should run.

    parts are the prompt's parts that other requests share; own_tokens is the
    length of the rest. The request reads moved_bytes bytes from place.
    is_question is set if no request will follow the query.
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
    """Assign a request to a replica.

    number identifies the request at its service's home daemon. expected_ms
    is the expected time to the first token.
    """

    vm_id: str
    incarnation: int
    number: int
    expected_ms: int = 0


class AttemptReport(NamedTuple):
    """Report that a placed request has begun, or ended before it began.

    is_failed is set if it ended because of a fault of its replica.
    """

    service: str
    number: int
    is_begun: bool
    latency_ms: int
    is_failed: bool = False


class ConfigFreshness(NamedTuple):
    """Report a configuration version and when the log last confirmed it.

    age_ms ago, the log had been read up to as_of_offset of an era.
    """

    version: int = 0
    as_of_offset: int = -1
    age_ms: int = 0
    era: int = FIRST_ERA

    @property
    def position(self) -> LogPosition:
        """Return the position up to which the log had been read."""
        return LogPosition(self.era, self.as_of_offset)


class PartCrash(NamedTuple):
    """Hold a crash of one incarnation of a replica.

    sent_age_ms ago the replica was sent the request, None if unknown.
    """

    replica: str
    age_ms: int
    sent_age_ms: int | None = None


class PartReport(NamedTuple):
    """Report a prompt part or a whole request that was in crashes.

    begun_age_ms tells when an answer last began on it, blocked_age_ms when it
    was blocked; each is None if that did not happen. depth is its position in
    prompts.
    """

    part_id: str
    crashes: tuple[PartCrash, ...] = ()
    begun_age_ms: int | None = None
    blocked_age_ms: int | None = None
    is_stored: bool = False
    depth: int = 0


class AgeTable(NamedTuple):
    """Hold when each member was last heard, in the order of their digests.

    Each byte is an age in steps of 20 ms; 255 stands for any higher age. The
    table can be read by daemons that know the same members.
    """

    members_digest: int = 0
    age_steps: bytes = b""


class Gossip(NamedTuple):
    """Carry all or part of the sender's view of the cluster.

    view_digest is the digest of the members that the sender counts as
    running.
    """

    sender: Member
    members: tuple[MemberReport, ...] = ()
    leaving: tuple[LeavingMark, ...] = ()
    demand: tuple[Demand, ...] = ()
    config: ConfigFreshness = ConfigFreshness()
    vitals: tuple[HeartbeatSummary, ...] = ()
    view_digest: int = 0
    limits: tuple[LimitReport, ...] = ()
    evacuations: tuple[EvacuationReport, ...] = ()
    ages: AgeTable = AgeTable()
    parts: tuple[PartReport, ...] = ()


class Ping(NamedTuple):
    """Probe the daemon that is expected to listen at an address."""

    target_id: str
    gossip: Gossip


class PingRequest(NamedTuple):
    """Ask a peer to probe a third daemon (SWIM's indirect probe)."""

    target_id: str
    target_address: str
    timeout_ms: int


class ConfigQuery(NamedTuple):
    """Ask a peer for a configuration newer than the sender's."""

    known_version: int
    known_offset: int


class ConfigReply(NamedTuple):
    """Carry a newer configuration, None if the peer has none."""

    checkpoint: Checkpoint | None
    age_ms: int = 0
    era: int = FIRST_ERA


class AnswerQuery(NamedTuple):
    """Ask a claimant for the stored answer to a claimed request."""

    key_digest: str
    claim_id: str
    workspace: str


class AnswerState(IntEnum):
    """States of the answer to a claimed request at its claimant."""

    UNKNOWN = 0
    PENDING = 1
    STORED = 2


class StoredAnswer(NamedTuple):
    """Carry the stored answer to a claimed request, if there is one."""

    state: AnswerState
    status: int = 0
    content_type: str = ""
    body: bytes = b""
