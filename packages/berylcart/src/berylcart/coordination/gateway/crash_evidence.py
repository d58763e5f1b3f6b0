"""Weigh which trait of the requests in crashes of replicas explains them."""

from collections.abc import Iterable, Mapping, Sequence, Set
from math import inf
from typing import NamedTuple

from berylcart.coordination.gateway.crash_traits import is_request_trait

# Crashes closer together may have a common cause outside of the requests.
MOMENT_S = 0.25
# Moments needed against a trait on which no answer is known to have begun, and
# against one that was sound before.
MIN_MOMENTS = 3
MIN_MOMENTS_SOUND = 5
# So many crashes need one moment less where no answer is known.
MANY_CRASHES = 5
# Crashes without which no trait is blocked.
MIN_CRASHES = 3
# Moments needed against a whole request without a known answer. At one moment,
# a lost rack may have ended several replicas that had it.
MIN_REQUEST_MOMENTS = 2
# Moments without a blocked trait that show another one to be the cause.
MIN_FURTHER_MOMENTS = 2
# Of two traits in the same crashes, one with fewer than this share of the
# other's answers is blocked. Traits that are closer need another crash.
MAX_ANSWER_SHARE = 0.5


class Crash(NamedTuple):
    """Tell when a replica crashed, and when it was sent the request.

    Both are in seconds; sent_s is -inf if it is unknown.
    """

    at_s: float
    sent_s: float = -inf


Crashes = Mapping[str, Crash]


class Evidence(NamedTuple):
    """Hold what is known of one trait; times are in seconds.

    crashes maps the replicas that crashed on it, since an answer last began,
    to their crashes. depth is the trait's position among those of requests;
    is_own is set if this daemon saw one of the crashes.
    """

    crashes: Crashes
    begun_s: float = -inf
    blocked_s: float | None = None
    is_stored: bool = False
    depth: int = 0
    is_own: bool = False

    @property
    def last_s(self) -> float:
        """Return the time of the last crash, -inf without any."""
        return max((each.at_s for each in self.crashes.values()), default=-inf)


class Finding(NamedTuple):
    """Hold a trait whose crashes nothing else explains.

    answers counts the answers known to have begun on it. replicas names those
    that crashed on a whole request.
    """

    trait: str
    crashes: int
    moments: int
    answers: int
    depth: int = 0
    replicas: Set[str] = frozenset()

    def is_rival(self, other: "Finding") -> bool:
        """Return whether the crashes don't tell this trait from another."""
        is_apart = self.replicas and not self.replicas & other.replicas
        return (
            self.crashes == other.crashes
            and self.answers >= MAX_ANSWER_SHARE * other.answers
            and not is_apart
        )


def count_moments(crashes: Iterable[Crash], *, of_request: bool) -> int:
    """Count crashes, those that may have one cause outside counted once.

    These are crashes within MOMENT_S of the last one counted. A crash on a
    request that was sent after the last one counts by itself, since the
    request came to a replica that was still sound.

    >>> crashes = [Crash(4.0), Crash(4.1, sent_s=4.05), Crash(7.0)]
    >>> count_moments(crashes, of_request=False)
    2
    >>> count_moments(crashes, of_request=True)
    3
    """
    count = 0
    counted_s = -inf
    for crash in sorted(crashes):
        is_later = of_request and crash.sent_s > counted_s > -inf
        if is_later or crash.at_s - counted_s >= MOMENT_S:
            count += 1
            counted_s = crash.at_s
    return count


def choose_traits(findings: Iterable[Finding]) -> Sequence[Finding]:
    """Return the traits to block, none while the evidence does not suffice.

    A whole request comes first, since its block refuses no other request.
    Requests without an answer that share all crashes are blocked together.

    >>> part = Finding("part", 4, 4, 0)
    >>> request = Finding("request:1", 3, 3, 0, 1)
    >>> [each.trait for each in choose_traits([part, request])]
    ['request:1']
    >>> [each.trait for each in choose_traits([part])]
    ['part']
    >>> rivals = [Finding(f"request:{name}", 4, 4, 0) for name in "12"]
    >>> [each.trait for each in choose_traits(rivals)]
    ['request:1', 'request:2']
    """
    requests: list[Finding] = []
    parts: list[Finding] = []
    for finding in findings:
        kind = requests if is_request_trait(finding.trait) else parts
        kind.append(finding)
    request = choose_finding(requests)
    if request is not None:
        return [
            each
            for each in requests
            if each is request
            or (request.is_rival(each) and each.answers == request.answers)
        ]
    part = choose_finding(parts)
    return [] if part is None else [part]


