"""Verify that the configuration fold is safe and each guard necessary.

A daemon follows a log of RECORDS publications in any number of steps, with
expiry, a snapshot (a checkpoint or a peer's state), restarts and repeated
publish_ids. It may run a program that does not know the newer format. The
records are arbitrary but fixed in number: the proof is bounded in records and
unbounded in steps. The reference is the plain fold of all records.

Safe means that the version of a running daemon never decreases, and that a
daemon which has folded up to an offset has the reference's version and text at
that offset. Hence any two daemons at the same offset agree.
"""

import sys
from collections.abc import Iterator
from typing import NamedTuple

import z3

RECORDS = 2
MAX_STEPS = 12
IDS = range(RECORDS)
OWNERS = ("d", "c")
NO_BASE = -1
NO_START = -1
RESTART = "restart"
SHOWN = ("start", "end", "c_pos", "c_ver", "d_pos", "d_ver", "d_txt")

GUARDS = {
    "in order": "a record is folded at its own offset alone",
    "no gap": "a fold begins at offset 0 or from a checkpoint that joins",
    "never lower": "a state is taken only if it is as of a later offset",
    "verdicts kept": "a checkpoint carries the publish_ids already judged",
    "true as-of": "a checkpoint states the offset that its state is as of",
    "format known": "a program stops at a format that it does not know",
}

Expr = z3.ExprRef
Values = dict[str, Expr]


class Step(NamedTuple):
    """Define one transition by its name, condition and changes."""

    name: str
    condition: Expr
    changes: Values


def sorts() -> dict[str, z3.SortRef]:
    """Return the variables' sorts; d is the daemon, c the snapshot."""
    names: dict[str, z3.SortRef] = {}
    for number in IDS:
        names[f"id{number}"] = z3.IntSort()
        names[f"base{number}"] = z3.IntSort()
        names[f"new{number}"] = z3.BoolSort()
    for name in ("start", "end", "d_pos", "c_pos"):
        names[name] = z3.IntSort()
    for owner in OWNERS:
        names[f"{owner}_ver"] = z3.IntSort()
        names[f"{owner}_txt"] = z3.IntSort()
        for number in IDS:
            names[f"{owner}_seen{number}"] = z3.BoolSort()
    names["d_old"] = z3.BoolSort()
    names["d_fell"] = z3.BoolSort()
    return names


def initial(v: Values) -> Expr:
    """Return the formula for an empty log with arbitrary future records."""
    constraints = [v["start"] == 0, v["end"] == 0, z3.Not(v["d_fell"])]
    constraints += [v["c_pos"] == NO_START, v["d_pos"] == NO_START]
    for number in IDS:
        constraints += [v[f"id{number}"] >= 0, v[f"id{number}"] <= number]
        constraints += [v[f"base{number}"] >= NO_BASE]
        constraints += [v[f"base{number}"] < RECORDS]
    for owner in OWNERS:
        constraints += [v[f"{owner}_ver"] == 0, v[f"{owner}_txt"] == 0]
        constraints += [z3.Not(v[f"{owner}_seen{number}"]) for number in IDS]
    return z3.And(constraints)


def copy_state(v: Values, source: str, target: str) -> Values:
    """Return the changes that copy one owner's state to another."""
    names = ["ver", "txt", *(f"seen{number}" for number in IDS)]
    return {f"{target}_{name}": v[f"{source}_{name}"] for name in names}


def judge(v: Values, owner: str, number: int) -> Values:
    """Return the changes of an owner's state from folding one record."""
    ident, base = v[f"id{number}"], v[f"base{number}"]
    version, text = v[f"{owner}_ver"], v[f"{owner}_txt"]
    was_seen = z3.Or([z3.And(ident == n, v[f"{owner}_seen{n}"]) for n in IDS])
    fits = z3.Or(base == NO_BASE, base == version)
    accepts = z3.And(z3.Not(was_seen), fits)
    changes = {
        f"{owner}_ver": z3.If(accepts, version + 1, version),
        f"{owner}_txt": z3.If(accepts, ident + 1, text),
    }
    for n in IDS:
        seen = v[f"{owner}_seen{n}"]
        changes[f"{owner}_seen{n}"] = z3.Or(seen, ident == n)
    return changes


