"""Test that daemons agree on evacuated places under failures."""

import anyio
import pytest
from berylcart.coordination.gateway.evacuations import (
    MAX_ADVERTISED,
    MAX_WITHDRAWN,
    RETENTION_S,
    Evacuations,
)
from berylcart.coordination.policy.vm_directory import VmDirectory
from berylcart.state.peer_messages import EvacuationReport
from berylcart.state.vm import VmListSnapshot
from hypothesis import given, settings
from hypothesis import strategies as st

from ..gateway_fakes import make_vm
from ..serving_fakes import run

PLACES = ("hall-1", "hall-2", "hall-3")
VMS = tuple(
    make_vm(f"v{number}")._replace(place=place)
    for number, place in enumerate(PLACES)
)


def active(place, offset):
    return EvacuationReport(place, True, offset)


def withdrawn(place, offset):
    return EvacuationReport(place, False, offset)


class Store:
    """A log whose oldest records may be dropped."""

    def __init__(self):
        self.log = []
        self.first = 0

    def write(self, place, is_active):
        """Append a record."""
        self.log.append(EvacuationReport(place, is_active, len(self.log)))

    def newest(self):
        """Return the newest record of each key that has a value."""
        by_place = {report.place: report for report in self.log}
        return [by_place[p] for p in sorted(by_place) if by_place[p].is_active]

    def places(self):
        """Return the evacuated places."""
        return {report.place for report in self.newest()}


class Daemon:
    """Follow the store and the peers as a daemon does."""

    def __init__(self, store):
        self.store = store
        self.directory = VmDirectory(None)
        self.directory.apply(VmListSnapshot(0, VMS))
        self.evacuations = Evacuations(self.directory.count_by_place)
        self.evacuations.on_change = self.directory.exclude
        self.cursor = None
        self.begun = None

    def read(self):
        """Read the store once: all keys if required, else the new records."""
        is_gap = self.cursor is not None and self.cursor < self.store.first
        if self.cursor is None or is_gap or self.evacuations.needs_full_read:
            self.begin_all()
            self.finish_all()
            return
        end = len(self.store.log)
        reports = self.store.log[self.cursor : end]
        self.evacuations.apply_store_reports(reports, end, is_all=False)
        self.cursor = end

    def begin_all(self):
        """Read the first page of all keys."""
        self.begun = self.store.newest()[:1], len(self.store.log)

    def finish_all(self):
        """Read the remaining pages, possibly after further changes."""
        if self.begun is None:
            return
        page, end = self.begun
        self.begun = None
        after = page[-1].place if page else ""
        rest = [each for each in self.store.newest() if each.place > after]
        self.evacuations.apply_store_reports([*page, *rest], end, is_all=True)
        self.cursor = end

    def swap(self, peer):
        """Exchange gossip with a peer."""
        peer.evacuations.apply_peer_reports(
            "d1", self.evacuations.advertised_reports()
        )
        self.evacuations.apply_peer_reports(
            "d2", peer.evacuations.advertised_reports()
        )

    def pool_places(self):
        """Return the places whose replicas receive requests."""
        return {vm.place for vm in self.directory.pool("model")}


class Cluster:
    """Apply events to daemons; every third one cannot reach the store."""

    def __init__(self, size):
        self.store = Store()
        self.daemons = [Daemon(self.store) for _ in range(size)]

    async def play(self, kind, number, other):
        """Apply one event."""
        index = number % len(self.daemons)
        daemon = self.daemons[index]
        place = PLACES[other % len(PLACES)]
        match kind:
            case "request" | "withdraw":
                self.store.write(place, kind == "request")
            case "swap":
                daemon.swap(self.daemons[other % len(self.daemons)])
            case "restart":
                self.daemons[index] = Daemon(self.store)
            case "drop":
                self.store.first = len(self.store.log)
            case "wait":
                await anyio.sleep(RETENTION_S)
            case _ if index % 3:
                getattr(daemon, kind)()

    def settle(self):
        """Let every daemon read, then exchange gossip with its neighbour."""
        for index, daemon in enumerate(self.daemons):
            if index % 3:
                daemon.finish_all()
                daemon.read()
                daemon.read()
        for left, right in zip(
            self.daemons, [*self.daemons[1:], self.daemons[0]], strict=True
        ):
            left.swap(right)


