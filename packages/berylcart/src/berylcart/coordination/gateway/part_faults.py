"""Find the prompt parts on which replicas crash, and block them.

One such part ends a replica with each request, wherever it arrives, and up to
a full batch of other requests with it. docs/design/crashing-parts.md weighs
the evidence.
"""

from collections.abc import Callable, Iterable, Mapping, Sequence, Set
from math import inf
from typing import NamedTuple

import anyio
from cachetools import LRUCache

from berylcart import events
from berylcart.clock import now_s
from berylcart.state.errors import BerylcartError, Code, Ran
from berylcart.state.peer_messages import PartCrash, PartReport
from berylcart.state.relay_messages import Prompt

MS_PER_S = 1000
# Crashes closer together may have a common cause outside of the requests.
MOMENT_S = 0.25
# Moments needed against a part on which no answer is known to have begun, and
# against one that was sound before.
MIN_MOMENTS = 3
MIN_MOMENTS_SOUND = 5
# So many crashes need one moment less where no answer is known.
MANY_CRASHES = 5
# Moments without a blocked part that show an earlier part to be the cause.
MIN_FURTHER_MOMENTS = 2
# Of two parts in the same crashes, one with fewer than this share of the
# other's answers is blocked. Parts that are closer need another crash.
MAX_ANSWER_SHARE = 0.5
# A crash counts once all daemons have reported their requests in it.
SETTLE_S = 1.0
DECIDE_PERIOD_S = 0.25
SUSPICION_S = 60.0
BLOCK_S = 600.0
# Bounds on memory and on messages.
MAX_PARTS = 512
MAX_BLOCKED = 64
MAX_CRASHES = 16
MAX_REPORTS = 24
MAX_ANSWERED = 4096
MAX_ID_CHARS = 64


class Evidence(NamedTuple):
    """Hold what is known of one part; times are in seconds.

    crashes maps the replicas that crashed on it, since an answer last began,
    to the times of their crashes. depth is the part's position in prompts;
    is_own is set if this daemon saw one of the crashes.
    """

    crashes: Mapping[str, float]
    begun_s: float = -inf
    blocked_s: float | None = None
    is_stored: bool = False
    depth: int = 0
    is_own: bool = False

    @property
    def last_s(self) -> float:
        """Return the time of the last crash, -inf without any."""
        return max(self.crashes.values(), default=-inf)


class Answers(NamedTuple):
    """Count the answers that began on a part, with the time of the last."""

    total: int
    last_s: float


NO_ANSWERS = Answers(0, -inf)


class Finding(NamedTuple):
    """Hold a part whose crashes nothing else explains.

    answers counts the answers known to have begun on it.
    """

    part_id: str
    crashes: int
    moments: int
    answers: int
    depth: int = 0


def count_moments(times_s: Iterable[float]) -> int:
    """Count times, those within MOMENT_S of the last one counted as one.

    >>> count_moments([4.0, 4.1, 4.2, 7.0])
    2
    """
    count = 0
    counted_s = -inf
    for time_s in sorted(times_s):
        if time_s - counted_s >= MOMENT_S:
            count += 1
            counted_s = time_s
    return count


def choose_part(findings: Iterable[Finding]) -> Finding | None:
    """Return the part to block, None while the evidence does not suffice.

    The part that is in most crashes is blocked. If several are in the same
    number, it is the one with far fewer answers, or else the last one in the
    prompt, on which the fewest requests depend: if another one is the cause,
    further crashes show it.

    >>> part, common = Finding("a", 3, 3, 0), Finding("b", 3, 3, 9)
    >>> choose_part([common, part]).part_id
    'a'
    >>> choose_part([part, Finding("c", 3, 3, 0)]) is None
    True
    >>> choose_part([Finding("a", 4, 4, 0), Finding("c", 4, 4, 0, 1)]).part_id
    'c'
    >>> choose_part([common]) is None
    True
    """
    order = sorted(
        findings, key=lambda each: (-each.crashes, each.answers, -each.depth)
    )
    if not order:
        return None
    first = order[0]
    has_rival = any(
        each.crashes == first.crashes
        and first.answers >= MAX_ANSWER_SHARE * each.answers
        for each in order[1:]
    )
    needed = MIN_MOMENTS_SOUND
    if not first.answers:
        needed = MIN_MOMENTS - (first.crashes >= MANY_CRASHES)
    if first.moments < needed or first.crashes < needed + has_rival:
        return None
    return first


