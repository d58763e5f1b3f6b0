"""Find the prompt parts and requests on which replicas crash, and block them.

One such part or request ends a replica with each run, wherever it arrives, and
up to a full batch of other requests with it. crash_evidence weighs what is
known; docs/design/crashing-parts.md says why.
"""

from collections.abc import (
    Callable,
    Iterable,
    Iterator,
    Sequence,
)
from heapq import nlargest
from math import inf
from typing import NamedTuple

import anyio
from cachetools import LRUCache

from berylcart import events
from berylcart.clock import now_s
from berylcart.coordination.gateway.crash_evidence import (
    MIN_CRASHES,
    MIN_MOMENTS,
    Crash,
    Crashes,
    Evidence,
    Finding,
    beyond_one_request,
    choose_traits,
    count_moments,
    needed_evidence,
    unexplained_crashes,
)
from berylcart.coordination.gateway.crash_traits import (
    is_request_trait,
    is_valid_id,
)
from berylcart.state.errors import BerylcartError, Code, Ran
from berylcart.state.peer_messages import PartCrash, PartReport

MS_PER_S = 1000
# A crash counts once all daemons have reported their requests in it.
SETTLE_S = 1.0
DECIDE_PERIOD_S = 0.25
SUSPICION_S = 60.0
BLOCK_S = 600.0
# Bounds on memory and on messages. Parts and whole requests are bounded
# apart, so that the many requests in crashes don't displace parts.
MAX_PARTS = 512
MAX_REQUESTS = 512
MAX_BLOCKED = 64
MAX_CRASHES = 16
MAX_REPORTS = 24
MAX_ANSWERED = 4096
# With fewer crashes a trait is one of many, most of which are sound.
MIN_KEPT_CRASHES = 2


class Answers(NamedTuple):
    """Count the answers that began on a trait, with the time of the last."""

    total: int
    last_s: float


NO_ANSWERS = Answers(0, -inf)