def reference(v: Values, offset: int) -> Values:
    """Return the state after folding all records below an offset."""
    state = {**v, **reset_state("r")}
    for number in range(offset):
        state.update(judge(state, "r", number))
    return state


def reset_state(owner: str) -> Values:
    """Return the changes that reset an owner's state."""
    cleared: Values = {
        f"{owner}_{name}": z3.IntVal(0) for name in ("ver", "txt")
    }
    for number in IDS:
        cleared[f"{owner}_seen{number}"] = z3.BoolVal(False)
    return cleared


def log_steps(v: Values) -> Iterator[Step]:
    """List the steps of the log: append and expire a record."""
    yield Step("append", v["end"] < RECORDS, {"end": v["end"] + 1})
    yield Step("expire", v["start"] < v["end"], {"start": v["start"] + 1})


def fold_step(v: Values, number: int, dropped: str) -> Step:
    """Return the step in which the daemon folds one retained record."""
    is_unknown = z3.And(v["d_old"], v[f"new{number}"])
    condition = [v["d_pos"] >= 0, v["start"] <= number, number < v["end"]]
    if dropped != "in order":
        condition.append(v["d_pos"] == number)
    changes = {**judge(v, "d", number), "d_pos": z3.IntVal(number + 1)}
    if dropped == "format known":
        for name in ("d_ver", "d_txt"):
            changes[name] = z3.If(is_unknown, v[name], changes[name])
    else:
        condition.append(z3.Not(is_unknown))
    return Step(f"fold {number}", z3.And(condition), changes)


def take_step(v: Values, dropped: str) -> Step:
    """Return the step in which the daemon adopts the snapshot."""
    condition = [v["c_pos"] >= 0]
    if dropped != "never lower":
        condition.append(v["c_pos"] > v["d_pos"])
    changes = {**copy_state(v, "c", "d"), "d_pos": v["c_pos"]}
    if dropped == "verdicts kept":
        for number in IDS:
            changes[f"d_seen{number}"] = z3.BoolVal(False)
    return Step("take the snapshot", z3.And(condition), changes)


def start_steps(v: Values, dropped: str) -> Iterator[Step]:
    """List the steps that restart the daemon and begin its fold."""
    cleared = {**reset_state("d"), "d_pos": z3.IntVal(NO_START)}
    yield Step(RESTART, z3.BoolVal(True), cleared)
    condition = [v["d_pos"] == NO_START]
    if dropped != "no gap":
        condition.append(v["start"] == 0)
    yield Step("begin", z3.And(condition), {"d_pos": v["start"]})


def snapshot_steps(v: Values, dropped: str) -> Iterator[Step]:
    """List the steps that take a snapshot of the daemon or of a peer.

    A peer's snapshot is that of a daemon that has read the whole log.
    """
    as_of = v["end"] if dropped == "true as-of" else v["d_pos"]
    changes = {**copy_state(v, "d", "c"), "c_pos": as_of}
    yield Step("write a snapshot", v["d_pos"] >= 0, changes)
    for offset in range(RECORDS + 1):
        expected = reference(v, offset)
        changes = {
            **copy_state(expected, "r", "c"),
            "c_pos": z3.IntVal(offset),
        }
        yield Step("get a peer's", v["end"] == offset, changes)


def steps(v: Values, dropped: str) -> Iterator[Step]:
    """List all transitions, without the guard in dropped."""
    yield from log_steps(v)
    yield from start_steps(v, dropped)
    for number in IDS:
        yield fold_step(v, number, dropped)
    yield take_step(v, dropped)
    yield from snapshot_steps(v, dropped)


