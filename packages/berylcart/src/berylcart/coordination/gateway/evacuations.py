"""Track which places are evacuated, from the store and from peers.

Of two reports on a place, the one with the higher record position wins,
regardless of its source. While the records of a new era of the store settle,
what a read of all keys shows may be a copy from before the last era's end: it
does not end or repeat an evacuation, and is not advertised to peers.
"""

from collections.abc import Callable, Iterable, Mapping, Sequence
from typing import NamedTuple

from berylcart import clock, events
from berylcart.coordination.gateway.store_era import StoreEra
from berylcart.state.peer_messages import EvacuationReport
from berylcart.state.tail import FIRST_ERA, LogPosition

MS_PER_S = 1000
# Limit given in the operators' documentation.
MAX_NAME_BYTES = 200
# Range of the offset field of peer messages.
MAX_OFFSET = 2**64 - 1
# How long a withdrawal is advertised to peers, from the operators'
# documentation; covers the time for which a daemon may be partitioned.
ADVERTISE_S = 600.0
# Withdrawals are kept longer than they are advertised; otherwise daemons would
# reintroduce them to one another indefinitely.
RETENTION_S = 660.0
# Bounds on withdrawals kept and on reports per message; a deployment has tens
# of places.
MAX_WITHDRAWN = 256
MAX_ADVERTISED = 256
# Bounds memory at 1 MB; an existing evacuation is never dropped for a new one.
MAX_ACTIVE = 4096
STORE = "store"


def is_valid(report: EvacuationReport) -> bool:
    """Return whether a report has a valid place name and record offset.

    >>> [is_valid(EvacuationReport(name, True, 3))
    ...  for name in ("hall-1", "", "h" * 201, "not\ufffdutf-8")]
    [True, False, False, False]
    """
    data = report.place.encode("utf-8", "replace")
    is_text = data.decode() == report.place and "\ufffd" not in report.place
    is_name = is_text and 0 < len(data) <= MAX_NAME_BYTES
    return is_name and is_offset(report.offset)


def is_offset(offset: int) -> bool:
    """Return whether a number is in the range of record offsets."""
    return 0 <= offset <= MAX_OFFSET


def is_newer(report: EvacuationReport, known: EvacuationReport) -> bool:
    """Return whether a report supersedes the known report on its place.

    A withdrawal that was inferred from a missing key has the offset before the
    end of the read, which may equal the offset of the evacuation record.

    >>> request = EvacuationReport("hall-1", True, 7)
    >>> is_newer(request, request)
    False
    >>> is_newer(EvacuationReport("hall-1", False, 7), request)
    True
    """
    if report.position == known.position:
        return known.is_active and not report.is_active
    return report.position > known.position


def may_be_restored(
    evacuation: EvacuationReport, withdrawal: EvacuationReport
) -> bool:
    """Return whether an evacuation may be a copy from before a withdrawal.

    >>> withdrawal = EvacuationReport("hall-1", False, 9, era=1)
    >>> [may_be_restored(EvacuationReport("hall-1", True, offset, era=2),
    ...                  withdrawal) for offset in (7, 12)]
    [True, False]
    """
    return (
        evacuation.is_active
        and not withdrawal.is_active
        and evacuation.era > withdrawal.era
        and evacuation.offset <= withdrawal.offset
    )


class StoredReport(NamedTuple):
    """The current report on a place and the time at which it was received.

    is_copied is set if it comes from a read of all keys of the store.
    """

    report: EvacuationReport
    received_s: float
    is_copied: bool = False

    def age_s(self, now_s: float) -> float:
        """Return the time since the report was received."""
        return now_s - self.received_s


