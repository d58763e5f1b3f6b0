"""Let one daemon per place read the tail of a log for the others.

This saves hundreds of daemons from each polling the log for the same changes.
A daemon that gets no fresh response from its reader reads the log itself.
"""

from collections import deque
from collections.abc import Awaitable, Callable, Sequence
from math import inf
from typing import Protocol

from berylcart import clock, events
from berylcart.coordination.claims.homes import find_home
from berylcart.coordination.gateway.home_capacity import members_with_capacity
from berylcart.coordination.gateway.store_contact import StoreContact
from berylcart.state.errors import BerylcartError, LogGapError
from berylcart.state.member_table import Member, MemberState
from berylcart.state.tail import (
    FIRST_ERA,
    LogPart,
    StoredRecord,
    TailAnswer,
)

MS_PER_S = 1000
# In smaller places a shared reader saves no calls, as it polls more often.
MIN_SHARING_DAEMONS = 4
# The reader's poll interval and the maximum age of its data, relative to the
# poll interval, are chosen so that the delays of both daemons together stay
# under two thirds of the bound for propagating a change.
READER_INTERVAL_SHARE = 0.5
MAX_AGE_SHARE = 0.75
# A few times the round trip to a peer within a place.
QUERY_TIMEOUT_MS = 250
# After a failure the reader is bypassed for the suspicion timeout of
# failure detection.
READER_BYPASS_S = 3.0
MAX_RECORDS = 4096
RENDEZVOUS_KEY = "tail-reader"
# Sent if the log is not known to have recovered from an outage.
MAX_RECOVERY_AGE_MS = 3_600_000


class TailPeers(Protocol):
    """Query the daemon at an address; raises BerylcartError."""

    async def read_tail(
        self, address: str, start: int, era: int, *, timeout_ms: int
    ) -> TailAnswer | None:
        """Return the log's tail from an offset, None if it is not cached."""
        ...


class TailHandlers(Protocol):
    """Handle the queries of other daemons."""

    def on_read_tail(
        self, start: int, era: int = FIRST_ERA
    ) -> TailAnswer | None:
        """Return the log's tail from an offset, None if it is not cached."""
        ...


class SharedTail:
    """Read the tail of a log through the reader of this daemon's place.

    source reads the log itself from an offset of an era. It raises
    BerylcartError, and LogGapError if the records were deleted.
    """

    def __init__(
        self,
        local_member: Callable[[], Member],
        members: Callable[[], Sequence[Member]],
        peers: TailPeers,
        source: Callable[[int, int], Awaitable[LogPart]],
        interval_s: float,
        contact: StoreContact | None = None,
    ) -> None:
        self.contact = contact or StoreContact()
        self.local_member = local_member
        self.members = members
        self.peers = peers
        self.source = source
        self.interval_s = interval_s
        self.records: deque[StoredRecord] = deque(maxlen=MAX_RECORDS)
        # The range of offsets that records covers, and their era.
        self.start = -1
        self.end = -1
        self.era = FIRST_ERA
        self.read_at_s = -inf
        # The log's last return from an outage, as any daemon saw it.
        self.recovered_s = -inf
        self.bypassed_until_s = -inf
        self.reader_id = ""

    def reader_group(self) -> list[Member]:
        """List the daemons that share this place's reader; none if too few."""
        place = self.local_member().place
        usable = [
            member
            for member in self.members()
            if member.place == place
            and member.state is MemberState.ALIVE
            and not member.is_leaving
        ]
        return usable if len(usable) >= MIN_SHARING_DAEMONS else []

    def reader(self) -> Member | None:
        """Return the reader of this place, None if it is this daemon."""
        candidates = {
            each.daemon_id: each
            for each in members_with_capacity(self.reader_group())
        }
        name = find_home(RENDEZVOUS_KEY, sorted(candidates))
        if name is None or name == self.local_member().daemon_id:
            return None
        return candidates[name]

    @property
    def period_s(self) -> float:
        """Return the poll interval, which is shorter for the reader."""
        if self.reader_group() and self.reader() is None:
            return READER_INTERVAL_SHARE * self.interval_s
        return self.interval_s

    async def read(self, start: int, era: int = FIRST_ERA) -> LogPart:
        """Read records from an offset on; raises the errors of the source."""
        reader = self.reader()
        self.log_reader_change(reader)
        if reader is not None and clock.now_s() >= self.bypassed_until_s:
            answer = await self.query_reader(reader, start, era)
            if answer is not None:
                recovered_s = clock.now_s() - answer.returned_ms / MS_PER_S
                self.recovered_s = max(self.recovered_s, recovered_s)
                return answer.part
            self.bypassed_until_s = clock.now_s() + READER_BYPASS_S
        return await self.read_source(start, era)

    def log_reader_change(self, reader: Member | None) -> None:
        """Log a change of this place's reader."""
        name = (
            self.local_member().daemon_id
            if reader is None
            else reader.daemon_id
        )
        if name != self.reader_id:
            events.info(
                "tail.reader_changed",
                reader=name,
                place=self.local_member().place,
            )
            self.reader_id = name
            self.bypassed_until_s = -inf

    async def query_reader(
        self, reader: Member, start: int, era: int
    ) -> TailAnswer | None:
        """Query the reader; None if it fails, lacks records or is stale."""
        reason = "the reader has not cached these offsets"
        try:
            answer = await self.peers.read_tail(
                reader.peer_address, start, era, timeout_ms=QUERY_TIMEOUT_MS
            )
        except BerylcartError as error:
            answer, reason = None, error.detail
        if answer is not None and answer.part.era != era:
            answer, reason = None, "the reader's records are of another era"
        if answer is not None:
            max_age_ms = MAX_AGE_SHARE * self.interval_s * MS_PER_S
            if answer.age_ms <= max_age_ms:
                return answer
            reason = f"the reader's records are {answer.age_ms} ms old"
        events.info(
            "tail.reader_bypassed",
            reader=reader.daemon_id,
            start=start,
            detail=reason,
        )
        return None

    async def read_source(self, start: int, era: int) -> LogPart:
        """Read the log itself and cache the records for other daemons."""
        started_s = clock.now_s()
        try:
            part = await self.source(start, era)
        except LogGapError:
            raise
        except BerylcartError:
            self.contact.record_failure(started_s)
            raise
        self.contact.record_answer()
        self.recovered_s = max(self.recovered_s, self.contact.returned_s)
        self.cache_part(start, part, started_s)
        return part

    def cache_part(self, start: int, part: LogPart, started_s: float) -> None:
        """Cache records for other daemons' queries."""
        if (part.era, start) != (self.era, self.end):
            self.records.clear()
            self.start = start
            self.era = part.era
        if len(self.records) + len(part.records) > MAX_RECORDS:
            self.start = start
            self.records.clear()
        self.records.extend(part.records)
        self.end = part.next_offset
        self.read_at_s = started_s

    def on_read_tail(
        self, start: int, era: int = FIRST_ERA
    ) -> TailAnswer | None:
        """Return cached records for another daemon."""
        if era != self.era or not self.start <= start <= self.end:
            return None
        now_s = clock.now_s()
        records = tuple(each for each in self.records if each.offset >= start)
        returned_ms = min(
            MAX_RECOVERY_AGE_MS, (now_s - self.recovered_s) * MS_PER_S
        )
        return TailAnswer(
            LogPart(records, self.end, era=self.era),
            int((now_s - self.read_at_s) * MS_PER_S),
            int(returned_ms),
        )
