"""Prove what fencing by log offsets gives, and what it takes for the rest.

Two daemons claim one pool's duty again and again; each claim's offset is
its fencing number and each holder has the wish of its day. An order leaves
after the duty was read again and may land at any later time, so a daemon
may stand still in between. One engine checks the number, one ignores it.

Proved of the engine that checks: its state never goes back to an older
holder's. Proved of both: once the newest holder has verified while no older
order is on its way, the state is the newest holder's. No older order leaves
after the newest claim was read.
"""

import sys
from collections.abc import Collection
from typing import Any

import z3
from spacer import State, Step, System, check

DAEMONS = (1, 2)
GUARDS = (
    "engine-checks-number",
    "number-from-log-order",
    "read-again-before-order",
    "newest-holder-repairs",
)


def build(dropped: Collection[str]) -> System:
    """Build the system with some guards dropped."""
    variables: dict[str, Any] = {
        "newest": z3.IntSort(),
        "checking": z3.IntSort(),
        "ignoring": z3.IntSort(),
        "went_back": z3.BoolSort(),
        "late_leave": z3.BoolSort(),
        "verified": z3.BoolSort(),
    }
    initial: State = {
        "newest": z3.IntVal(0),
        "checking": z3.IntVal(0),
        "ignoring": z3.IntVal(0),
        "went_back": z3.BoolVal(False),
        "late_leave": z3.BoolVal(False),
        "verified": z3.BoolVal(False),
    }
    steps: dict[str, Step] = {}
    for n in DAEMONS:
        for name, sort, value in (
            ("duty", z3.IntSort(), z3.IntVal(0)),
            ("known", z3.IntSort(), z3.IntVal(0)),
            ("order", z3.IntSort(), z3.IntVal(0)),
        ):
            variables[f"{name}{n}"] = sort
            initial[f"{name}{n}"] = value
        steps.update(daemon_steps(n, dropped))
    return System(variables, initial, steps, is_bad)


def is_bad(s: State) -> Any:
    """Name the states that must not be reached."""
    quiet = z3.And(*[s[f"order{n}"] == 0 for n in DAEMONS])
    wrong = z3.Or(s["ignoring"] != s["newest"], s["checking"] != s["newest"])
    return z3.Or(
        s["went_back"],
        s["late_leave"],
        z3.And(s["verified"], quiet, wrong),
    )


def daemon_steps(n: int, dropped: Collection[str]) -> dict[str, Step]:
    """List one daemon's steps."""
    return {
        f"claim-{n}": claim(n, dropped),
        f"read-{n}": read(n),
        f"order-{n}": order(n, dropped),
        f"land-checking-{n}": land_checking(n, dropped),
        f"land-ignoring-{n}": land_ignoring(n),
        f"lose-order-{n}": lose_order(n),
        f"verify-{n}": verify(n, dropped),
    }


def claim(n: int, dropped: Collection[str]) -> Step:
    """Append a duty claim; its offset is above every earlier one."""

    def step(s: State) -> tuple[Any, State]:
        number = s["newest"] + 1
        if "number-from-log-order" in dropped:
            number = s[f"known{n}"] + 1
        return z3.BoolVal(True), {
            "newest": number,
            f"duty{n}": number,
            f"known{n}": number,
            "verified": z3.BoolVal(False),
        }

    return step


def read(n: int) -> Step:
    """Read the log to its end."""

    def step(s: State) -> tuple[Any, State]:
        return z3.BoolVal(True), {f"known{n}": s["newest"]}

    return step


def order(n: int, dropped: Collection[str]) -> Step:
    """Read the duty again, and send an order if it is still held."""

    def step(s: State) -> tuple[Any, State]:
        duty = s[f"duty{n}"]
        held = duty == s["newest"]
        if "read-again-before-order" in dropped:
            held = duty == s[f"known{n}"]
        guard = z3.And(duty > 0, held, s[f"order{n}"] == 0)
        return guard, {
            f"order{n}": duty,
            f"known{n}": s["newest"],
            "late_leave": z3.Or(s["late_leave"], duty != s["newest"]),
        }

    return step


def land_checking(n: int, dropped: Collection[str]) -> Step:
    """Reach the engine that checks the number, perhaps more than once."""

    def step(s: State) -> tuple[Any, State]:
        number = s[f"order{n}"]
        taken = number >= s["checking"]
        if "engine-checks-number" in dropped:
            taken = z3.BoolVal(True)
        return number > 0, {
            "checking": z3.If(taken, number, s["checking"]),
            "went_back": z3.Or(
                s["went_back"], z3.And(taken, number < s["checking"])
            ),
        }

    return step


def land_ignoring(n: int) -> Step:
    """Reach the engine that ignores the number; it needs a new look."""

    def step(s: State) -> tuple[Any, State]:
        number = s[f"order{n}"]
        return number > 0, {
            "ignoring": number,
            "verified": z3.And(s["verified"], number == s["newest"]),
        }

    return step


def lose_order(n: int) -> Step:
    """Let an order go no further."""

    def step(s: State) -> tuple[Any, State]:
        return s[f"order{n}"] > 0, {f"order{n}": z3.IntVal(0)}

    return step


def verify(n: int, dropped: Collection[str]) -> Step:
    """Read every engine as the newest holder and order what differs."""

    def step(s: State) -> tuple[Any, State]:
        duty = s[f"duty{n}"]
        guard = z3.And(duty > 0, duty == s["newest"])
        changes: State = {"verified": z3.BoolVal(True)}
        if "newest-holder-repairs" not in dropped:
            changes["ignoring"] = duty
            changes["checking"] = duty
        return guard, changes

    return step


if __name__ == "__main__":
    sys.exit(check("duty", build, GUARDS))
