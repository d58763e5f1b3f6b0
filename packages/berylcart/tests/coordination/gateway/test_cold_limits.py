"""Simulate many daemons, connected or partitioned, with cold replicas."""

import random
from math import inf

import pytest
from berylcart import clock
from berylcart.coordination.gateway.cold_sender_shares import (
    ARRIVAL_WINDOW_S,
    ColdBounds,
    cold_sender_share,
    sole_sender_share,
)
from berylcart.coordination.gateway.request_limits import (
    NEVER_ANNOUNCED_AGE_MS,
    RequestLimits,
)
from berylcart.coordination.gateway.seen_members import SETTLE_S
from berylcart.state.peer_messages import LimitReport
from berylcart.state.relay_messages import ReplicaNotice

from ..gateway_fakes import (
    BOOKING,
    SERVICE,
    make_keeper,
    make_policy,
    make_vm,
)
from ..serving_fakes import run
from .test_request_limits import ANSWER_S, SPREAD_S, STEP_S, Fleet, Sent

COLD_PER_S = 5.9
ALLOWED = 1.5 * COLD_PER_S + 5
# An entry reaches the daemons within one poll of the store.
ENTRY_S = 0.6
CONNECT_S = 0.4
SIZES = [7, 65, 300]


class ColdFleet(Fleet):
    """Send requests to replicas whose entries mark them as cold."""

    def __init__(self, size, monkeypatch):
        super().__init__(size, 0.0, max(150.0, 5.0 * size))
        self.monkeypatch = monkeypatch
        self.arrived = {"v1": [], "v2": []}
        self.known = set()
        self.entries = {}
        self.groups = [set(self.names)]
        self.frozen = set()
        self.pass_time(0.1)
        for daemon in self.daemons:
            daemon.update_members()
        self.pass_time(SETTLE_S)

    def make_daemon(self, name):
        """Build one daemon."""
        limits = super().make_daemon(name)
        limits.cold_per_s = lambda service: COLD_PER_S
        limits.expects_others = lambda: len(self.names) > 1
        limits.on_update = lambda update: self.tell(name, update)
        return limits

    def tell(self, sender, update):
        """Deliver an update to the daemons that a sender can reach."""
        sent_s = self.now_s
        group = next(each for each in self.groups if sender in each)
        for number, name in enumerate(self.names):
            if name not in group:
                continue

            def apply_peer_update(number=number):
                passed_ms = int((self.now_s - sent_s) * 1000)
                aged = update._replace(
                    age_ms=update.age_ms + passed_ms,
                    cold_ms=max(0, update.cold_ms - passed_ms),
                )
                self.daemons[number].apply_peer_update(aged)

            self.after(self.random.uniform(0.05, SPREAD_S), apply_peer_update)

    def partition(self, count):
        """Partition the network into groups that cannot reach one another."""
        self.groups = [set(self.names[n::count]) for n in range(count)]
        for group in self.groups:
            for name in group:
                self.views[name] = sorted(group)
                self.daemons[self.names.index(name)].update_members()

    def restart(self, number):
        """Restart a daemon without any state."""
        name = self.names[number]
        self.daemons[number] = self.make_daemon(name)
        self.daemons[number].update_members()
        self.known = {each for each in self.known if each[0] != number}
        for vm_id, cold_ms in self.entries.items():
            self.read_entry(number, vm_id, cold_ms, is_fresh=False)

    def read_entry(self, number, vm_id, cold_ms, *, is_fresh=True):
        """Schedule the read of a replica's entry by one daemon."""
        daemon = self.daemons[number]

        def read():
            daemon.record_cold(
                make_vm(vm_id), cold_ms, "entry", is_fresh=is_fresh
            )
            if self.daemons[number] is daemon:
                self.known.add((number, vm_id))

        self.after(self.random.uniform(0, ENTRY_S), read)

    def write_entry(self, vm_id, cold_ms=60_000):
        """Schedule the read of a replica's entry by all daemons."""
        self.entries[vm_id] = cold_ms
        for number in range(len(self.names)):
            self.read_entry(number, vm_id, cold_ms)

    def send(self, number):
        """Send a request to each replica that the daemon may send to."""
        if number in self.frozen:
            return
        for vm_id in self.arrived:
            if (number, vm_id) in self.known:
                self.send_to(number, make_vm(vm_id))

    def send_to(self, number, vm):
        """Send one request, which may be delayed by CONNECT_S."""
        daemon = self.daemons[number]
        if not daemon.allows(vm):
            return
        daemon.consume(vm)
        self.sent.append(Sent(self.now_s, number, inf))
        at_s = self.now_s + self.random.choice([0.0, CONNECT_S])
        self.arrived[vm.vm_id].append(at_s)
        per_s = self.per_s
        self.after(ANSWER_S, lambda: daemon.apply_response_limit(vm, per_s))

    def pass_time(self, length_s):
        """Advance the simulation."""
        self.play(length_s, self.monkeypatch)

    def most_in(self, window_s, vm_id="v1", start_s=0.0):
        """Return the largest number of arrivals in any window."""
        times = sorted(at_s for at_s in self.arrived[vm_id] if at_s >= start_s)
        return max(
            (
                sum(at_s <= each < at_s + window_s for each in times)
                for at_s in times
            ),
            default=0,
        )