def unexplained_times_s(
    crashes: Mapping[str, float], blocked: Iterable[Set[str]]
) -> list[float]:
    """Return the times of crashes that blocked parts do not explain.

    A part that was in all crashes of a blocked one, and at MIN_FURTHER_MOMENTS
    besides, explains more than that one.

    >>> crashes = {"v1": 1.0, "v2": 2.0, "v3": 3.0, "v4": 4.0}
    >>> unexplained_times_s(crashes, [{"v1", "v2", "v3"}])
    [4.0]
    >>> unexplained_times_s(crashes, [{"v1", "v2"}])
    [1.0, 2.0, 3.0, 4.0]
    """
    sets = list(blocked)
    explained = set().union(*sets)
    further = [at_s for each, at_s in crashes.items() if each not in explained]
    if count_moments(further) < MIN_FURTHER_MOMENTS:
        return further
    explained = set().union(*(each for each in sets if each - crashes.keys()))
    return [at_s for each, at_s in crashes.items() if each not in explained]


def is_valid_id(part_id: str) -> bool:
    """Return whether a part's id is kept.

    >>> is_valid_id("5c1e07a2"), is_valid_id(""), is_valid_id("a" * 65)
    (True, False, False)
    """
    return 0 < len(part_id) <= MAX_ID_CHARS and part_id.isprintable()


def shared_part_ids(prompt: Prompt) -> tuple[str, ...]:
    """Return the ids of all parts that other requests may have.

    >>> from berylcart.state.relay_messages import PromptPart
    >>> shared_part_ids(Prompt(parts=(PromptPart("a", 9), PromptPart("b", 1))))
    ('a',)
    """
    return tuple(dict.fromkeys(part.part_id for part in prompt.parts[:-1]))


