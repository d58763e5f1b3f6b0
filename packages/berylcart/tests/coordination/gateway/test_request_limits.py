"""Simulate many daemons with replicas that announce a rate limit."""

import random
from heapq import heappop, heappush
from typing import NamedTuple

import pytest
from berylcart import clock
from berylcart.coordination.gateway.request_limits import (
    BURST_S,
    LIMIT_TTL_S,
    RequestLimits,
    choose_senders,
)
from berylcart.state.peer_messages import LimitReport

from ..gateway_fakes import make_vm
from ..serving_fakes import run

STEP_S = 0.02
ANSWER_S = 0.06
# The users' requirement: in any 4 s at most 1.5 times the limit plus 5.
WINDOW_S = 4.0
SLACK = 5
# It counts only requests of daemons that received a response with the limit at
# least KNOWN_GRACE_S before, and only from GOSSIP_GRACE_S after the first such
# response.
KNOWN_GRACE_S = 0.5
GOSSIP_GRACE_S = 3.0
# An update reaches the last of hundreds of daemons within this time.
SPREAD_S = 2.0


class Sent(NamedTuple):
    """A request received by a replica."""

    at_s: float
    daemon: int
    limit_known_s: float


class Fleet:
    """Send from many daemons to one replica, each at the same rate."""

    def __init__(self, size, per_s, demand_per_s, seed=1):
        self.random = random.Random(seed)
        self.vm = make_vm("v1")
        self.per_s = per_s
        self.demand_per_s = demand_per_s
        self.names = [f"d{number}" for number in range(size)]
        self.views = {name: list(self.names) for name in self.names}
        self.daemons = [self.make_daemon(name) for name in self.names]
        self.limit_known_s = {}
        self.sent = []
        self.events = []
        self.now_s = 0.0
        self.first_announced_s = None

    def make_daemon(self, name):
        """Build one daemon, whose updates reach the others with a delay."""
        limits = RequestLimits(
            name, lambda: self.views[name], random.Random(name)
        )
        limits.on_update = self.spread
        return limits

    def after(self, delay_s, action):
        """Schedule an action."""
        key = (self.now_s + delay_s, len(self.events), self.random.random())
        heappush(self.events, (key, action))

    def spread(self, update):
        """Deliver an update to every daemon within SPREAD_S."""
        sent_s = self.now_s
        for daemon in self.daemons:
            delay_s = self.random.uniform(0.05, SPREAD_S)

            def tell(daemon=daemon, delay_s=delay_s):
                age_ms = update.age_ms + int((self.now_s - sent_s) * 1000)
                daemon.apply_peer_update(update._replace(age_ms=age_ms))

            self.after(delay_s, tell)

    def send(self, number):
        """Send one request if the daemon may, and schedule its response."""
        daemon = self.daemons[number]
        if not daemon.allows(self.vm):
            return
        daemon.consume(self.vm)
        limit_known_s = self.limit_known_s.get(number, float("inf"))
        self.sent.append(Sent(self.now_s, number, limit_known_s))
        per_s = self.per_s

        def answer():
            daemon.apply_response_limit(self.vm, per_s)
            if per_s:
                self.limit_known_s.setdefault(number, self.now_s)
                self.first_announced_s = self.first_announced_s or self.now_s

        self.after(ANSWER_S, answer)

    def play(self, length_s, monkeypatch):
        """Advance the simulation; monkeypatch replaces the clock."""
        monkeypatch.setattr(clock, "now_s", lambda: self.now_s)
        share = self.demand_per_s * STEP_S / len(self.daemons)
        end_s = self.now_s + length_s
        while self.now_s < end_s:
            self.now_s += STEP_S
            while self.events and self.events[0][0][0] <= self.now_s:
                heappop(self.events)[1]()
            for number in range(len(self.daemons)):
                if self.random.random() < share:
                    self.send(number)

    def worst_excess(self, per_s):
        """Return by how much the worst window exceeds the requirement."""
        start_s = self.first_announced_s + GOSSIP_GRACE_S
        times = [
            sent.at_s
            for sent in self.sent
            if sent.at_s >= start_s
            and sent.limit_known_s <= sent.at_s - KNOWN_GRACE_S
        ]
        allowed = 1.5 * per_s * WINDOW_S + SLACK
        counts = [
            sum(at_s <= each < at_s + WINDOW_S for each in times)
            for at_s in times
        ]
        return max(counts, default=0) - allowed


