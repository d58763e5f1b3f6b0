"""Have one daemon of a place read a log's end for the others.

The load is the calls of hundreds of daemons that each would read the same
changes; a daemon that gets no fresh answer from its reader reads the log.
"""

from collections import deque
from collections.abc import Awaitable, Callable, Sequence
from math import inf
from typing import Protocol

from berylcart import clock, events
from berylcart.coordination.claims.homes import find_home
from berylcart.coordination.gateway.home_capacity import able_members
from berylcart.state.errors import BerylcartError, LogGapError
from berylcart.state.member_table import Member, MemberState
from berylcart.state.tail import LogPart, StoredRecord, TailAnswer

MS_PER_S = 1000
# In smaller places a reader saves nothing, as it reads more often.
MIN_PLACE = 4
# A reader reads so much more often, and its news may be so old, that both
# daemons' waits together stay under two thirds of the bound for one change.
READER_SHARE = 0.5
MAX_AGE_SHARE = 0.75
# A few times what a peer's answer takes within a place.
ASK_TIMEOUT_MS = 250
# A reader that failed is passed by for as long as a suspicion takes.
SHUN_S = 3.0
MAX_RECORDS = 4096
RENDEZVOUS_KEY = "tail-reader"
# No return of the log is known.
LONG_AGO_MS = 3_600_000


class TailPeers(Protocol):
    """Ask the daemon at an address; raises BerylcartError."""

    async def read_tail(
        self, address: str, start: int, *, timeout_ms: int
    ) -> TailAnswer | None:
        """Give a log's end from an offset, None where it isn't known."""
        ...


class TailHandlers(Protocol):
    """Answer the questions of other daemons."""

    def on_read_tail(self, start: int) -> TailAnswer | None:
        """Give a log's end from an offset, None where it isn't known."""
        ...


class SharedTail:
    """Read a log's end through the reader of this daemon's place.

    source reads the log itself from an offset; it raises BerylcartError, and
    LogGapError where the records were deleted.
    """

    def __init__(
        self,
        me: Callable[[], Member],
        members: Callable[[], Sequence[Member]],
        peers: TailPeers,
        source: Callable[[int], Awaitable[LogPart]],
        interval_s: float,
    ) -> None:
        self.me = me
        self.members = members
        self.peers = peers
        self.source = source
        self.interval_s = interval_s
        self.records: deque[StoredRecord] = deque(maxlen=MAX_RECORDS)
        # The offsets that records cover.
        self.start = -1
        self.end = -1
        self.read_at_s = -inf
        self.is_away = False
        self.returned_s = -inf
        self.shunned_until_s = -inf
        self.reader_id = ""

    def sharers(self) -> list[Member]:
        """List the daemons that share a reader here, none in small places."""
        place = self.me().place
        usable = [
            member
            for member in self.members()
            if member.place == place
            and member.state is MemberState.ALIVE
            and not member.is_leaving
        ]
        return usable if len(usable) >= MIN_PLACE else []

    def reader(self) -> Member | None:
        """Find the reader of this place, None where this daemon reads."""
        able = {each.daemon_id: each for each in able_members(self.sharers())}
        name = find_home(RENDEZVOUS_KEY, sorted(able))
        if name is None or name == self.me().daemon_id:
            return None
        return able[name]

    @property
    def period_s(self) -> float:
        """Say how long to wait between reads; a reader's wait is shorter."""
        if self.sharers() and self.reader() is None:
            return READER_SHARE * self.interval_s
        return self.interval_s

    async def read(self, start: int) -> LogPart:
        """Read what came from an offset on; raises as the source does."""
        reader = self.reader()
        self.note_reader(reader)
        if reader is not None and clock.now_s() >= self.shunned_until_s:
            answer = await self.ask(reader, start)
            if answer is not None:
                returned_s = clock.now_s() - answer.returned_ms / MS_PER_S
                self.returned_s = max(self.returned_s, returned_s)
                return answer.part
            self.shunned_until_s = clock.now_s() + SHUN_S
        return await self.read_source(start)

    def note_reader(self, reader: Member | None) -> None:
        """Log a change of this place's reader."""
        name = self.me().daemon_id if reader is None else reader.daemon_id
        if name != self.reader_id:
            events.info("tail.reader", reader=name, place=self.me().place)
            self.reader_id = name
            self.shunned_until_s = -inf

    async def ask(self, reader: Member, start: int) -> TailAnswer | None:
        """Ask the reader, which may fail, know too little or be behind."""
        reason = "too little known"
        try:
            answer = await self.peers.read_tail(
                reader.peer_address, start, timeout_ms=ASK_TIMEOUT_MS
            )
        except BerylcartError as error:
            answer, reason = None, error.detail
        if answer is not None:
            max_age_ms = MAX_AGE_SHARE * self.interval_s * MS_PER_S
            if answer.age_ms <= max_age_ms:
                return answer
            reason = f"read {answer.age_ms} ms ago"
        events.info(
            "tail.reader_passed_by",
            reader=reader.daemon_id,
            start=start,
            detail=reason,
        )
        return None

    async def read_source(self, start: int) -> LogPart:
        """Read the log itself and keep what came for others."""
        began_s = clock.now_s()
        try:
            part = await self.source(start)
        except LogGapError:
            raise
        except BerylcartError:
            self.is_away = True
            raise
        if self.is_away:
            self.is_away = False
            self.returned_s = clock.now_s()
        self.keep(start, part, began_s)
        return part

    def keep(self, start: int, part: LogPart, began_s: float) -> None:
        """Keep records for other daemons' questions."""
        if start != self.end:
            self.records.clear()
            self.start = start
        if len(self.records) + len(part.records) > MAX_RECORDS:
            self.start = start
            self.records.clear()
        self.records.extend(part.records)
        self.end = part.next_offset
        self.read_at_s = began_s

    def on_read_tail(self, start: int) -> TailAnswer | None:
        """Answer another daemon from what was read last."""
        if not self.start <= start <= self.end:
            return None
        now_s = clock.now_s()
        records = tuple(each for each in self.records if each.offset >= start)
        returned_ms = min(LONG_AGO_MS, (now_s - self.returned_s) * MS_PER_S)
        return TailAnswer(
            LogPart(records, self.end),
            int((now_s - self.read_at_s) * MS_PER_S),
            int(returned_ms),
        )
