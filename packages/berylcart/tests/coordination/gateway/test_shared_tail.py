"""Test the choice of a log's reader and each of its failure modes."""

import anyio
import pytest
from berylcart.clock import now_s
from berylcart.coordination.gateway.shared_tail import (
    MAX_AGE_SHARE,
    MAX_RECORDS,
    MIN_SHARING_DAEMONS,
    READER_BYPASS_S,
    READER_INTERVAL_SHARE,
    SharedTail,
)
from berylcart.state.errors import (
    BerylcartError,
    Code,
    LogGapError,
    LogUnavailableError,
)
from berylcart.state.member_table import Member, MemberState
from berylcart.state.tail import LogPart, StoredRecord

from ..serving_fakes import run

INTERVAL_S = 1.0


class Log:
    """A log that may be unavailable; it records the daemons that read it."""

    def __init__(self):
        self.records = []
        self.first = 0
        self.era = 0
        self.reads = []
        self.refused = set()

    def append(self, key):
        """Add a record."""
        self.records.append(StoredRecord(key, b"v", len(self.records)))

    def source(self, daemon_id):
        """Return the read function of one daemon."""

        async def read(start, era):
            self.reads.append(daemon_id)
            if daemon_id in self.refused or "all" in self.refused:
                raise LogUnavailableError("refused")
            if start < self.first or era != self.era:
                raise LogGapError(start, self.first)
            records = tuple(self.records[start:])
            return LogPart(records, len(self.records), era=era)

        return read


class Place:
    """The daemons of a place, which query one another."""

    def __init__(self, size=6, names=("p1",)):
        self.log = Log()
        self.members = [
            Member(f"d{n}-{p}", 1, f"d{n}-{p}:1", f"d{n}-{p}:2", p)
            for p in names
            for n in range(size)
        ]
        self.tails = {
            each.peer_address: self.make_tail(each) for each in self.members
        }
        self.failing = set()
        self.hanging = set()

    def make_tail(self, member):
        """Build one daemon's tail reader."""
        return SharedTail(
            lambda: member,
            lambda: self.members,
            self,
            self.log.source(member.daemon_id),
            INTERVAL_S,
        )

    async def read_tail(self, address, start, era, *, timeout_ms):
        """Query the daemon at an address."""
        if address in self.hanging:
            await anyio.sleep(timeout_ms / 1000)
        if address in self.failing | self.hanging:
            raise BerylcartError(Code.PEER_UNAVAILABLE, "no answer")
        return self.tails[address].on_read_tail(start, era)

    @property
    def reader(self):
        """Return the tail of the place's reader."""
        (reader,) = [t for t in self.tails.values() if t.reader() is None]
        return reader

    @property
    def others(self):
        """Return the tails of the daemons that query the reader."""
        return [t for t in self.tails.values() if t.reader() is not None]


def test_one_daemon_reads_for_its_place():
    async def check():
        place = Place()
        place.log.append("a")
        await place.reader.read(0)
        for tail in place.others:
            part = await tail.read(0)
            assert [each.key for each in part.records] == ["a"]
            assert part.next_offset == 1
        assert place.log.reads == [place.reader.local_member().daemon_id]
        assert place.reader.period_s == READER_INTERVAL_SHARE * INTERVAL_S

    run(check)


@pytest.mark.parametrize("names", [("p1",), ("p1", "p2", "p3")])
def test_daemons_of_small_places_read_directly(names):
    async def check():
        place = Place(MIN_SHARING_DAEMONS - 1, names)
        for tail in place.tails.values():
            assert tail.reader() is None
            assert tail.period_s == INTERVAL_S
            await tail.read(0)
        assert len(place.log.reads) == (MIN_SHARING_DAEMONS - 1) * len(names)

    run(check)