KINDS = (
    "request",
    "withdraw",
    "read",
    "begin_all",
    "finish_all",
    "swap",
    "restart",
    "drop",
    "wait",
)
EVENTS = st.lists(
    st.tuples(
        st.sampled_from(KINDS), st.integers(0, 299), st.integers(0, 299)
    ),
    max_size=60,
)


@pytest.mark.parametrize(("size", "examples"), [(7, 300), (65, 40), (300, 10)])
def test_all_daemons_converge_to_the_store(size, examples):
    """Guards against orders of reports that revert or lose a change."""

    @settings(max_examples=examples, derandomize=True, deadline=None)
    @given(EVENTS)
    def play(events):
        async def check():
            cluster = Cluster(size)
            for event in events:
                await cluster.play(*event)
            for _ in range(4):
                cluster.settle()
            expected = cluster.store.places()
            for daemon in cluster.daemons:
                assert daemon.evacuations.places == expected
                assert daemon.pool_places() == set(PLACES) - expected

        run(check)

    play()


REPORTS = st.builds(
    EvacuationReport, st.sampled_from(PLACES), st.booleans(), st.integers(0, 9)
)


@settings(derandomize=True, deadline=None)
@given(st.lists(REPORTS, max_size=9), st.randoms())
def test_reports_are_commutative_and_idempotent(reports, random):
    async def check():
        held = []
        for _ in range(2):
            evacuations = Evacuations()
            for each in [*reports, *random.sample(reports, len(reports))]:
                evacuations.apply_peer_reports("d2", [each])
            held.append({p: k.report for p, k in evacuations.known.items()})
            random.shuffle(reports)
        assert held[0] == held[1]

    run(check)


def test_missing_key_withdraws_only_offsets_before_the_read():
    """Guards against an outdated replica of the store ending an evacuation."""

    async def check():
        evacuations = Evacuations()
        evacuations.apply_peer_reports("d2", [active("hall-1", 7)])
        evacuations.apply_store_reports([], 7, is_all=True)
        assert evacuations.places == {"hall-1"}
        assert evacuations.needs_full_read
        evacuations.apply_store_reports([], 9, is_all=False)
        assert evacuations.places == {"hall-1"}
        evacuations.apply_store_reports([], 8, is_all=True)
        assert not evacuations.places
        evacuations.apply_peer_reports("d2", [active("hall-1", 7)])
        assert not evacuations.places
        evacuations.apply_peer_reports("d2", [active("hall-1", 8)])
        assert evacuations.places == {"hall-1"}

    run(check)


def test_daemon_without_the_store_learns_withdrawals_from_peers():
    """Guards against an outdated peer restoring a withdrawn evacuation."""

    async def check():
        old, current, fresh = Evacuations(), Evacuations(), Evacuations()
        old.apply_peer_reports("store", [active("hall-1", 4)])
        current.apply_store_reports(
            [active("hall-1", 4), withdrawn("hall-1", 6)], 7, is_all=1
        )
        fresh.apply_peer_reports("current", current.advertised_reports())
        await anyio.sleep(60)
        fresh.apply_peer_reports("old", old.advertised_reports())
        assert not fresh.places
        old.apply_peer_reports("fresh", fresh.advertised_reports())
        assert not old.places

    run(check)


def test_withdrawals_expire_on_all_peers():
    async def check():
        all_known = [Evacuations() for _ in range(7)]
        all_known[0].apply_store_reports(
            [withdrawn("hall-1", 6)], 7, is_all=False
        )
        for number in range(int(2 * RETENTION_S)):
            await anyio.sleep(1)
            sender = all_known[number % 7]
            all_known[(number * 3 + 1) % 7].apply_peer_reports(
                "peer", sender.advertised_reports()
            )
        assert not any(
            each.advertised_reports() or each.known for each in all_known
        )

    run(check)