class Evacuations:
    """Hold the newest report on each place.

    replicas returns, by place, the number of replicas that accept requests or
    would if the place were not evacuated.
    """

    def __init__(
        self,
        replicas: Callable[[], Mapping[str, int]] = dict,
        store_era: StoreEra | None = None,
    ) -> None:
        self.replicas = replicas
        self.store_era = store_era or StoreEra()
        self.known: dict[str, StoredReport] = {}
        self.places: frozenset[str] = frozenset()
        # The store has been read up to this position.
        self.read_position = LogPosition(FIRST_ERA, 0)
        # Set if an evacuation is in force that the last read of the store did
        # not contain: only another read of all keys can tell which is out of
        # date.
        self.needs_full_read = False
        # Called with the evacuated places, and when peers are to be updated.
        self.on_change: Callable[[frozenset[str]], None] = lambda places: None
        self.on_update: Callable[[], None] = lambda: None
        # Called when a peer's report requires another read of all keys.
        self.on_full_read_needed: Callable[[], None] = lambda: None

    def apply_store_reports(
        self,
        updates: Iterable[EvacuationReport],
        end_offset: int,
        *,
        is_all: bool,
        era: int = FIRST_ERA,
    ) -> None:
        """Apply reports read from the store up to an offset."""
        reports = list(updates)
        if is_all:
            self.needs_full_read = False
        for each in reports:
            if is_all and self.is_restored(each):
                self.needs_full_read = True
            else:
                self.apply_report(each, STORE, is_copied=is_all)
        if not is_offset(end_offset):
            return
        if era > self.read_position.era:
            events.info(
                "evacuations.reread",
                era=era,
                listed=len(reports),
                known=len(self.places),
                is_doubtful=self.needs_full_read,
            )
        if is_all:
            listed = {each.place for each in reports if each.is_active}
            self.withdraw_unlisted(listed, LogPosition(era, end_offset))
        self.read_position = max(
            self.read_position, LogPosition(era, end_offset)
        )

    def withdraw_unlisted(self, listed: set[str], end: LogPosition) -> None:
        """Withdraw evacuations that a read of all keys did not contain."""
        for place in self.places - listed:
            report = self.known[place].report
            is_lost = report.era < end.era and self.store_era.is_settling()
            if report.position < end and not is_lost:
                withdrawal = EvacuationReport(
                    place, False, end.offset - 1, era=end.era
                )
                self.apply_report(withdrawal, STORE)
            else:
                # Written after that read, or lost when the store was rolled
                # back.
                self.needs_full_read = True

    def is_restored(self, evacuation: EvacuationReport) -> bool:
        """Tell whether the store's copy may hold a withdrawn evacuation."""
        known = self.known.get(evacuation.place)
        return (
            known is not None
            and self.store_era.is_settling()
            and may_be_restored(evacuation, known.report)
        )

    def apply_peer_reports(
        self, sender_id: str, reports: Sequence[EvacuationReport]
    ) -> None:
        """Apply a peer's reports."""
        for each in reports:
            self.store_era.observe(each.era, sender_id)
            is_applied = self.apply_report(each, sender_id)
            if (
                is_applied
                and each.is_active
                and each.position < self.read_position
            ):
                self.needs_full_read = True
                self.on_full_read_needed()

    def apply_report(
        self,
        report: EvacuationReport,
        source: str,
        *,
        is_copied: bool = False,
    ) -> bool:
        """Apply a report if it is valid and newer; return whether it was."""
        if not is_valid(report):
            events.warning(
                "evacuation.malformed",
                place=report.place[:MAX_NAME_BYTES],
                offset=report.offset,
                source=source,
            )
            return False
        known = self.known.get(report.place)
        if known is not None and not is_newer(report, known.report):
            return False
        if report.is_active:
            is_kept = self.has_room(report)
            received_s = clock.now_s()
        else:
            # Peers do not advertise older withdrawals.
            is_kept = report.age_ms < ADVERTISE_S * MS_PER_S
            received_s = clock.now_s() - report.age_ms / MS_PER_S
        if not is_kept:
            return False
        self.known[report.place] = StoredReport(
            report._replace(age_ms=0), received_s, is_copied
        )
        self.apply_change(report, source)
        self.drop_expired()
        self.on_update()
        return True

    def has_room(self, report: EvacuationReport) -> bool:
        """Return whether another evacuation fits within MAX_ACTIVE."""
        if report.place in self.places or len(self.places) < MAX_ACTIVE:
            return True
        events.error(
            "evacuation.dropped", place=report.place, places=MAX_ACTIVE
        )
        return False

    def apply_change(self, report: EvacuationReport, source: str) -> None:
        """Apply a report to the set of evacuated places and log any change."""
        if report.is_active is (report.place in self.places):
            return
        place = frozenset([report.place])
        self.places = (
            self.places | place if report.is_active else self.places - place
        )
        self.on_change(self.places)
        replicas = self.replicas()
        replicas_elsewhere = sum(
            n for each, n in replicas.items() if each not in self.places
        )
        is_suspicious = report.is_active and bool(replicas)
        is_suspicious = is_suspicious and not (
            replicas.get(report.place) and replicas_elsewhere
        )
        log = events.warning if is_suspicious else events.info
        log(
            "evacuation.changed",
            place=report.place,
            is_active=report.is_active,
            offset=report.offset,
            era=report.era,
            source=source,
            replicas=replicas.get(report.place, 0),
            replicas_elsewhere=replicas_elsewhere,
        )

    def drop_expired(self) -> None:
        """Drop expired withdrawals and the oldest above MAX_WITHDRAWN."""
        now_s = clock.now_s()
        withdrawn = [
            each for each in self.known.values() if not each.report.is_active
        ]
        withdrawn.sort(key=lambda each: each.received_s, reverse=True)
        for number, each in enumerate(withdrawn):
            if number >= MAX_WITHDRAWN or each.age_s(now_s) >= RETENTION_S:
                del self.known[each.report.place]

    def advertised_reports(self) -> tuple[EvacuationReport, ...]:
        """List the reports for peers, evacuations first, then by offset."""
        if not self.known:
            return ()
        self.drop_expired()
        now_s = clock.now_s()
        is_settling = self.store_era.is_settling()
        reports = [
            each.report._replace(age_ms=int(each.age_s(now_s) * MS_PER_S))
            if not each.report.is_active
            else each.report
            for each in self.known.values()
            if (each.report.is_active or each.age_s(now_s) < ADVERTISE_S)
            and not (each.is_copied and is_settling)
        ]
        reports.sort(
            key=lambda each: (each.is_active, each.position), reverse=True
        )
        return tuple(reports[:MAX_ADVERTISED])