@pytest.mark.parametrize("size", [7, 87, 300])
@pytest.mark.parametrize("per_s", [0.4, 3.0, 40.0])
def test_all_daemons_together_keep_within_a_limit(size, per_s, monkeypatch):
    fleet = Fleet(size, per_s, demand_per_s=120.0)
    fleet.play(25, monkeypatch)
    assert fleet.worst_excess(per_s) <= 0
    late = [sent for sent in fleet.sent if sent.at_s > 15]
    assert len(late) >= 0.25 * per_s * 10 or per_s < 1


@pytest.mark.parametrize("size", [7, 87])
def test_limit_holds_while_senders_leave_and_views_differ(size, monkeypatch):
    fleet = Fleet(size, 6.0, demand_per_s=120.0)
    fleet.play(8, monkeypatch)
    for name in choose_senders("v1", 6.0, fleet.names)[:2]:
        for other in fleet.names:
            delay_s = fleet.random.uniform(0, SPREAD_S)
            view = [e for e in fleet.views[other] if e != name]
            fleet.views[other] = view if other != name else fleet.views[other]
            fleet.play(delay_s / len(fleet.names), monkeypatch)
    fleet.play(8, monkeypatch)
    assert fleet.worst_excess(6.0) <= 0


def test_reduced_limit_is_enforced_by_all(monkeypatch):
    fleet = Fleet(87, 20.0, demand_per_s=120.0)
    fleet.play(10, monkeypatch)
    fleet.per_s = 4.0
    fleet.first_announced_s = fleet.now_s
    fleet.play(15, monkeypatch)
    assert fleet.worst_excess(4.0) <= 0


def test_ended_limit_is_no_longer_enforced(monkeypatch):
    fleet = Fleet(87, 3.0, demand_per_s=60.0)
    fleet.play(10, monkeypatch)
    fleet.per_s = 0.0
    fleet.play(6, monkeypatch)
    assert all(daemon.allows(fleet.vm) for daemon in fleet.daemons)


def test_limits_without_updates_expire_at_different_times(monkeypatch):
    fleet = Fleet(40, 3.0, demand_per_s=60.0)
    fleet.play(6, monkeypatch)
    fleet.demand_per_s = 0.0
    fleet.play(0.8 * LIMIT_TTL_S, monkeypatch)
    held = [each.limit_of(fleet.vm) is not None for each in fleet.daemons]
    assert all(held)
    fleet.play(0.7 * LIMIT_TTL_S, monkeypatch)
    held = [each.limit_of(fleet.vm) is not None for each in fleet.daemons]
    assert 0 < sum(held) < len(held)
    fleet.demand_per_s = 60.0
    fleet.play(10, monkeypatch)
    assert fleet.worst_excess(3.0) <= 0


def test_limits_are_tracked_per_replica():
    async def check():
        limits = RequestLimits("d1", lambda: ["d1"], random.Random(1))
        first, second, third = (make_vm(f"v{n}") for n in range(3))
        limits.apply_response_limit(first, 2.0)
        limits.apply_response_limit(second, 0.5)
        assert limits.usable([first, second, third]) == [third]
        limits.apply_response_limit(first, 0.0)
        assert limits.usable([first, second, third]) == [first, third]
        limits.apply_response_limit(second, None)
        assert not limits.allows(second)
        limits.retain([first])
        assert limits.allows(second)

    run(check)


def test_restarted_replica_has_no_limit():
    async def check():
        limits = RequestLimits("d1", lambda: ["d1"], random.Random(1))
        vm = make_vm("v1")
        limits.apply_response_limit(vm, 2.0)
        again = vm._replace(incarnation=vm.incarnation + 1)
        assert not limits.allows(vm)
        assert limits.allows(again)

    run(check)


def test_older_update_is_ignored(monkeypatch):
    now_s = 100.0
    monkeypatch.setattr(clock, "now_s", lambda: now_s)
    limits = RequestLimits("d1", lambda: ["d1"], random.Random(1))
    vm = make_vm("v1")
    limits.apply_response_limit(vm, 2.0)
    limits.apply_peer_update(
        LimitReport(vm.vm_id, vm.incarnation, 9.0, age_ms=500)
    )
    assert limits.limit_of(vm).per_s == 2.0
    limits.apply_peer_update(
        LimitReport(vm.vm_id, vm.incarnation, 9.0, age_ms=0)
    )
    assert limits.limit_of(vm).per_s == 2.0


def test_suspended_daemon_sends_no_burst(monkeypatch):
    now_s = 0.0
    monkeypatch.setattr(clock, "now_s", lambda: now_s)
    limits = RequestLimits("d1", lambda: ["d1"], random.Random(1))
    vm = make_vm("v1")
    limits.apply_response_limit(vm, 5.0)
    assert limits.tokens(vm) == 0
    now_s = 20.0
    assert limits.tokens(vm) <= 5.0 * BURST_S