def test_partitioned_daemon_keeps_its_state():
    async def check():
        cluster = Cluster(3)
        daemon = cluster.daemons[1]
        cluster.store.write("hall-2", True)
        daemon.read()
        await anyio.sleep(10 * RETENTION_S)
        assert daemon.pool_places() == {"hall-1", "hall-3"}
        cluster.store.write("hall-2", False)
        cluster.daemons[2].read()
        # daemons[2] first read the store after the withdrawal, so the outdated
        # report of its peer makes it read all keys again.
        daemon.swap(cluster.daemons[2])
        cluster.daemons[2].read()
        daemon.swap(cluster.daemons[2])
        assert daemon.pool_places() == set(PLACES)

    run(check)


def test_rollback_of_the_store_reverts_nothing():
    async def check():
        evacuations = Evacuations()
        evacuations.apply_store_reports(
            [active("hall-1", 90)], 95, is_all=True
        )
        evacuations.apply_store_reports(
            [active("hall-2", 80)], 81, is_all=True
        )
        assert evacuations.places == {"hall-1", "hall-2"}
        assert evacuations.needs_full_read
        evacuations.apply_store_reports(
            [active("hall-2", 80)], 96, is_all=True
        )
        assert evacuations.places == {"hall-2"}
        assert not evacuations.needs_full_read
        evacuations.apply_store_reports(
            [withdrawn("hall-2", 70)], 97, is_all=True
        )
        assert not evacuations.places

    run(check)


@pytest.mark.parametrize(
    "news",
    [
        active("", 3),
        active("h" * 201, 3),
        active("\ufffd", 3),
        active(chr(0xD800), 3),
        active("hall-9", -1),
        active("hall-9", 2**64),
    ],
)
def test_malformed_report_is_ignored(news):
    """Guards against names that peer messages cannot encode."""

    async def check():
        evacuations = Evacuations()
        evacuations.apply_store_reports(
            [news, active("hall-1", 5)], 6, is_all=True
        )
        evacuations.apply_peer_reports("d2", [news])
        assert evacuations.places == {"hall-1"}
        assert evacuations.advertised_reports() == (active("hall-1", 5),)

    run(check)


def test_repeated_evacuation_is_logged_once(monkeypatch):
    logged = []
    monkeypatch.setattr(
        "berylcart.events.info", lambda *args, **_: logged.append(args)
    )

    async def check():
        daemon = Daemon(Store())
        for offset in (3, 4, 4):
            reports = [active("hall-1", offset)]
            daemon.evacuations.apply_store_reports(
                reports, offset + 1, is_all=False
            )
        assert daemon.evacuations.advertised_reports() == (
            active("hall-1", 4),
        )

    run(check)
    assert logged == [("evacuation.changed",)]


@pytest.mark.parametrize("places", [("hall-9",), PLACES])
def test_evacuating_an_empty_or_the_last_place_logs_a_warning(
    monkeypatch, places
):
    logged = []
    monkeypatch.setattr(
        "berylcart.events.warning", lambda *args, **_: logged.append(args)
    )

    async def check():
        daemon = Daemon(Store())
        reports = [active(place, n) for n, place in enumerate(places)]
        daemon.evacuations.apply_store_reports(reports, 9, is_all=True)
        assert daemon.pool_places() == set(PLACES) - set(places)

    run(check)
    assert logged == [("evacuation.changed",)]


def test_memory_and_messages_are_bounded():
    async def check():
        evacuations = Evacuations()
        count = 2 * MAX_WITHDRAWN
        for number in range(count):
            evacuations.apply_store_reports(
                [withdrawn(f"hall-{number}", number)], number, is_all=False
            )
            await anyio.sleep(0.01)
        assert len(evacuations.known) == MAX_WITHDRAWN
        reports = [active(f"hall-{n}", count + n) for n in range(count)]
        evacuations.apply_store_reports(reports, 2 * count, is_all=True)
        assert len(evacuations.places) == count
        assert len(evacuations.advertised_reports()) == MAX_ADVERTISED
        assert all(each.is_active for each in evacuations.advertised_reports())

    run(check)