@pytest.mark.parametrize("failure", ["killed", "frozen", "cut off"])
def test_daemons_whose_reader_fails_read_the_log(failure):
    async def check():
        place = Place()
        reader, tail = place.reader, place.others[0]
        await reader.read(0)
        address = reader.local_member().peer_address
        if failure == "killed":
            place.failing.add(address)
        elif failure == "frozen":
            place.hanging.add(address)
        else:
            place.log.refused.add(reader.local_member().daemon_id)
            await anyio.sleep(MAX_AGE_SHARE * INTERVAL_S + 0.1)
        place.log.append("a")
        started_s = anyio.current_time()
        part = await tail.read(0)
        assert [each.key for each in part.records] == ["a"]
        assert anyio.current_time() - started_s < 0.3
        reads = place.log.reads.count(tail.local_member().daemon_id)
        await tail.read(1)
        assert (
            place.log.reads.count(tail.local_member().daemon_id) == reads + 1
        )
        place.failing.clear()
        place.hanging.clear()
        place.log.refused.clear()
        await anyio.sleep(READER_BYPASS_S)
        await reader.read(1)
        await tail.read(1)
        assert (
            place.log.reads.count(tail.local_member().daemon_id) == reads + 1
        )

    run(check)


@pytest.mark.parametrize(
    "change", [{"state": MemberState.SUSPECT}, {"is_leaving": True}]
)
def test_suspected_or_leaving_reader_is_replaced(change):
    async def check():
        place = Place()
        name = place.reader.local_member().daemon_id
        place.members = [
            each._replace(**change) if each.daemon_id == name else each
            for each in place.members
        ]
        readers = {tail.reader().daemon_id for tail in place.others}
        assert len(readers) == 1
        assert name not in readers

    run(check)


def test_daemon_without_access_to_the_log_uses_its_reader():
    async def check():
        place = Place()
        tail = place.others[0]
        place.log.refused.add(tail.local_member().daemon_id)
        place.log.append("a")
        await place.reader.read(0)
        part = await tail.read(0)
        assert part.next_offset == 1

    run(check)


def test_log_outage_is_seen_by_all():
    async def check():
        place = Place()
        await place.reader.read(0)
        place.log.refused.add("all")
        await anyio.sleep(INTERVAL_S)
        for tail in place.tails.values():
            with pytest.raises(LogUnavailableError):
                await tail.read(0)

    run(check)


def test_recovery_seen_by_the_reader_is_reported():
    async def check():
        place = Place()
        reader, tail = place.reader, place.others[0]
        await reader.read(0)
        place.log.refused.add("all")
        with pytest.raises(LogUnavailableError):
            await reader.read(0)
        place.log.refused.clear()
        await reader.read(0)
        await anyio.sleep(0.2)
        await tail.read(0)
        assert tail.recovered_s == pytest.approx(reader.recovered_s, abs=0.01)

    run(check)


def test_offsets_not_cached_by_the_reader_are_read_from_the_log():
    async def check():
        place = Place()
        for name in "abc":
            place.log.append(name)
        await place.reader.read(2)
        part = await place.others[0].read(0)
        assert [each.key for each in part.records] == ["a", "b", "c"]
        assert place.reader.on_read_tail(9) is None

    run(check)


def test_cached_records_are_bounded_and_contiguous():
    async def check():
        place = Place()
        reader = place.reader
        for _ in range(3):
            start = len(place.log.records)
            for number in range(MAX_RECORDS // 2 + 1):
                place.log.append(f"k{number}")
            await reader.read(start)
        assert len(reader.records) <= MAX_RECORDS
        answer = reader.on_read_tail(reader.start)
        offsets = [each.offset for each in answer.part.records]
        assert offsets == list(range(reader.start, reader.end))

    run(check)


def test_log_gap_is_not_an_outage():
    async def check():
        place = Place()
        place.log.append("a")
        place.log.first = 1
        with pytest.raises(LogGapError):
            await place.reader.read(0)
        assert not place.reader.contact.is_lost

    run(check)


def test_return_that_the_readers_contact_saw_reaches_the_others():
    async def check():
        place = Place()
        reader, other = place.reader, place.others[0]
        await reader.read(0)
        reader.contact.record_failure(now_s())
        await anyio.sleep(1)
        reader.contact.record_answer()
        returned_s = now_s()
        await anyio.sleep(0.2)
        await reader.read(0)
        await other.read(0)
        for tail in (reader, other):
            assert tail.recovered_s == pytest.approx(returned_s, abs=0.01)

    run(check)
