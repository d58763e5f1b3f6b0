"""Convert peer messages to and from protobuf."""

from math import inf

from berylcart.protocol import peer_pb2 as pb
from berylcart.protocol.text_compression import compress, decompress
from berylcart.state.leaving_marks import LeavingMark
from berylcart.state.member_table import Member, MemberState
from berylcart.state.peer_messages import (
    AgeTable,
    AnswerQuery,
    AnswerState,
    ConfigFreshness,
    ConfigQuery,
    ConfigReply,
    Demand,
    EvacuationReport,
    Gossip,
    HeartbeatSummary,
    LimitReport,
    MemberReport,
    PartCrash,
    PartReport,
    Ping,
    PingRequest,
    StoredAnswer,
)
from berylcart.state.records import Checkpoint, Verdict

MAX_DURATION_MS = 2**32 - 1
MAX_PERMILLE = 2**32 - 1
PERMILLE = 1000


def clamp_duration(age_ms: int) -> int:
    """Clamp a duration to an unsigned 32-bit field.

    >>> clamp_duration(-5), clamp_duration(7)
    (0, 7)
    >>> clamp_duration(2**40) == MAX_DURATION_MS
    True
    """
    return min(max(age_ms, 0), MAX_DURATION_MS)


def to_permille(load: float) -> int:
    """Convert a load to thousandths, clamped to an unsigned 32-bit field.

    >>> to_permille(0.25), to_permille(-1.0)
    (250, 0)
    """
    return min(max(round(load * PERMILLE), 0), MAX_PERMILLE)


def encode_member(update: MemberReport) -> pb.MemberMessage:
    """Encode one member of the cluster."""
    member = update.member
    return pb.MemberMessage(
        daemon_id=member.daemon_id,
        incarnation=member.incarnation,
        state=int(member.state),  # type: ignore[arg-type]
        beat=member.beat,
        peer_address=member.peer_address,
        http_address=member.http_address,
        place=member.place,
        load=member.load,
        config_version=member.config_version,
        config_offset=member.config_offset,
        is_leaving=member.is_leaving,
        capacity_permille=member.capacity_permille,
        heard_age_ms=clamp_duration(update.heard_age_ms),
    )


def decode_member(message: pb.MemberMessage) -> MemberReport:
    """Decode one member; raises ValueError on an unknown state."""
    member = Member(
        daemon_id=message.daemon_id,
        incarnation=message.incarnation,
        peer_address=message.peer_address,
        http_address=message.http_address,
        place=message.place,
        state=MemberState(message.state),
        beat=message.beat,
        load=message.load,
        config_version=message.config_version,
        config_offset=message.config_offset,
        is_leaving=message.is_leaving,
        capacity_permille=message.capacity_permille,
    )
    return MemberReport(member, message.heard_age_ms)


def encode_demand(demand: Demand) -> pb.DemandMessage:
    """Encode the number of one daemon's requests for a workspace."""
    return pb.DemandMessage(
        daemon_id=demand.daemon_id,
        workspace=demand.workspace,
        in_flight=demand.in_flight,
        age_ms=clamp_duration(demand.age_ms),
    )


def decode_demand(message: pb.DemandMessage) -> Demand:
    """Decode the number of one daemon's requests for a workspace."""
    return Demand(
        message.daemon_id, message.workspace, message.in_flight, message.age_ms
    )


def encode_limit(update: LimitReport) -> pb.LimitMessage:
    """Encode a replica's rate limit."""
    return pb.LimitMessage(
        vm_id=update.vm_id,
        incarnation=update.incarnation,
        per_s=update.per_s,
        age_ms=clamp_duration(update.age_ms),
        cold_ms=clamp_duration(update.cold_ms),
    )


def decode_limit(message: pb.LimitMessage) -> LimitReport:
    """Decode a replica's rate limit; raises ValueError when it is invalid."""
    if not 0 <= message.per_s < inf:
        raise ValueError("a rate limit must be a finite number of at least 0")
    return LimitReport(
        message.vm_id,
        message.incarnation,
        message.per_s,
        message.age_ms,
        message.cold_ms,
    )


def encode_evacuation(update: EvacuationReport) -> pb.EvacuationMessage:
    """Encode the evacuation status of a place."""
    return pb.EvacuationMessage(
        place=update.place,
        is_active=update.is_active,
        offset=update.offset,
        age_ms=clamp_duration(update.age_ms),
        era=update.era,
    )


