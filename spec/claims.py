"""Prove that a dated key runs at most once and "did not run" is true.

Three daemons send one key again and again; two suffice to break it. A claim
record lands in the log at some time after its append, or never; its verdict
follows from the log alone and is learnt when the daemon reads it back. The
log may lose any records at any time. A daemon may stand still between any
two steps. Log time matters only as whether the key has grown too old.

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

IDLE, WAITING, MAY_RUN, RAN, GIVEN_UP = range(5)
UNJUDGED, FIRST, LATER, TOO_OLD, RELEASED = range(5)

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
    """Build the system with some guards dropped."""
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
        f"land-{n}": land(n, dropped),
        f"read-back-{n}": read_back(n, dropped),
        f"give-up-{n}": give_up(n),
        f"run-{n}": run(n, dropped),
        f"refused-{n}": refused(n),
        f"release-{n}": release(n, dropped),
        f"lose-sight-{n}": lose_sight(n),
        f"follow-gone-{n}": follow_gone(n, dropped),
    }


def append(n: int, dropped: Collection[str]) -> Step:
    """Send a claim under a new id, once the last one is settled."""

    def step(s: State) -> tuple[Any, State]:
        phase, verdict = s[f"phase{n}"], s[f"verdict{n}"]
        settled = z3.Or(
            phase == IDLE, z3.And(phase == GIVEN_UP, verdict != UNJUDGED)
        )
        guard = z3.And(settled, verdict != FIRST)
        if "age-judged-after-append" in dropped:
            guard = z3.And(guard, z3.Not(s["aged"]))
        return guard, {
            f"phase{n}": z3.IntVal(WAITING),
            f"flying{n}": z3.BoolVal(True),
            f"verdict{n}": z3.IntVal(UNJUDGED),
        }

    return step


def land(n: int, dropped: Collection[str]) -> Step:
    """Place a claim in the log, which settles its verdict for all."""

    def step(s: State) -> tuple[Any, State]:
        is_free = s["holder"] == 0
        if "first-claim-wins" in dropped:
            is_free = z3.BoolVal(True)
        unaged = {"age-of-the-record", "age-judged-after-append"}
        too_old = s["aged"]
        if unaged & set(dropped):
            too_old = z3.BoolVal(False)
        verdict = z3.If(too_old, TOO_OLD, z3.If(is_free, FIRST, LATER))
        takes = z3.And(z3.Not(too_old), is_free)
        return s[f"flying{n}"], {
            f"flying{n}": z3.BoolVal(False),
            f"verdict{n}": verdict,
            "holder": z3.If(takes, n, s["holder"]),
        }

    return step


def read_back(n: int, dropped: Collection[str]) -> Step:
    """Learn the verdict; a late reader takes its own claim as the first."""

    def step(s: State) -> tuple[Any, State]:
        verdict = s[f"verdict{n}"]
        guard = z3.And(s[f"phase{n}"] == WAITING, verdict != UNJUDGED)
        granted = verdict == FIRST
        if "coverage-of-the-reader" in dropped:
            believed = z3.And(z3.Not(s[f"seen{n}"]), verdict == LATER)
            granted = z3.Or(granted, believed)
        else:
            granted = z3.And(granted, s[f"seen{n}"])
        return guard, {f"phase{n}": z3.If(granted, MAY_RUN, GIVEN_UP)}

    return step


def give_up(n: int) -> Step:
    """Stop waiting and say that it did not run."""

    def step(s: State) -> tuple[Any, State]:
        return s[f"phase{n}"] == WAITING, {f"phase{n}": z3.IntVal(GIVEN_UP)}

    return step


def run(n: int, dropped: Collection[str]) -> Step:
    """Call the upstream; a sender told otherwise was lied to."""

    def step(s: State) -> tuple[Any, State]:
        phase = s[f"phase{n}"]
        may = [phase == MAY_RUN]
        if "read-back-before-run" in dropped:
            may.append(z3.And(phase == WAITING, z3.Not(s[f"flying{n}"])))
        if "given-up-never-runs" in dropped:
            may.append(z3.And(phase == GIVEN_UP, s[f"verdict{n}"] == FIRST))
        return z3.Or(*may), {
            f"phase{n}": z3.IntVal(RAN),
            "ran": z3.BoolVal(True),
            "ran_twice": z3.Or(s["ran_twice"], s["ran"]),
            "lied": z3.Or(s["lied"], phase == GIVEN_UP),
        }

    return step


def refused(n: int) -> Step:
    """Be told by the upstream that it did not run."""

    def step(s: State) -> tuple[Any, State]:
        return s[f"phase{n}"] == MAY_RUN, {f"phase{n}": z3.IntVal(GIVEN_UP)}

    return step


def release(n: int, dropped: Collection[str]) -> Step:
    """Free the key in the log."""

    def step(s: State) -> tuple[Any, State]:
        phases = [s[f"phase{n}"] == GIVEN_UP]
        if "release-only-if-not-run" in dropped:
            phases.append(s[f"phase{n}"] == RAN)
        verdicts = [s[f"verdict{n}"] == FIRST]
        if "release-only-by-holder" in dropped:
            verdicts.append(s[f"verdict{n}"] == LATER)
        is_holder = s["holder"] == n
        if "release-only-by-holder" in dropped:
            is_holder = z3.BoolVal(True)
        return z3.And(z3.Or(*phases), z3.Or(*verdicts)), {
            f"verdict{n}": z3.IntVal(RELEASED),
            "holder": z3.If(is_holder, 0, s["holder"]),
        }

    return step


def lose_sight(n: int) -> Step:
    """Read on after a gap, or restart as a reader with nothing read."""

    def step(s: State) -> tuple[Any, State]:
        return s["lost"], {f"seen{n}": z3.BoolVal(False)}

    return step


def follow_gone(n: int, dropped: Collection[str]) -> Step:
    """Follow a claimant that is gone; it may have run, so nothing runs."""

    def step(s: State) -> tuple[Any, State]:
        guard = z3.And(s[f"phase{n}"] == GIVEN_UP, s[f"verdict{n}"] == LATER)
        if "gone-claimant-not-rerun" in dropped:
            return guard, {f"phase{n}": z3.IntVal(MAY_RUN)}
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