class PartFaults:
    """Hold the evidence against parts and requests, and those blocked."""

    def __init__(self) -> None:
        self.known: dict[str, Evidence] = {}
        self.answers: LRUCache[str, Answers] = LRUCache(MAX_ANSWERED)
        self.request_answers: LRUCache[str, Answers] = LRUCache(MAX_ANSWERED)
        # Called when peers are to be told, when a part was blocked or is not
        # blocked any more, and for each refused request.
        self.on_update: Callable[[], None] = lambda: None
        self.on_blocked: Callable[[str], None] = lambda part_id: None
        self.on_forgotten: Callable[[str], None] = lambda part_id: None
        # Called when evidence that restarts must not erase has grown.
        self.on_suspected: Callable[[], None] = lambda: None
        self.on_refused: Callable[[str], None] = lambda part_id: None

    async def run(self) -> None:
        """Decide on settled crashes and forget old ones until cancelled."""
        while True:
            await anyio.sleep(DECIDE_PERIOD_S)
            if self.known:
                self.expire()
                self.decide("own")

    def record_crash(
        self,
        replica: str,
        traits: Sequence[str],
        request_id: str,
        sent_s: float = -inf,
    ) -> None:
        """Record a request whose answer had not begun in a crash.

        The request was sent to the replica at sent_s.
        """
        valid = [each for each in traits if is_valid_id(each)]
        if len(valid) < len(traits):
            events.warning(
                "part.id_ignored",
                request_id=request_id,
                ignored=len(traits) - len(valid),
            )
        events.warning(
            "part.crash",
            request_id=request_id,
            replica=replica,
            parts="+".join(valid),
            crashes="+".join(
                str(1 + len(self.crashes(each))) for each in valid
            ),
        )
        crash = Crash(now_s(), sent_s)
        for trait in valid:
            self.add(trait, {replica: crash}, traits.index(trait))
            if trait in self.known:
                self.known[trait] = self.known[trait]._replace(is_own=True)
        self.on_update()
        if any(len(self.crashes(each)) >= MIN_KEPT_CRASHES for each in valid):
            self.on_suspected()

    def record_answer(self, traits: Iterable[str]) -> None:
        """Record that an answer began, which clears the request's traits."""
        now = now_s()
        for trait in filter(is_valid_id, traits):
            answers = self.answers_of(trait)
            count = answers.get(trait, NO_ANSWERS).total + 1
            answers[trait] = Answers(count, now)
            evidence = self.known.get(trait)
            if evidence is not None:
                self.clear(trait, evidence._replace(begun_s=now))
                if evidence.crashes:
                    self.on_update()

    def answers_of(self, trait: str) -> LRUCache[str, Answers]:
        """Return the answers known on traits of the same kind."""
        return (
            self.request_answers if is_request_trait(trait) else self.answers
        )

    def crashes(self, trait: str) -> Crashes:
        """Return the crashes that count against a trait."""
        evidence = self.known.get(trait)
        return {} if evidence is None else evidence.crashes

    def add(self, trait: str, crashes: Crashes, depth: int) -> bool:
        """Add crashes to a trait's evidence; return whether any was new."""
        evidence = self.known.get(trait)
        if evidence is None:
            if not self.has_room(trait):
                return False
            answers = self.answers_of(trait).get(trait, NO_ANSWERS)
            evidence = Evidence({}, answers.last_s)
        new = {
            replica: crash
            for replica, crash in crashes.items()
            if replica not in evidence.crashes
            and crash.at_s > evidence.begun_s
        }
        if not new and trait in self.known:
            return False
        merged = sorted(
            {**evidence.crashes, **new}.items(), key=lambda item: item[1]
        )
        self.known[trait] = evidence._replace(
            crashes=dict(merged[-MAX_CRASHES:]),
            depth=max(depth, evidence.depth),
        )
        return bool(new)

    def has_room(self, trait: str) -> bool:
        """Return whether a further trait is kept; drop the oldest if full."""
        is_request = is_request_trait(trait)
        same_kind = [
            each for each in self.known if is_request_trait(each) is is_request
        ]
        limit = MAX_REQUESTS if is_request else MAX_PARTS
        return len(same_kind) < limit or self.make_room(same_kind)

    def make_room(self, traits: Iterable[str]) -> bool:
        """Drop the trait with the oldest evidence that is not blocked."""
        open_traits = [
            (self.known[trait].last_s, trait)
            for trait in traits
            if self.known[trait].blocked_s is None
        ]
        if not open_traits:
            return False
        del self.known[min(open_traits)[1]]
        return True

    def clear(self, part_id: str, evidence: Evidence) -> None:
        """Drop the crashes before the last answer that began on a part."""
        crashes = {
            replica: crash
            for replica, crash in evidence.crashes.items()
            if crash.at_s > evidence.begun_s
        }
        if evidence.blocked_s is not None and not crashes:
            events.warning("part.cleared", part=part_id)
            self.on_forgotten(part_id)
            evidence = evidence._replace(blocked_s=None, is_stored=False)
        self.known[part_id] = evidence._replace(crashes=crashes)

    def decide(self, source: str) -> None:
        """Block each trait that the evidence suffices against."""
        while True:
            findings = choose_traits(self.findings())
            if not findings or self.count_blocked() >= MAX_BLOCKED:
                return
            for finding in findings:
                self.block(finding, source)
            self.on_update()

    def block(self, finding: Finding, source: str) -> None:
        """Block a trait."""
        events.warning(
            "part.blocked",
            part=finding.trait,
            crashes=finding.crashes,
            moments=finding.moments,
            answers=finding.answers,
            source=source,
        )
        evidence = self.known[finding.trait]
        self.known[finding.trait] = evidence._replace(blocked_s=now_s())
        self.on_blocked(finding.trait)

    def findings(self) -> list[Finding]:
        """List the traits not blocked with the crashes that count."""
        settled_s = now_s() - SETTLE_S
        requests = [
            self.known[trait].crashes.keys()
            for trait in self.known
            if is_request_trait(trait)
        ]
        findings = []
        for trait, evidence in self.known.items():
            is_blocked = evidence.blocked_s is not None
            if is_blocked or len(evidence.crashes) < MIN_CRASHES:
                continue
            settled = {
                replica: crash
                for replica, crash in evidence.crashes.items()
                if crash.at_s <= settled_s
            }
            crashes = self.unexplained(trait, settled)
            if not is_request_trait(trait):
                crashes = beyond_one_request(crashes, requests)
            if crashes:
                findings.append(self.make_finding(trait, crashes))
        return findings

    def unexplained(self, trait: str, crashes: Crashes) -> Crashes:
        """Return the crashes of a trait that blocked ones do not explain."""
        is_request = is_request_trait(trait)
        blocked = (
            evidence.crashes.keys()
            for other, evidence in self.known.items()
            if evidence.blocked_s is not None
            and (is_request or not is_request_trait(other))
        )
        return unexplained_crashes(crashes, blocked, of_request=is_request)

    def make_finding(self, trait: str, crashes: Crashes) -> Finding:
        """Sum up the crashes that count against a trait."""
        evidence = self.known[trait]
        answers = self.answers_of(trait).get(trait, NO_ANSWERS).total
        has_begun = evidence.begun_s > -inf
        return Finding(
            trait,
            len(crashes),
            count_moments(
                crashes.values(), of_request=is_request_trait(trait)
            ),
            max(answers, int(has_begun)),
            evidence.depth,
            crashes.keys() if is_request_trait(trait) else frozenset(),
        )

    def count_blocked(self) -> int:
        """Count the blocked parts."""
        return sum(
            evidence.blocked_s is not None for evidence in self.known.values()
        )

    def check(self, traits: Iterable[str], ran: Ran = Ran.NO) -> None:
        """Raise PART_BLOCKED or REQUEST_BLOCKED if a trait is refused."""
        if not self.known:
            return
        for trait, wait_s in self.refused(traits):
            self.on_refused(trait)
            if is_request_trait(trait):
                code, what = Code.REQUEST_BLOCKED, f"this request, {trait}"
            else:
                code, what = Code.PART_BLOCKED, f"prompt part {trait}"
            raise BerylcartError(
                code,
                f"replicas crashed on {what}",
                ran=ran,
                retry_after_ms=int(wait_s * MS_PER_S),
            )

    def is_refused(self, traits: Iterable[str]) -> bool:
        """Return whether requests with these traits are refused now."""
        return any(self.refused(traits))

    def refused(self, traits: Iterable[str]) -> Iterator[tuple[str, float]]:
        """Yield the refused traits with the seconds until they are not."""
        now = now_s()
        for trait in traits:
            evidence = self.known.get(trait)
            if evidence is None:
                continue
            if evidence.blocked_s is not None:
                yield trait, max(0.0, evidence.blocked_s + BLOCK_S - now)
            elif self.is_held(trait, evidence):
                yield trait, evidence.last_s + SETTLE_S + DECIDE_PERIOD_S - now

    def is_held(self, trait: str, evidence: Evidence) -> bool:
        """Return whether a request waits until its last crash has settled.

        It was in enough crashes to be blocked. One that is sent meanwhile
        could only crash a further replica.
        """
        settled_s = evidence.last_s + SETTLE_S + DECIDE_PERIOD_S
        if not is_request_trait(trait) or now_s() >= settled_s:
            return False
        crashes = self.unexplained(trait, evidence.crashes)
        finding = self.make_finding(trait, crashes)
        needed = needed_evidence(finding._replace(answers=0))
        return (
            finding.moments
            >= (MIN_MOMENTS if finding.answers else needed.moments)
            and finding.crashes >= needed.crashes
        )

    def reports(self, limit: int = MAX_REPORTS) -> tuple[PartReport, ...]:
        """List what peers are to know, the strongest evidence first."""
        if not self.known:
            return ()
        now = now_s()
        strongest = nlargest(
            limit,
            self.known.items(),
            key=lambda item: (
                item[1].blocked_s is not None,
                len(item[1].crashes),
                item[1].is_own,
                item[1].last_s,
            ),
        )
        return tuple(
            make_report(trait, evidence, now) for trait, evidence in strongest
        )

    def suspects(self) -> list[PartReport]:
        """List the traits whose crashes restarts must not erase."""
        now = now_s()
        return [
            make_report(trait, evidence, now)
            for trait, evidence in self.known.items()
            if evidence.blocked_s is None
            and len(evidence.crashes) >= MIN_KEPT_CRASHES
        ]

    def is_own(self, trait: str) -> bool:
        """Return whether this daemon saw one of the crashes of a trait."""
        evidence = self.known.get(trait)
        return evidence is not None and evidence.is_own

    def is_suspected(self, trait: str) -> bool:
        """Return whether crashes count against a trait that isn't blocked."""
        evidence = self.known.get(trait)
        return evidence is not None and (
            evidence.blocked_s is None and bool(evidence.crashes)
        )

    def lift(self, trait: str) -> bool:
        """Clear a trait at an operator's request; return whether it was known.

        The other daemons hear of it as of an answer that began.
        """
        evidence = self.known.get(trait)
        if evidence is None:
            return False
        events.warning("part.lifted", part=trait)
        self.clear(trait, evidence._replace(begun_s=now_s()))
        self.on_update()
        return True

    def merge(self, source: str, reports: Sequence[PartReport]) -> None:
        """Merge what a peer or the store knows."""
        is_new = False
        now = now_s()
        for report in reports:
            if is_valid_id(report.part_id):
                is_new |= self.merge_report(source, report, now)
            else:
                events.warning("part.id_ignored", source=source, ignored=1)
        if is_new:
            self.decide(source)
            self.on_update()

    def merge_report(
        self, source: str, report: PartReport, now: float
    ) -> bool:
        """Merge one report; return whether peers are to be told."""
        is_blocked = report.blocked_age_ms is not None
        keep_s = BLOCK_S if is_blocked else SUSPICION_S
        crashes = {
            crash.replica: Crash(
                now - crash.age_ms / MS_PER_S,
                -inf
                if crash.sent_age_ms is None
                else now - crash.sent_age_ms / MS_PER_S,
            )
            for crash in report.crashes[:MAX_CRASHES]
            if crash.age_ms < keep_s * MS_PER_S
        }
        if report.part_id not in self.known:
            # A daemon that saw another crash on the request will tell of both.
            is_request = is_request_trait(report.part_id)
            needed = MIN_KEPT_CRASHES if is_request else 1
            if len(crashes) < needed and not is_blocked:
                return False
        is_new = self.add(report.part_id, crashes, report.depth)
        evidence = self.known.get(report.part_id)
        if evidence is None:
            return False
        begun_s = time_of(report.begun_age_ms, now)
        if begun_s is not None and begun_s > evidence.begun_s:
            self.clear(report.part_id, evidence._replace(begun_s=begun_s))
        return self.merge_block(source, report, now) or is_new

    def merge_block(self, source: str, report: PartReport, now: float) -> bool:
        """Adopt a block unless an answer has begun on the part since."""
        evidence = self.known[report.part_id]
        if report.is_stored and not evidence.is_stored:
            evidence = evidence._replace(is_stored=True)
            self.known[report.part_id] = evidence
        blocked_s = time_of(report.blocked_age_ms, now)
        if blocked_s is None or now - blocked_s >= BLOCK_S:
            return False
        if evidence.blocked_s is not None:
            # Ages of reports only grow, so that a block is not prolonged.
            earlier_s = min(evidence.blocked_s, blocked_s)
            self.known[report.part_id] = evidence._replace(blocked_s=earlier_s)
            return False
        is_cleared = evidence.begun_s > blocked_s
        if is_cleared or self.count_blocked() >= MAX_BLOCKED:
            return False
        events.warning(
            "part.blocked",
            part=report.part_id,
            crashes=len(evidence.crashes),
            source=source,
        )
        self.known[report.part_id] = evidence._replace(blocked_s=blocked_s)
        self.on_blocked(report.part_id)
        return True

    def forget_stored(self) -> None:
        """Record that the store may have lost the blocks it held."""
        for part_id, evidence in self.known.items():
            self.known[part_id] = evidence._replace(is_stored=False)

    def mark_stored(self, part_id: str) -> None:
        """Record that the platform's store holds a block."""
        evidence = self.known.get(part_id)
        if evidence is not None:
            self.known[part_id] = evidence._replace(is_stored=True)

    def unstored(self) -> list[tuple[str, Evidence]]:
        """List the blocked parts that the store is not known to hold."""
        return [
            (part_id, evidence)
            for part_id, evidence in self.known.items()
            if evidence.blocked_s is not None and not evidence.is_stored
        ]

    def expire(self) -> None:
        """Forget old suspicions and blocks."""
        now = now_s()
        for part_id, evidence in list(self.known.items()):
            if evidence.blocked_s is None:
                is_old = now - max(evidence.last_s, evidence.begun_s) > (
                    SUSPICION_S
                )
            else:
                is_old = now - evidence.blocked_s >= BLOCK_S
            if not is_old:
                continue
            del self.known[part_id]
            if evidence.blocked_s is not None:
                events.warning("part.forgotten", part=part_id)
                self.on_forgotten(part_id)


def make_report(trait: str, evidence: Evidence, now: float) -> PartReport:
    """Write down the evidence against a trait with ages for times."""
    return PartReport(
        trait,
        tuple(
            PartCrash(
                replica,
                int((now - crash.at_s) * MS_PER_S),
                age_ms(crash.sent_s, now),
            )
            for replica, crash in evidence.crashes.items()
        ),
        age_ms(evidence.begun_s, now),
        age_ms(evidence.blocked_s, now),
        evidence.is_stored,
        evidence.depth,
    )


def age_ms(at_s: float | None, now: float) -> int | None:
    """Return a time's age, None if it is unknown.

    >>> age_ms(2.0, 5.0), age_ms(None, 5.0), age_ms(-inf, 5.0)
    (3000, None, None)
    """
    if at_s is None or at_s == -inf:
        return None
    return int((now - at_s) * MS_PER_S)


def time_of(age: int | None, now: float) -> float | None:
    """Return the time of an age in ms, None if it is unknown.

    >>> time_of(3000, 5.0), time_of(None, 5.0)
    (2.0, None)
    """
    return None if age is None else now - age / MS_PER_S