@pytest.fixture(params=SIZES)
def fleet(request, monkeypatch):
    """Build a fleet of each size whose daemons all know one another."""
    return ColdFleet(request.param, monkeypatch)


def test_cold_replica_gets_a_bounded_nonzero_rate(fleet):
    fleet.write_entry("v1")
    fleet.pass_time(15)
    assert fleet.most_in(1.0) <= ALLOWED
    # Two senders together use half of the replica's rate.
    assert len(fleet.arrived["v1"]) >= 20


def test_two_cold_replicas_are_bounded_independently(fleet):
    fleet.write_entry("v1")
    fleet.write_entry("v2")
    fleet.pass_time(10)
    for vm_id in ("v1", "v2"):
        assert 0 < fleet.most_in(1.0, vm_id) <= ALLOWED


def test_restarted_sides_of_a_partition_stay_within_the_bound(fleet):
    """Worst case of the analysis: each side chooses its own senders."""
    fleet.partition(2)
    fleet.write_entry("v1")
    for number in range(len(fleet.names)):
        fleet.restart(number)
    fleet.pass_time(SETTLE_S + 15)
    assert 0 < fleet.most_in(1.0) <= ALLOWED


def test_many_partitions_of_known_daemons_stay_within_the_bound(fleet):
    """Guards against each side choosing senders among visible daemons."""
    fleet.partition(max(3, len(fleet.names) // 4))
    fleet.write_entry("v1")
    fleet.pass_time(10)
    assert 0 < fleet.most_in(1.0) <= ALLOWED


def test_fully_isolated_daemons_stay_within_the_bound(fleet):
    """Guards against an isolated daemon using the unreachable ones' share."""
    fleet.partition(len(fleet.names))
    fleet.write_entry("v1")
    fleet.pass_time(10)
    assert 0 < fleet.most_in(1.0) <= ALLOWED


def test_isolated_restarted_daemons_send_nothing(fleet):
    """Without a view of the others, no daemon knows what they send."""
    fleet.partition(len(fleet.names))
    fleet.write_entry("v1")
    fleet.pass_time(0.02)
    for number in range(len(fleet.names)):
        fleet.restart(number)
    fleet.pass_time(SETTLE_S + 5)
    assert fleet.most_in(1.0, start_s=fleet.now_s - 5) == 0


def test_rolling_restarts_stay_within_the_bound(fleet):
    """Guards against a token bucket that is full after a restart."""
    fleet.write_entry("v1")
    for _ in range(40):
        fleet.pass_time(0.25)
        fleet.restart(fleet.random.randrange(len(fleet.names)))
    assert fleet.most_in(1.0) <= ALLOWED


def test_simultaneously_started_daemons_wait_for_discovery(fleet):
    """Guards against a daemon that assumes only itself and its seed exist."""
    fleet.write_entry("v1")
    fleet.pass_time(0.1)
    for number, name in enumerate(fleet.names):
        fleet.views[name] = [name, fleet.names[number - 1]]
        fleet.restart(number)
    fleet.pass_time(3)
    for name in fleet.names:
        fleet.views[name] = list(fleet.names)
    fleet.pass_time(10)
    assert 0 < fleet.most_in(1.0) <= ALLOWED


def test_resumed_daemons_send_no_burst(fleet):
    fleet.write_entry("v1")
    fleet.pass_time(3)
    fleet.frozen = set(range(len(fleet.names)))
    fleet.pass_time(6)
    fleet.frozen = set()
    for number in list(range(len(fleet.names))) * 5:
        fleet.send(number)
    fleet.pass_time(3)
    assert fleet.most_in(1.0) <= ALLOWED


def test_smaller_of_announced_and_cold_limit_applies(fleet):
    fleet.per_s = 2.0
    fleet.write_entry("v1")
    fleet.pass_time(15)
    assert 0 < fleet.most_in(4.0) <= 1.5 * 2.0 * 4 + 5
    assert len(fleet.arrived["v1"]) <= 2.0 * 15


def test_replica_that_becomes_cold_again_is_limited_by_all(fleet):
    """Only one response says so; the update must reach the other daemons."""
    fleet.write_entry("v1", cold_ms=1)
    fleet.pass_time(1)
    assert fleet.most_in(1.0) > ALLOWED
    fleet.daemons[0].record_cold(make_vm("v1"), 60_000, "answer")
    fleet.pass_time(10)
    start_s = fleet.now_s - 10 + SPREAD_S + CONNECT_S + STEP_S
    assert 0 < fleet.most_in(1.0, start_s=start_s) <= ALLOWED


def test_cold_limit_expires(fleet):
    fleet.write_entry("v1", cold_ms=3000)
    fleet.pass_time(3000 / 1000 + ENTRY_S + STEP_S)
    assert all(each.allows(make_vm("v1")) for each in fleet.daemons)


@pytest.mark.parametrize("per_s", [0.2, 1.0, 5.9, 40.0, 300.0])
@pytest.mark.parametrize(
    "bounds", [ColdBounds(), ColdBounds(1.0, 1.0), ColdBounds(1.2, 20.0)]
)
def test_two_partitions_together_stay_within_any_bound(per_s, bounds):
    """Each side's bursts and sustained rate use at most half the bound."""
    allowed = bounds.overshoot * per_s + bounds.slack
    for share in (
        cold_sender_share(per_s, bounds),
        sole_sender_share(per_s, bounds),
    ):
        most = share.senders * (
            share.most + ARRIVAL_WINDOW_S * share.rate_per_s
        )
        assert 2 * most <= allowed + 1e-9


def make_limits(monkeypatch, names=("d1", "d2", "d3")):
    """Build one daemon's limits after discovery, its clock and its view."""
    time = [0.0]
    monkeypatch.setattr(clock, "now_s", lambda: time[0])
    views = [list(names)]
    limits = RequestLimits("d1", lambda: views[0], random.Random(1))
    limits.cold_per_s = lambda service: COLD_PER_S
    limits.update_members()
    time[0] = SETTLE_S
    return limits, time, views


def test_stale_entry_is_not_sent_to_peers(monkeypatch):
    """Guards against a new daemon marking replicas cold for all others."""
    limits, _, _ = make_limits(monkeypatch)
    updates = []
    limits.on_update = updates.append
    limits.record_cold(make_vm("v1"), 3000, "entry", is_fresh=False)
    assert limits.is_cold(make_vm("v1"))
    assert not updates


def test_earlier_end_does_not_shorten_a_cold_period(
    monkeypatch,
):
    limits, time, _ = make_limits(monkeypatch)
    vm = make_vm("v1")
    limits.record_cold(vm, 3000, "entry")
    limits.record_cold(vm, 1000, "answer")
    limits.record_cold(vm, 0, "answer")
    time[0] += 2.9
    assert limits.is_cold(vm)
    assert limits.count_cold() == 1
    time[0] += 0.1
    assert not limits.is_cold(vm)
    assert limits.tokens(vm) == inf


def test_service_without_a_cold_rate_has_no_cold_replicas(monkeypatch):
    limits, _, _ = make_limits(monkeypatch)
    limits.cold_per_s = lambda service: 0.0
    limits.record_cold(make_vm("v1"), 3000, "entry")
    assert limits.tokens(make_vm("v1")) == inf


def test_restarted_replica_is_not_cold(monkeypatch):
    limits, _, _ = make_limits(monkeypatch)
    vm = make_vm("v1")
    limits.record_cold(vm, 3000, "entry")
    again = vm._replace(incarnation=2)
    assert not limits.is_cold(again)
    limits.retain([again])
    assert not limits.cold_ends_s


def test_home_daemon_in_a_minority_sends_no_pieces_to_cold_replicas(
    monkeypatch,
):
    """Each side of a partition has its own home daemon for a service."""
    limits, time, views = make_limits(monkeypatch)
    vm = make_vm("v1")
    limits.record_cold(vm, 60_000, "entry")
    assert limits.tokens(vm, is_only_sender=True) == 0
    time[0] += 1
    assert limits.tokens(vm, is_only_sender=True) >= 1
    views[0] = ["d1"]
    time[0] += 5
    assert limits.tokens(vm, is_only_sender=True) == 0


def test_cold_update_is_compatible_with_older_daemons(monkeypatch):
    """Older daemons read only per_s and would treat 0 as the limit's end."""
    limits, _, _ = make_limits(monkeypatch)
    updates = []
    limits.on_update = updates.append
    vm = make_vm("v1")
    limits.record_cold(vm, 3000, "entry")
    limits.record_cold(vm, 3100, "answer")
    limits.apply_response_limit(vm, 2.0)
    assert updates == [
        LimitReport("v1", 1, 0.0, NEVER_ANNOUNCED_AGE_MS, 3000),
        LimitReport("v1", 1, 2.0, 0, 3100),
    ]
    other, _, _ = make_limits(monkeypatch)
    other.apply_response_limit(vm, 4.0)
    other.apply_peer_update(updates[0])
    assert other.limit_of(vm).per_s == 4.0
    assert other.is_cold(vm)


def test_cold_replica_is_skipped_while_a_warm_one_has_capacity_left():
    async def check():
        policy = make_policy(make_keeper(BOOKING), ("v1", "v2"))
        cold, warm = make_vm("v1"), make_vm("v2")
        policy.limits.cold_per_s = lambda service: COLD_PER_S
        policy.apply_notice(cold, ReplicaNotice(cold_ms=30_000))
        policy.limits.update_members()
        assert not policy.accepts_now(cold, SERVICE, None)

        def chosen(tried=frozenset()):
            return {
                policy.choose(SERVICE, "", tried, None).vm_id
                for _ in range(30)
            }

        assert chosen() == {"v2"}
        policy.limits.seen.started_s -= SETTLE_S
        assert not policy.limits.allows(cold)
        policy.limits.buckets["v1", 1].level = 1.0
        assert chosen() == {"v2"}
        assert chosen({"v2"}) == {"v1"}
        for _ in range(policy.load_table.capacity(warm)):
            policy.load_table.started(warm)
        assert "v1" in chosen()

    run(check)


def test_no_request_is_placed_on_a_cold_or_limited_replica():
    """Most daemons may not send there and would have to choose again."""

    async def check():
        policy = make_policy(make_keeper(BOOKING), ("v1", "v2", "v3"))
        policy.limits.cold_per_s = lambda service: COLD_PER_S
        policy.apply_notice(make_vm("v1"), ReplicaNotice(cold_ms=30_000))
        policy.apply_notice(make_vm("v2"), ReplicaNotice(limit_per_s=2.0))
        names = [vm.vm_id for vm in policy.unlimited_replicas(SERVICE)]
        assert names == ["v3"]
        policy.apply_notice(make_vm("v3"), ReplicaNotice(limit_per_s=2.0))
        assert len(policy.unlimited_replicas(SERVICE)) == 3

    run(check)
