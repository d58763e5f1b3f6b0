"""Simulate the placement of a fleet's requests on engines of unequal speed."""

import random
from heapq import heappop, heappush

import anyio
from berylcart import clock
from berylcart.coordination.gateway.engine_load import (
    MAX_CONSECUTIVE_FAILURES,
    MAX_PARTS,
    MIN_AVOIDANCE_S,
    EngineLoad,
    FleetSlowdown,
)
from berylcart.coordination.gateway.engine_placement import EnginePlacement
from berylcart.coordination.gateway.gateway_policy import PrefixRouter
from berylcart.coordination.policy.ejection import Ejector
from berylcart.coordination.policy.load_table import LoadTable
from berylcart.state.config import Service, ServiceKind
from berylcart.state.peer_messages import AttemptReport, PlacementQuery
from berylcart.state.relay_messages import PromptPart

from ..gateway_fakes import make_vm
from ..serving_fakes import outcome

ENGINES = 45
DAEMONS = 91
PROMPTS = 141
SHARED_TOKENS = 13_300
OWN_TOKENS = 3720
OUTPUT_TOKENS = 120
PREFILL_TOKENS_PER_S = 61_000
# Delay that decoding one request adds to the prefill of the next ones.
DECODE_S = 0.12
SPEEDS = (0.6, 1.0, 1.0, 1.6)
REQUESTS_PER_S = 110
DURATION_S = 12.0
REPORT_DELAY_S = 0.01
# Target of the first token less the time for the stages.
MAX_WAIT_S = 0.8
MODEL = Service("model", ServiceKind.ENGINE, frozenset())


class Engines:
    """Simulate engines that prefill prompts one at a time."""

    def __init__(self):
        self.vms = [make_vm(f"v{number}") for number in range(ENGINES)]
        self.speeds = {
            vm.vm_id: SPEEDS[number % len(SPEEDS)]
            for number, vm in enumerate(self.vms)
        }
        self.free_s = dict.fromkeys(self.speeds, 0.0)
        self.parts = {vm_id: set() for vm_id in self.speeds}
        self.recomputed = 0
        self.prefilled = set()

    def first_token_s(self, vm, part, now_s):
        """Return the time of the first token of a request that arrives now."""
        tokens = OWN_TOKENS
        if part not in self.parts[vm.vm_id]:
            tokens += SHARED_TOKENS
            self.recomputed += part in self.prefilled
            self.parts[vm.vm_id].add(part)
            self.prefilled.add(part)
        start_s = max(now_s, self.free_s[vm.vm_id])
        speed = self.speeds[vm.vm_id] * PREFILL_TOKENS_PER_S
        first_token_s = start_s + tokens / speed
        output_s = DECODE_S / self.speeds[vm.vm_id]
        self.free_s[vm.vm_id] = first_token_s + output_s
        return first_token_s


def simulate_load(engines, choose, note):
    """Send requests at a constant rate and return their waiting times."""
    rng = random.Random(7)
    waits_s = []
    pending_reports = []
    for number in range(int(DURATION_S * REQUESTS_PER_S)):
        now_s = number / REQUESTS_PER_S
        while pending_reports and pending_reports[0][0] <= now_s:
            at_s, _, report = heappop(pending_reports)
            clock.now_s.at_s = at_s
            note(report)
        clock.now_s.at_s = now_s
        part = f"p{rng.randrange(PROMPTS)}"
        vm, name = choose(part, rng.randrange(DAEMONS))
        first_token_s = engines.first_token_s(vm, part, now_s)
        waits_s.append(first_token_s - now_s)
        latency_ms = int(1000 * (first_token_s - now_s))
        report = AttemptReport("model", name, True, latency_ms)
        heappush(
            pending_reports, (first_token_s + REPORT_DELAY_S, number, report)
        )
    return waits_s


class FakeClock:
    """Return the time that a test sets."""

    def __init__(self):
        self.at_s = 0.0

    def __call__(self):
        """Return the time."""
        return self.at_s