def decode_evacuation(message: pb.EvacuationMessage) -> EvacuationReport:
    """Decode the evacuation status of a place."""
    return EvacuationReport(
        message.place,
        message.is_active,
        message.offset,
        message.age_ms,
        message.era,
    )


def encode_crash(crash: PartCrash) -> pb.PartCrashMessage:
    """Encode a crash of a replica."""
    message = pb.PartCrashMessage(
        replica=crash.replica, age_ms=clamp_duration(crash.age_ms)
    )
    if crash.sent_age_ms is not None:
        message.sent_age_ms = clamp_duration(crash.sent_age_ms)
    return message


def decode_crash(message: pb.PartCrashMessage) -> PartCrash:
    """Decode a crash of a replica."""
    is_sent_known = message.HasField("sent_age_ms")
    return PartCrash(
        message.replica,
        message.age_ms,
        message.sent_age_ms if is_sent_known else None,
    )


def encode_part(update: PartReport) -> pb.PartMessage:
    """Encode the evidence against a prompt part."""
    message = pb.PartMessage(
        part_id=update.part_id,
        crashes=[encode_crash(crash) for crash in update.crashes],
        is_stored=update.is_stored,
        depth=min(update.depth, MAX_DURATION_MS),
    )
    if update.begun_age_ms is not None:
        message.begun_age_ms = clamp_duration(update.begun_age_ms)
    if update.blocked_age_ms is not None:
        message.blocked_age_ms = clamp_duration(update.blocked_age_ms)
    return message


def decode_part(message: pb.PartMessage) -> PartReport:
    """Decode the evidence against a prompt part."""
    has_begun = message.HasField("begun_age_ms")
    is_blocked = message.HasField("blocked_age_ms")
    return PartReport(
        message.part_id,
        tuple(decode_crash(crash) for crash in message.crashes),
        message.begun_age_ms if has_begun else None,
        message.blocked_age_ms if is_blocked else None,
        message.is_stored,
        message.depth,
    )


def encode_gossip(gossip: Gossip) -> pb.GossipMessage:
    """Encode the sender's view of the cluster."""
    return pb.GossipMessage(
        sender=encode_member(MemberReport(gossip.sender, 0)),
        members=[encode_member(update) for update in gossip.members],
        leaving=[
            pb.LeavingMessage(vm_id=mark.vm_id, incarnation=mark.incarnation)
            for mark in gossip.leaving
        ],
        demand=[encode_demand(demand) for demand in gossip.demand],
        config_version=gossip.config.version,
        config_offset=gossip.config.as_of_offset,
        config_age_ms=clamp_duration(gossip.config.age_ms),
        config_era=gossip.config.era,
        vital_digests=[vital.digest for vital in gossip.vitals],
        vital_ages_ms=[
            clamp_duration(vital.heard_age_ms) for vital in gossip.vitals
        ],
        vital_loads_permille=[
            to_permille(vital.load) for vital in gossip.vitals
        ],
        vital_versions=[vital.config_version for vital in gossip.vitals],
        view_digest=gossip.view_digest,
        limits=[encode_limit(update) for update in gossip.limits],
        evacuations=[
            encode_evacuation(update) for update in gossip.evacuations
        ],
        ages_digest=gossip.ages.members_digest,
        age_steps=gossip.ages.age_steps,
        parts=[encode_part(update) for update in gossip.parts],
    )


def decode_gossip(message: pb.GossipMessage) -> Gossip:
    """Decode the sender's view; raises ValueError when it is malformed."""
    return Gossip(
        sender=decode_member(message.sender).member,
        members=tuple(decode_member(item) for item in message.members),
        leaving=tuple(
            LeavingMark(item.vm_id, item.incarnation)
            for item in message.leaving
        ),
        demand=tuple(decode_demand(item) for item in message.demand),
        config=ConfigFreshness(
            message.config_version,
            message.config_offset,
            message.config_age_ms,
            message.config_era,
        ),
        vitals=decode_vitals(message),
        view_digest=message.view_digest,
        limits=tuple(decode_limit(item) for item in message.limits),
        evacuations=tuple(
            decode_evacuation(item) for item in message.evacuations
        ),
        ages=AgeTable(message.ages_digest, message.age_steps),
        parts=tuple(decode_part(item) for item in message.parts),
    )