class PartFaults:
    """Hold the evidence against prompt parts and the parts blocked."""

    def __init__(self) -> None:
        self.known: dict[str, Evidence] = {}
        self.answers: LRUCache[str, Answers] = LRUCache(MAX_ANSWERED)
        # Called when peers are to be told, when a part was blocked or is not
        # blocked any more, and for each refused request.
        self.on_update: Callable[[], None] = lambda: None
        self.on_blocked: Callable[[str], None] = lambda part_id: None
        self.on_forgotten: Callable[[str], None] = lambda part_id: None
        self.on_refused: Callable[[str], None] = lambda part_id: None

    async def run(self) -> None:
        """Decide on settled crashes and forget old ones until cancelled."""
        while True:
            await anyio.sleep(DECIDE_PERIOD_S)
            if self.known:
                self.expire()
                self.decide("own")

    def record_crash(
        self, replica: str, prompt: Prompt, request_id: str
    ) -> None:
        """Record a request whose answer had not begun in a crash."""
        part_ids = shared_part_ids(prompt)
        valid = [each for each in part_ids if is_valid_id(each)]
        if len(valid) < len(part_ids):
            events.warning(
                "part.id_ignored",
                request_id=request_id,
                ignored=len(part_ids) - len(valid),
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
        now = now_s()
        for part_id in valid:
            self.add(part_id, {replica: now}, part_ids.index(part_id))
            if part_id in self.known:
                self.known[part_id] = self.known[part_id]._replace(is_own=True)
        self.decide("own")
        self.on_update()

    def record_answer(self, prompt: Prompt) -> None:
        """Record that an answer began, which clears the request's parts."""
        now = now_s()
        for part_id in filter(is_valid_id, shared_part_ids(prompt)):
            count = self.answers.get(part_id, NO_ANSWERS).total + 1
            self.answers[part_id] = Answers(count, now)
            evidence = self.known.get(part_id)
            if evidence is not None:
                self.clear(part_id, evidence._replace(begun_s=now))
                if evidence.crashes:
                    self.on_update()

    def crashes(self, part_id: str) -> Mapping[str, float]:
        """Return the crashes that count against a part."""
        evidence = self.known.get(part_id)
        return {} if evidence is None else evidence.crashes

    def add(
        self, part_id: str, crashes: Mapping[str, float], depth: int
    ) -> bool:
        """Add crashes to a part's evidence; return whether any was new."""
        evidence = self.known.get(part_id)
        if evidence is None:
            if len(self.known) >= MAX_PARTS and not self.make_room():
                return False
            answers = self.answers.get(part_id, NO_ANSWERS)
            evidence = Evidence({}, answers.last_s)
        new = {
            replica: at_s
            for replica, at_s in crashes.items()
            if replica not in evidence.crashes and at_s > evidence.begun_s
        }
        if not new and part_id in self.known:
            return False
        merged = sorted(
            {**evidence.crashes, **new}.items(), key=lambda item: item[1]
        )
        self.known[part_id] = evidence._replace(
            crashes=dict(merged[-MAX_CRASHES:]),
            depth=max(depth, evidence.depth),
        )
        return bool(new)

    def make_room(self) -> bool:
        """Drop the part with the oldest evidence that is not blocked."""
        open_parts = [
            (evidence.last_s, part_id)
            for part_id, evidence in self.known.items()
            if evidence.blocked_s is None
        ]
        if not open_parts:
            return False
        del self.known[min(open_parts)[1]]
        return True

    def clear(self, part_id: str, evidence: Evidence) -> None:
        """Drop the crashes before the last answer that began on a part."""
        crashes = {
            replica: at_s
            for replica, at_s in evidence.crashes.items()
            if at_s > evidence.begun_s
        }
        if evidence.blocked_s is not None and not crashes:
            events.warning("part.cleared", part=part_id)
            self.on_forgotten(part_id)
            evidence = evidence._replace(blocked_s=None, is_stored=False)
        self.known[part_id] = evidence._replace(crashes=crashes)

    def decide(self, source: str) -> None:
        """Block each part that the evidence suffices against."""
        while True:
            finding = choose_part(self.findings())
            if finding is None or self.count_blocked() >= MAX_BLOCKED:
                return
            events.warning(
                "part.blocked",
                part=finding.part_id,
                crashes=finding.crashes,
                moments=finding.moments,
                answers=finding.answers,
                source=source,
            )
            self.known[finding.part_id] = self.known[finding.part_id]._replace(
                blocked_s=now_s()
            )
            self.on_blocked(finding.part_id)
            self.on_update()

    def findings(self) -> list[Finding]:
        """List the parts not blocked with the crashes that count."""
        blocked = [
            evidence.crashes.keys()
            for evidence in self.known.values()
            if evidence.blocked_s is not None
        ]
        findings = []
        settled_s = now_s() - SETTLE_S
        for part_id, evidence in self.known.items():
            if evidence.blocked_s is not None:
                continue
            crashes = {
                replica: at_s
                for replica, at_s in evidence.crashes.items()
                if at_s <= settled_s
            }
            times_s = unexplained_times_s(crashes, blocked)
            if times_s:
                answers = self.answers.get(part_id, NO_ANSWERS).total
                has_begun = evidence.begun_s > -inf
                findings.append(
                    Finding(
                        part_id,
                        len(times_s),
                        count_moments(times_s),
                        max(answers, int(has_begun)),
                        evidence.depth,
                    )
                )
        return findings

    def count_blocked(self) -> int:
        """Count the blocked parts."""
        return sum(
            evidence.blocked_s is not None for evidence in self.known.values()
        )

    def check(self, prompt: Prompt, ran: Ran = Ran.NO) -> None:
        """Raise PART_BLOCKED if a prompt has a blocked part."""
        for part_id in shared_part_ids(prompt):
            evidence = self.known.get(part_id)
            if evidence is None or evidence.blocked_s is None:
                continue
            left_s = max(0.0, evidence.blocked_s + BLOCK_S - now_s())
            self.on_refused(part_id)
            raise BerylcartError(
                Code.PART_BLOCKED,
                f"replicas crashed on prompt part {part_id}",
                ran=ran,
                retry_after_ms=int(left_s * MS_PER_S),
            )

    def is_blocked(self, prompt: Prompt) -> bool:
        """Return whether a prompt has a blocked part."""
        return any(
            part_id in self.known and self.known[part_id].blocked_s is not None
            for part_id in shared_part_ids(prompt)
        )

    def reports(self) -> tuple[PartReport, ...]:
        """List what peers are to know, the strongest evidence first."""
        if not self.known:
            return ()
        now = now_s()
        order = sorted(
            self.known.items(),
            key=lambda item: (
                item[1].blocked_s is not None,
                len(item[1].crashes),
                item[1].last_s,
            ),
            reverse=True,
        )
        return tuple(
            PartReport(
                part_id,
                tuple(
                    PartCrash(replica, int((now - at_s) * MS_PER_S))
                    for replica, at_s in evidence.crashes.items()
                ),
                age_ms(evidence.begun_s, now),
                age_ms(evidence.blocked_s, now),
                evidence.is_stored,
                evidence.depth,
            )
            for part_id, evidence in order[:MAX_REPORTS]
        )

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
            crash.replica: now - crash.age_ms / MS_PER_S
            for crash in report.crashes[:MAX_CRASHES]
            if crash.age_ms < keep_s * MS_PER_S
        }
        if report.part_id not in self.known and not (crashes or is_blocked):
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