class Needed(NamedTuple):
    """Hold the crashes and moments needed to block a trait."""

    crashes: int
    moments: int


def needed_evidence(finding: Finding) -> Needed:
    """Return the crashes and moments needed to block a trait.

    >>> needed_evidence(Finding("a", 5, 2, answers=0))
    Needed(crashes=2, moments=2)
    >>> needed_evidence(Finding("request:1", 3, 2, answers=0))
    Needed(crashes=3, moments=2)
    """
    if finding.answers:
        return Needed(MIN_MOMENTS_SOUND, MIN_MOMENTS_SOUND)
    if is_request_trait(finding.trait):
        return Needed(MIN_CRASHES, MIN_REQUEST_MOMENTS)
    moments = MIN_MOMENTS - (finding.crashes >= MANY_CRASHES)
    return Needed(moments, moments)


def choose_finding(findings: Iterable[Finding]) -> Finding | None:
    """Return the finding of one kind to act on, None if none suffices.

    The trait that is in most crashes is blocked. If several are in the same
    number, it is the one with far fewer answers, or else the last one in the
    prompt, on which the fewest requests depend: if another one is the cause,
    further crashes show it.

    >>> part, common = Finding("a", 3, 3, 0), Finding("b", 3, 3, 9)
    >>> choose_finding([common, part]).trait
    'a'
    >>> choose_finding([part, Finding("c", 3, 3, 0)]) is None
    True
    >>> choose_finding(
    ...     [Finding("a", 4, 4, 0), Finding("c", 4, 4, 0, 1)]
    ... ).trait
    'c'
    >>> choose_finding([common]) is None
    True
    """
    order = sorted(
        findings, key=lambda each: (-each.crashes, each.answers, -each.depth)
    )
    if not order:
        return None
    first = order[0]
    has_rival = any(first.is_rival(each) for each in order[1:])
    needed = needed_evidence(first)
    has_moments = first.moments >= needed.moments
    has_crashes = first.crashes >= needed.crashes + has_rival
    return first if has_moments and has_crashes else None


def unexplained_crashes(
    crashes: Crashes, blocked: Iterable[Set[str]], *, of_request: bool = False
) -> Crashes:
    """Return the crashes that blocked traits do not explain.

    A trait that was in all crashes of a blocked one, and at
    MIN_FURTHER_MOMENTS besides, explains more than that one.

    >>> crashes = {name: Crash(at_s) for name, at_s in
    ...            [("v1", 1.0), ("v2", 2.0), ("v3", 3.0), ("v4", 4.0)]}
    >>> list(unexplained_crashes(crashes, [{"v1", "v2", "v3"}]))
    ['v4']
    >>> list(unexplained_crashes(crashes, [{"v1", "v2"}]))
    ['v1', 'v2', 'v3', 'v4']
    """
    sets = list(blocked)
    further = without(crashes, set().union(*sets))
    moments = count_moments(further.values(), of_request=of_request)
    if moments < MIN_FURTHER_MOMENTS:
        return further
    others = (each for each in sets if each - crashes.keys())
    return without(crashes, set().union(*others))


def beyond_one_request(
    crashes: Crashes, requests: Iterable[Set[str]]
) -> Crashes:
    """Return a part's crashes, unless a single request explains them.

    requests holds the crashes of each whole request. One of them explains the
    crashes of its parts until others with the part were in crashes at
    MIN_FURTHER_MOMENTS, or at one if there were MANY_CRASHES.

    >>> crashes = {"v1": Crash(1.0), "v2": Crash(2.0), "v3": Crash(3.0)}
    >>> list(beyond_one_request(crashes, [{"v1", "v2"}, {"v3"}]))
    ['v3']
    >>> list(beyond_one_request(crashes, [{"v1"}, {"v2"}, {"v3"}]))
    ['v1', 'v2', 'v3']
    """
    most = max(
        (each & crashes.keys() for each in requests), key=len, default=set()
    )
    further = without(crashes, most)
    needed = MIN_FURTHER_MOMENTS - (len(crashes) >= MANY_CRASHES)
    moments = count_moments(further.values(), of_request=False)
    return crashes if not most or moments >= needed else further


def without(crashes: Crashes, replicas: Set[str]) -> Crashes:
    """Return the crashes of all other replicas."""
    return {
        replica: crash
        for replica, crash in crashes.items()
        if replica not in replicas
    }