def decode_vitals(message: pb.GossipMessage) -> tuple[HeartbeatSummary, ...]:
    """Zip the parallel fields; raises ValueError on unequal lengths."""
    columns = zip(
        message.vital_digests,
        message.vital_ages_ms,
        message.vital_loads_permille,
        message.vital_versions,
        strict=True,
    )
    return tuple(
        HeartbeatSummary(digest, age_ms, load / PERMILLE, version)
        for digest, age_ms, load, version in columns
    )


def encode_ping(ping: Ping) -> pb.PingMessage:
    """Encode a probe."""
    return pb.PingMessage(
        target_id=ping.target_id, gossip=encode_gossip(ping.gossip)
    )


def decode_ping(message: pb.PingMessage) -> Ping:
    """Decode a probe; raises ValueError when it is malformed."""
    return Ping(message.target_id, decode_gossip(message.gossip))


def encode_ping_request(request: PingRequest) -> pb.PingRequestMessage:
    """Encode a request for an indirect probe."""
    return pb.PingRequestMessage(
        target_id=request.target_id,
        target_address=request.target_address,
        timeout_ms=clamp_duration(request.timeout_ms),
    )


def decode_ping_request(message: pb.PingRequestMessage) -> PingRequest:
    """Decode a request for an indirect probe."""
    return PingRequest(
        message.target_id, message.target_address, message.timeout_ms
    )


def encode_config_query(query: ConfigQuery) -> pb.PullConfigMessage:
    """Encode a request for a newer configuration."""
    return pb.PullConfigMessage(
        known_version=query.known_version, known_offset=query.known_offset
    )


def decode_config_query(message: pb.PullConfigMessage) -> ConfigQuery:
    """Decode a request for a newer configuration."""
    return ConfigQuery(message.known_version, message.known_offset)


def encode_verdict(verdict: Verdict) -> pb.VerdictMessage:
    """Encode the verdict on one publication."""
    return pb.VerdictMessage(
        publish_id=verdict.publish_id,
        offset=verdict.offset,
        version=verdict.version,
        reason=verdict.reason,
    )


def decode_verdict(message: pb.VerdictMessage) -> Verdict:
    """Decode the verdict on one publication."""
    version = message.version if message.HasField("version") else None
    return Verdict(message.publish_id, message.offset, version, message.reason)


def encode_config_offer(offer: ConfigReply) -> pb.ConfigMessage:
    """Encode the reply to a request for a newer configuration."""
    if offer.checkpoint is None:
        age_ms = clamp_duration(offer.age_ms)
        return pb.ConfigMessage(is_newer=False, age_ms=age_ms, era=offer.era)
    checkpoint = offer.checkpoint
    return pb.ConfigMessage(
        is_newer=True,
        version=checkpoint.version,
        as_of_offset=checkpoint.as_of_offset,
        format_version=checkpoint.format_version,
        text_zlib=compress(checkpoint.text),
        verdicts=[encode_verdict(item) for item in checkpoint.verdicts],
        age_ms=clamp_duration(offer.age_ms),
        era=offer.era,
    )


def decode_config_offer(message: pb.ConfigMessage) -> ConfigReply:
    """Decode the reply to a request for a newer configuration."""
    if not message.is_newer:
        return ConfigReply(None, message.age_ms, message.era)
    checkpoint = Checkpoint(
        as_of_offset=message.as_of_offset,
        version=message.version,
        format_version=message.format_version,
        text=decompress(message.text_zlib),
        verdicts=tuple(decode_verdict(item) for item in message.verdicts),
    )
    return ConfigReply(checkpoint, message.age_ms, message.era)


def encode_answer_query(query: AnswerQuery) -> pb.CollectAnswerMessage:
    """Encode a request for the stored response to a claimed request."""
    return pb.CollectAnswerMessage(
        key_digest=query.key_digest,
        claim_id=query.claim_id,
        workspace=query.workspace,
    )


def decode_answer_query(message: pb.CollectAnswerMessage) -> AnswerQuery:
    """Decode a request for the stored response to a claimed request."""
    return AnswerQuery(message.key_digest, message.claim_id, message.workspace)


def encode_answer(answer: StoredAnswer) -> pb.AnswerMessage:
    """Encode a stored response."""
    return pb.AnswerMessage(
        state=int(answer.state),  # type: ignore[arg-type]
        status=answer.status,
        content_type=answer.content_type,
        body=answer.body,
    )


def decode_answer(message: pb.AnswerMessage) -> StoredAnswer:
    """Decode a stored response; raises ValueError on an unknown state."""
    return StoredAnswer(
        AnswerState(message.state),
        message.status,
        message.content_type,
        message.body,
    )
