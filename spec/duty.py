"""Verify the fencing of a pool's duty by log offsets.

Two daemons claim the duty for one pool any number of times. The offset of
each claim is its fencing token, and each holder orders the desired state that
it knows. An order is sent after reading the duty again and may arrive at any
later time, since a daemon may pause in between. One engine checks the token,
the other ignores it.

Verified for the engine that checks tokens: its state never returns to that of
an older holder. Verified for both engines: once the newest holder has verified
the pool while no older order is in flight, their state is that of the newest
holder. No order of an older holder is sent after it has read the newest claim.
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
    """Build the system without the guards in dropped."""
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
    """Return the formula for the states that must be unreachable."""
    no_orders_in_flight = z3.And(*[s[f"order{n}"] == 0 for n in DAEMONS])
    is_outdated = z3.Or(
        s["ignoring"] != s["newest"], s["checking"] != s["newest"]
    )
    return z3.Or(
        s["went_back"],
        s["late_leave"],
        z3.And(s["verified"], no_orders_in_flight, is_outdated),
    )


def daemon_steps(n: int, dropped: Collection[str]) -> dict[str, Step]:
    """List one daemon's steps."""
    return {
        f"claim-{n}": claim(n, dropped),
        f"read-{n}": read(n),
        f"order-{n}": order(n, dropped),
        f"land-checking-{n}": deliver_checking(n, dropped),
        f"land-ignoring-{n}": deliver_ignoring(n),
        f"lose-order-{n}": lose_order(n),
        f"verify-{n}": verify(n, dropped),
    }


def claim(n: int, dropped: Collection[str]) -> Step:
    """Append a duty claim, whose offset exceeds all earlier ones."""

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
    """Read the duty again and, if it is still held, send an order."""

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


def deliver_checking(n: int, dropped: Collection[str]) -> Step:
    """Deliver an order, possibly twice, to the engine that checks tokens."""

    def step(s: State) -> tuple[Any, State]:
        number = s[f"order{n}"]
        is_accepted = number >= s["checking"]
        if "engine-checks-number" in dropped:
            is_accepted = z3.BoolVal(True)
        return number > 0, {
            "checking": z3.If(is_accepted, number, s["checking"]),
            "went_back": z3.Or(
                s["went_back"], z3.And(is_accepted, number < s["checking"])
            ),
        }

    return step


def deliver_ignoring(n: int) -> Step:
    """Deliver an order to the engine that ignores tokens.

    The pool must be verified again, unless the order is the newest holder's.
    """

    def step(s: State) -> tuple[Any, State]:
        number = s[f"order{n}"]
        return number > 0, {
            "ignoring": number,
            "verified": z3.And(s["verified"], number == s["newest"]),
        }

    return step


def lose_order(n: int) -> Step:
    """Lose an order in flight."""

    def step(s: State) -> tuple[Any, State]:
        return s[f"order{n}"] > 0, {f"order{n}": z3.IntVal(0)}

    return step


def verify(n: int, dropped: Collection[str]) -> Step:
    """Read all engines as the newest holder and correct their state."""

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