def late_share(waits_s):
    """Return the share of late requests, without the first third."""
    counted = waits_s[len(waits_s) // 3 :]
    return sum(each > MAX_WAIT_S for each in counted) / len(counted)


def test_joint_placement_reduces_queueing_at_slow_engines(monkeypatch):
    fake_clock = FakeClock()
    monkeypatch.setattr(clock, "now_s", fake_clock)
    separate = Engines()
    routers = []
    for number in range(DAEMONS):
        table = LoadTable(fake_clock)
        rng = random.Random(number)
        routers.append(PrefixRouter(table, Ejector(fake_clock), rng))
    separate_waits_s = simulate_load(
        separate,
        lambda part, daemon: (
            routers[daemon].choose(separate.vms, service=MODEL, affinity=part),
            0,
        ),
        lambda report: None,
    )
    joint = Engines()
    placement = EnginePlacement("model", lambda: joint.vms, lambda: 597_751)
    vms = {vm.vm_id: vm for vm in joint.vms}

    def place(part, daemon):
        shared = (PromptPart(part, SHARED_TOKENS),)
        placed = placement.place(
            PlacementQuery("model", shared, OWN_TOKENS, OUTPUT_TOKENS, 8000)
        )
        return vms[placed.vm_id], placed.number

    joint_waits_s = simulate_load(joint, place, placement.record_attempt)
    assert late_share(separate_waits_s) > 0.1
    assert late_share(joint_waits_s) < late_share(separate_waits_s) / 2
    # Each shared prompt is still prefilled by few engines only.
    assert joint.recomputed < 2 * PROMPTS


async def place_with_unresponsive_engine():
    vms = [make_vm("v1"), make_vm("v2")]
    placement = EnginePlacement("model", lambda: vms, lambda: 100_000)
    query = PlacementQuery("model", (), 1000, 10, 60_000)
    chosen = []
    for _ in range(20):
        placed = placement.place(query)
        chosen.append(placed.vm_id)
        if placed.vm_id == "v2":
            placement.record_attempt(
                AttemptReport("model", placed.number, True, 40)
            )
    return chosen


def test_engine_without_first_tokens_gets_no_more_requests():
    chosen = outcome(place_with_unresponsive_engine)
    assert chosen.count("v1") <= 3


async def place_with_large_inputs():
    near = make_vm("v1")
    far = make_vm("v2")._replace(place="lahore-2")
    placement = EnginePlacement("model", lambda: [far, near], lambda: 100_000)
    query = PlacementQuery(
        "model", (), 100, 10, 9000, near.place, moved_bytes=3_000_000
    )
    return placement.place(query).vm_id


def test_request_is_placed_near_large_inputs():
    assert outcome(place_with_large_inputs) == "v1"


async def place_without_reports():
    vms = [make_vm("v1")]
    placement = EnginePlacement("model", lambda: vms, lambda: 100_000)
    query = PlacementQuery("model", (), 1000, 10, left_ms=1)
    for _ in range(200):
        placement.place(query)
        await anyio.sleep(0.01)
    return len(placement.sent)


def test_requests_without_reports_expire():
    assert outcome(place_without_reports) < 10


async def place_without_replicas():
    placement = EnginePlacement("model", list, lambda: 100_000)
    placement.record_attempt(AttemptReport("model", 77, True, 10))
    return placement.place(PlacementQuery("model", (), 1, 1, 1000))


def test_empty_pool_and_unknown_report_are_no_error():
    assert outcome(place_without_replicas) is None


def test_restarted_engine_has_an_empty_prefix_cache():
    async def place_after_restart():
        vms = [make_vm("v1")]
        placement = EnginePlacement("model", lambda: vms, lambda: 100_000)
        shared = (PromptPart("a", 5000),)
        query = PlacementQuery("model", shared, 100, 10, 9000)
        placement.place(query)
        assert placement.load(vms[0]).count_uncached(shared) == 0
        vms[0] = vms[0]._replace(incarnation=2)
        assert placement.load(vms[0]).count_uncached(shared) == 5000
        placement.place(query)
        return len(placement.loads)

    assert outcome(place_after_restart) == 1


def test_least_recently_used_parts_are_evicted():
    load = EngineLoad(FleetSlowdown(), kv_tokens=10_000)
    for name in ("a", "b", "c"):
        load.cache_parts((PromptPart(name, 2500),))
    assert load.count_uncached((PromptPart("a", 2500),)) == 2500
    assert load.count_uncached((PromptPart("c", 2500),)) == 0
    # A cached part is usable only after the parts before it.
    chain = (PromptPart("a", 2500), PromptPart("c", 2500))
    assert load.count_uncached(chain) == 5000


def test_slowdown_is_learned_and_decays():
    load = EngineLoad(FleetSlowdown(), kv_tokens=10_000)
    now_s = 0.0
    for number in range(20):
        expected_s = load.expected_s(1000, now_s)
        load.record_sent(number, 1000, 0, now_s=now_s, until_s=now_s + 9)
        load.record_first_token(
            number, 4 * expected_s, now_s=now_s + 4 * expected_s
        )
        now_s += 1.0
    fast_s = EngineLoad(FleetSlowdown(), 1).expected_s(1000, now_s)
    assert load.expected_s(1000, now_s) > 3 * fast_s
    later_s = now_s + 120.0
    assert load.expected_s(1000, later_s) < 3 * fast_s


def test_number_of_parts_without_tokens_is_bounded():
    load = EngineLoad(FleetSlowdown(), kv_tokens=10_000)
    for number in range(MAX_PARTS + 100):
        load.cache_parts((PromptPart(f"p{number}", 0),))
    assert len(load.cached_parts) == MAX_PARTS


def test_running_request_expires_at_its_deadline():
    load = EngineLoad(FleetSlowdown(), kv_tokens=10_000)
    idle_s = load.expected_s(1000, 0.0)
    # A caller may announce any number of output tokens.
    load.record_sent(1, 1000, 10**9, now_s=0.0, until_s=9.0)
    load.record_first_token(1, idle_s, now_s=idle_s)
    load.expire(9.0)
    assert not load.running


async def place_with_failing_engine(pause_s=0.0):
    vms = [make_vm("v1"), make_vm("v2")]
    placement = EnginePlacement("model", lambda: vms, lambda: 100_000)
    query = PlacementQuery("model", (), 1000, 200, 60_000)
    chosen = []
    for number in range(40):
        if number == 20:
            await anyio.sleep(pause_s)
        placed = placement.place(query)
        chosen.append(placed.vm_id)
        # The first engine fails at once, so it never has pending work.
        is_failed = placed.vm_id == "v1"
        placement.record_attempt(
            AttemptReport("model", placed.number, not is_failed, 40, is_failed)
        )
    return chosen


def test_engine_that_fails_fast_does_not_attract_requests():
    chosen = outcome(place_with_failing_engine)
    assert chosen.count("v1") == MAX_CONSECUTIVE_FAILURES


def test_failing_engine_is_retried_after_the_avoidance_time():
    chosen = outcome(lambda: place_with_failing_engine(MIN_AVOIDANCE_S))
    assert chosen.count("v1") == MAX_CONSECUTIVE_FAILURES + 1


async def place_with_all_failing():
    vms = [make_vm("v1"), make_vm("v2")]
    placement = EnginePlacement("model", lambda: vms, lambda: 100_000)
    query = PlacementQuery("model", (), 1000, 10, 60_000)
    chosen = []
    for _ in range(20):
        placed = placement.place(query)
        chosen.append(placed.vm_id)
        report = AttemptReport(
            "model", placed.number, False, 1, is_failed=True
        )
        placement.record_attempt(report)
        await anyio.sleep(0.1)
    return chosen


def test_requests_are_placed_if_all_engines_fail():
    chosen = outcome(place_with_all_failing)
    assert set(chosen[-4:]) == {"v1", "v2"}


async def place_cancelled_requests():
    vms = [make_vm("v1")]
    placement = EnginePlacement("model", lambda: vms, lambda: 100_000)
    query = PlacementQuery("model", (), 1000, 10, 60_000)
    for _ in range(10):
        placed = placement.place(query)
        placement.record_attempt(
            AttemptReport("model", placed.number, False, 1)
        )
    return placement.load(vms[0]).avoided_until_s


def test_cancelled_requests_are_no_failure_of_the_engine():
    assert outcome(place_cancelled_requests) == 0.0


async def place_questions():
    vms = [make_vm("v1"), make_vm("v2")]
    placement = EnginePlacement("model", lambda: vms, lambda: 100_000)
    query = PlacementQuery("model", (), 1000, 10, 9000, is_question=True)
    answers = [placement.place(query) for _ in range(3)]
    waiting = sum(len(each.pending) for each in placement.loads.values())
    return answers, waiting + len(placement.sent)


def test_question_records_no_request():
    answers, counted = outcome(place_questions)
    assert {each.vm_id for each in answers} == {"v1"}
    assert counted == 0


async def place_before_and_after_home_change():
    """Place prompts at one home and then at another without any state."""
    vms = [make_vm(f"v{number}") for number in range(ENGINES)]
    chosen = []
    for _ in range(2):
        placement = EnginePlacement("model", lambda: vms, lambda: 597_751)
        for number in range(PROMPTS):
            shared = (PromptPart(f"p{number}", SHARED_TOKENS),)
            query = PlacementQuery("model", shared, OWN_TOKENS, 120, 8000)
            placed = placement.place(query)
            await anyio.sleep(0.05)
            placement.record_attempt(
                AttemptReport("model", placed.number, True, 300)
            )
            chosen.append(placed.vm_id)
    return chosen[:PROMPTS], chosen[PROMPTS:]


def test_new_home_keeps_shared_prompts_on_their_replicas():
    """If they moved, each would be prefilled again on another replica."""
    before, after = outcome(place_before_and_after_home_change)
    same = sum(a == b for a, b in zip(before, after, strict=True))
    assert same > 0.9 * PROMPTS
    assert len(set(before)) > ENGINES / 2