def unsafe(v: Values) -> Expr:
    """Return the formula for unsafe states.

    A state is unsafe if the version has decreased, or if the version or text
    differs from the reference.
    """
    violations = [v["d_fell"]]
    for offset in range(RECORDS + 1):
        expected = reference(v, offset)
        differs = z3.Or(
            v["d_ver"] != expected["r_ver"], v["d_txt"] != expected["r_txt"]
        )
        violations.append(z3.And(v["d_pos"] == offset, differs))
    return z3.Or(violations)


def apply(v: Values, step: Step) -> Values:
    """Return each variable's next value, recording a lower version."""
    after = {**v, **step.changes}
    if step.name != RESTART:
        falls = after["d_ver"] < v["d_ver"]
        after["d_fell"] = z3.Or(v["d_fell"], falls)
    return after


def check(dropped: str) -> z3.CheckSatResult:
    """Query Spacer whether an unsafe state is reachable."""
    names = sorts()
    v = {name: z3.Const(name, sort) for name, sort in names.items()}
    reach = z3.Function("reach", *names.values(), z3.BoolSort())
    bad = z3.Function("bad", z3.BoolSort())
    solver = z3.Fixedpoint()
    solver.set(engine="spacer")
    solver.register_relation(reach, bad)
    solver.declare_var(*v.values())
    here = list(v.values())
    solver.rule(reach(*here), initial(v))
    for step in steps(v, dropped):
        solver.rule(
            reach(*apply(v, step).values()), [reach(*here), step.condition]
        )
    solver.rule(bad(), [reach(*here), unsafe(v)])
    return solver.query(bad())


def find_trace(dropped: str) -> list[str]:
    """Find a shortest trace to an unsafe state within MAX_STEPS."""
    solver = z3.Solver()
    states = [state_at(0)]
    solver.add(initial(states[0]))
    for depth in range(MAX_STEPS):
        if solver.check(unsafe(states[-1])) == z3.sat:
            return describe(solver.model(), states)
        states.append(state_at(depth + 1))
        solver.add(transition(states[-2], states[-1], dropped, depth))
    return []


def state_at(depth: int) -> Values:
    """Create the constants for the state after depth steps."""
    return {
        name: z3.Const(f"{name}@{depth}", sort)
        for name, sort in sorts().items()
    }


def transition(v: Values, after: Values, dropped: str, depth: int) -> Expr:
    """Return the formula that some step, recorded by number, is taken."""
    choice = z3.Int(f"step@{depth}")
    alternatives = []
    for number, step in enumerate(steps(v, dropped)):
        changed = apply(v, step)
        equal = [after[name] == changed[name] for name in v]
        alternatives.append(z3.And(choice == number, step.condition, *equal))
    return z3.Or(alternatives)


def describe(model: z3.ModelRef, states: list[Values]) -> list[str]:
    """Format the records, then each step with its resulting state."""
    first = states[0]

    def format_values(v: Values, names: tuple[str, ...]) -> str:
        values = {name: model.eval(v[name], True) for name in names}
        return " ".join(f"{name}={value}" for name, value in values.items())

    fields = tuple(f"{key}{n}" for n in IDS for key in ("id", "base", "new"))
    lines = [f"records: {format_values(first, fields)}"]
    names = [step.name for step in steps(first, "")]
    for depth, state in enumerate(states[1:]):
        taken = model.eval(z3.Int(f"step@{depth}")).as_long()
        lines.append(f"{names[taken]}: {format_values(state, SHOWN)}")
    return lines


def main() -> int:
    """Check the complete system, then without each guard."""
    result = check("")
    failures = int(result != z3.unsat)
    write(f"config_fold: all guards: {result}, expected unsat")
    for guard, meaning in GUARDS.items():
        result = check(guard)
        trace = find_trace(guard) if result == z3.sat else []
        failures += not trace
        write(f"config_fold: without {guard}: {result}, expected sat")
        write(f"    dropped: {meaning}")
        for line in trace:
            write(f"    {line}")
    return int(failures > 0)


def write(line: str) -> None:
    """Write one line to stdout."""
    sys.stdout.write(f"{line}\n")
    sys.stdout.flush()


if __name__ == "__main__":
    sys.exit(main())
