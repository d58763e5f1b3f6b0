"""Verify that a dated key runs at most once and "did not run" is true.

Three daemons send one key any number of times; two suffice for all
counterexamples. A claim record reaches the log at some time after its append,
or never. Its verdict depends only on the log, and the daemon learns it by
reading the record back. The log may lose any records at any time. A daemon may
pause between any two steps. Log time is reduced to whether the key is expired.

The number of daemons may be given as an argument.
"""

import functools
import sys
from collections.abc import Collection
from typing import Any

import z3
from spacer import State, Step, System, check

DAEMON_COUNT = 3
TRACE_DAEMON_COUNT = 2

IDLE, WAITING, GRANTED, RAN, ABANDONED = range(5)
UNJUDGED, FIRST_CLAIM, DUPLICATE, EXPIRED, RELEASED = range(5)

GUARDS = (
    "first-claim-wins",
    "read-back-before-run",
    "age-of-the-record",
    "age-judged-after-append",
    "coverage-of-the-reader",
    "given-up-never-runs",
    "release-only-if-not-run",
    "release-only-by-holder",
    "gone-claimant-not-rerun",
)


def build(
    dropped: Collection[str], daemon_count: int = DAEMON_COUNT
) -> System:
    """Build the system without the guards in dropped."""
    if dropped:
        daemon_count = TRACE_DAEMON_COUNT
    variables: dict[str, Any] = {
        "aged": z3.BoolSort(),
        "holder": z3.IntSort(),
        "ran": z3.BoolSort(),
        "ran_twice": z3.BoolSort(),
        "lost": z3.BoolSort(),
        "lied": z3.BoolSort(),
    }
    initial: State = {
        "aged": z3.BoolVal(False),
        "holder": z3.IntVal(0),
        "ran": z3.BoolVal(False),
        "ran_twice": z3.BoolVal(False),
        "lost": z3.BoolVal(False),
        "lied": z3.BoolVal(False),
    }
    steps: dict[str, Step] = {
        "key-grows-too-old": lambda _: (
            z3.BoolVal(True),
            {"aged": z3.BoolVal(True)},
        ),
        "log-loses-records": lambda _: (
            z3.BoolVal(True),
            {"lost": z3.BoolVal(True)},
        ),
        "ledgers-forget": lambda s: (
            s["aged"],
            {"holder": z3.IntVal(0)},
        ),
    }
    for n in range(1, daemon_count + 1):
        add_daemon(n, variables, initial)
        steps.update(daemon_steps(n, dropped))
    return System(
        variables, initial, steps, lambda s: z3.Or(s["ran_twice"], s["lied"])
    )


def add_daemon(n: int, variables: dict[str, Any], initial: State) -> None:
    """Add one daemon's variables."""
    variables[f"phase{n}"] = z3.IntSort()
    variables[f"flying{n}"] = z3.BoolSort()
    variables[f"verdict{n}"] = z3.IntSort()
    variables[f"seen{n}"] = z3.BoolSort()
    initial[f"phase{n}"] = z3.IntVal(IDLE)
    initial[f"flying{n}"] = z3.BoolVal(False)
    initial[f"verdict{n}"] = z3.IntVal(UNJUDGED)
    initial[f"seen{n}"] = z3.BoolVal(True)


def daemon_steps(n: int, dropped: Collection[str]) -> dict[str, Step]:
    """List one daemon's steps."""
    return {
        f"append-{n}": append(n, dropped),
        f"land-{n}": reach_log(n, dropped),
        f"read-back-{n}": read_back(n, dropped),
        f"give-up-{n}": give_up(n),
        f"run-{n}": run(n, dropped),
        f"refused-{n}": receive_refusal(n),
        f"release-{n}": release(n, dropped),
        f"lose-sight-{n}": lose_coverage(n),
        f"follow-gone-{n}": follow_unreachable(n, dropped),
    }


def append(n: int, dropped: Collection[str]) -> Step:
    """Append a claim with a new id, once the previous one is settled."""

    def step(s: State) -> tuple[Any, State]:
        phase, verdict = s[f"phase{n}"], s[f"verdict{n}"]
        settled = z3.Or(
            phase == IDLE, z3.And(phase == ABANDONED, verdict != UNJUDGED)
        )
        guard = z3.And(settled, verdict != FIRST_CLAIM)
        if "age-judged-after-append" in dropped:
            guard = z3.And(guard, z3.Not(s["aged"]))
        return guard, {
            f"phase{n}": z3.IntVal(WAITING),
            f"flying{n}": z3.BoolVal(True),
            f"verdict{n}": z3.IntVal(UNJUDGED),
        }

    return step


def reach_log(n: int, dropped: Collection[str]) -> Step:
    """Add a claim to the log, which determines its verdict."""

    def step(s: State) -> tuple[Any, State]:
        is_free = s["holder"] == 0
        if "first-claim-wins" in dropped:
            is_free = z3.BoolVal(True)
        age_guards = {"age-of-the-record", "age-judged-after-append"}
        is_expired = s["aged"]
        if age_guards & set(dropped):
            is_expired = z3.BoolVal(False)
        verdict = z3.If(
            is_expired, EXPIRED, z3.If(is_free, FIRST_CLAIM, DUPLICATE)
        )
        becomes_holder = z3.And(z3.Not(is_expired), is_free)
        return s[f"flying{n}"], {
            f"flying{n}": z3.BoolVal(False),
            f"verdict{n}": verdict,
            "holder": z3.If(becomes_holder, n, s["holder"]),
        }

    return step


def read_back(n: int, dropped: Collection[str]) -> Step:
    """Learn the verdict of a claim.

    Without the coverage guard, a reader that missed records takes its own
    claim as the first.
    """

    def step(s: State) -> tuple[Any, State]:
        verdict = s[f"verdict{n}"]
        guard = z3.And(s[f"phase{n}"] == WAITING, verdict != UNJUDGED)
        granted = verdict == FIRST_CLAIM
        if "coverage-of-the-reader" in dropped:
            wrongly_granted = z3.And(
                z3.Not(s[f"seen{n}"]), verdict == DUPLICATE
            )
            granted = z3.Or(granted, wrongly_granted)
        else:
            granted = z3.And(granted, s[f"seen{n}"])
        return guard, {f"phase{n}": z3.If(granted, GRANTED, ABANDONED)}

    return step


def give_up(n: int) -> Step:
    """Stop waiting and report that the request did not run."""

    def step(s: State) -> tuple[Any, State]:
        return s[f"phase{n}"] == WAITING, {f"phase{n}": z3.IntVal(ABANDONED)}

    return step


def run(n: int, dropped: Collection[str]) -> Step:
    """Call the upstream; wrong if "did not run" was already reported."""

    def step(s: State) -> tuple[Any, State]:
        phase = s[f"phase{n}"]
        allowed = [phase == GRANTED]
        if "read-back-before-run" in dropped:
            allowed.append(z3.And(phase == WAITING, z3.Not(s[f"flying{n}"])))
        if "given-up-never-runs" in dropped:
            allowed.append(
                z3.And(phase == ABANDONED, s[f"verdict{n}"] == FIRST_CLAIM)
            )
        return z3.Or(*allowed), {
            f"phase{n}": z3.IntVal(RAN),
            "ran": z3.BoolVal(True),
            "ran_twice": z3.Or(s["ran_twice"], s["ran"]),
            "lied": z3.Or(s["lied"], phase == ABANDONED),
        }

    return step


def receive_refusal(n: int) -> Step:
    """Receive the upstream's reply that the request did not run."""

    def step(s: State) -> tuple[Any, State]:
        return s[f"phase{n}"] == GRANTED, {f"phase{n}": z3.IntVal(ABANDONED)}

    return step


def release(n: int, dropped: Collection[str]) -> Step:
    """Release the key in the log."""

    def step(s: State) -> tuple[Any, State]:
        phases = [s[f"phase{n}"] == ABANDONED]
        if "release-only-if-not-run" in dropped:
            phases.append(s[f"phase{n}"] == RAN)
        verdicts = [s[f"verdict{n}"] == FIRST_CLAIM]
        if "release-only-by-holder" in dropped:
            verdicts.append(s[f"verdict{n}"] == DUPLICATE)
        is_holder = s["holder"] == n
        if "release-only-by-holder" in dropped:
            is_holder = z3.BoolVal(True)
        return z3.And(z3.Or(*phases), z3.Or(*verdicts)), {
            f"verdict{n}": z3.IntVal(RELEASED),
            "holder": z3.If(is_holder, 0, s["holder"]),
        }

    return step


def lose_coverage(n: int) -> Step:
    """Continue reading after a gap, or restart with nothing read."""

    def step(s: State) -> tuple[Any, State]:
        return s["lost"], {f"seen{n}": z3.BoolVal(False)}

    return step


def follow_unreachable(n: int, dropped: Collection[str]) -> Step:
    """Follow an unreachable claimant; its request may have run."""

    def step(s: State) -> tuple[Any, State]:
        guard = z3.And(
            s[f"phase{n}"] == ABANDONED, s[f"verdict{n}"] == DUPLICATE
        )
        if "gone-claimant-not-rerun" in dropped:
            return guard, {f"phase{n}": z3.IntVal(GRANTED)}
        return guard, {f"phase{n}": z3.IntVal(IDLE)}

    return step


if __name__ == "__main__":
    count = int(sys.argv[1]) if len(sys.argv) > 1 else DAEMON_COUNT
    sys.exit(
        check(
            f"claims of {count} daemons",
            functools.partial(build, daemon_count=count),
            GUARDS,
        )
    )
