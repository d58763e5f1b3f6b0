"""Prove the configuration fold safe, and each of its guards needed.

A daemon follows a log of RECORDS publications in any number of steps, with
expiry, a snapshot (a checkpoint or a peer's state), restarts and repeated
publish_ids, and may run a program that does not know the newer format. The
records are arbitrary but fixed in number: the proof is bounded in records
and unbounded in steps. The reference is the plain fold of all records.

Safe means that the running daemon's version never falls, and that a daemon
which has folded up to an offset holds the reference's version and text there:
so any two daemons at one offset agree.
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
    """Name one transition: when it may happen and what it changes."""

    name: str
    condition: Expr
    changes: Values


def sorts() -> dict[str, z3.SortRef]:
    """List the variables; d is the daemon and c the snapshot."""
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
    """Describe the empty log, with arbitrary records to come."""
    rules = [v["start"] == 0, v["end"] == 0, z3.Not(v["d_fell"])]
    rules += [v["c_pos"] == NO_START, v["d_pos"] == NO_START]
    for number in IDS:
        rules += [v[f"id{number}"] >= 0, v[f"id{number}"] <= number]
        rules += [v[f"base{number}"] >= NO_BASE]
        rules += [v[f"base{number}"] < RECORDS]
    for owner in OWNERS:
        rules += [v[f"{owner}_ver"] == 0, v[f"{owner}_txt"] == 0]
        rules += [z3.Not(v[f"{owner}_seen{number}"]) for number in IDS]
    return z3.And(rules)


def copy_state(v: Values, source: str, target: str) -> Values:
    """Copy what one owner knows to another."""
    names = ["ver", "txt", *(f"seen{number}" for number in IDS)]
    return {f"{target}_{name}": v[f"{source}_{name}"] for name in names}


def judge(v: Values, owner: str, number: int) -> Values:
    """Fold one record by what an owner knows."""
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
    """Fold all records below an offset, in order and from the first."""
    state = {**v, **forget("r")}
    for number in range(offset):
        state.update(judge(state, "r", number))
    return state


def forget(owner: str) -> Values:
    """Empty what an owner knows."""
    cleared: Values = {
        f"{owner}_{name}": z3.IntVal(0) for name in ("ver", "txt")
    }
    for number in IDS:
        cleared[f"{owner}_seen{number}"] = z3.BoolVal(False)
    return cleared


def log_steps(v: Values) -> Iterator[Step]:
    """Append and expire records."""
    yield Step("append", v["end"] < RECORDS, {"end": v["end"] + 1})
    yield Step("expire", v["start"] < v["end"], {"start": v["start"] + 1})


def fold_step(v: Values, number: int, dropped: str) -> Step:
    """Let the daemon fold one retained record."""
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
    """Let the daemon take over the snapshot."""
    condition = [v["c_pos"] >= 0]
    if dropped != "never lower":
        condition.append(v["c_pos"] > v["d_pos"])
    changes = {**copy_state(v, "c", "d"), "d_pos": v["c_pos"]}
    if dropped == "verdicts kept":
        for number in IDS:
            changes[f"d_seen{number}"] = z3.BoolVal(False)
    return Step("take the snapshot", z3.And(condition), changes)


def start_steps(v: Values, dropped: str) -> Iterator[Step]:
    """Replace the daemon by a new one, and let it begin on the log."""
    cleared = {**forget("d"), "d_pos": z3.IntVal(NO_START)}
    yield Step(RESTART, z3.BoolVal(True), cleared)
    condition = [v["d_pos"] == NO_START]
    if dropped != "no gap":
        condition.append(v["start"] == 0)
    yield Step("begin", z3.And(condition), {"d_pos": v["start"]})


def snapshot_steps(v: Values, dropped: str) -> Iterator[Step]:
    """Write a snapshot of this daemon, or of one that has read all."""
    as_of = v["end"] if dropped == "true as-of" else v["d_pos"]
    changes = {**copy_state(v, "d", "c"), "c_pos": as_of}
    yield Step("write a snapshot", v["d_pos"] >= 0, changes)
    for offset in range(RECORDS + 1):
        truth = reference(v, offset)
        changes = {**copy_state(truth, "r", "c"), "c_pos": z3.IntVal(offset)}
        yield Step("get a peer's", v["end"] == offset, changes)


def steps(v: Values, dropped: str) -> Iterator[Step]:
    """List every transition, with one guard dropped."""
    yield from log_steps(v)
    yield from start_steps(v, dropped)
    for number in IDS:
        yield fold_step(v, number, dropped)
    yield take_step(v, dropped)
    yield from snapshot_steps(v, dropped)


def unsafe(v: Values) -> Expr:
    """Describe a version that fell, or one that differs from the fold's."""
    wrong = [v["d_fell"]]
    for offset in range(RECORDS + 1):
        truth = reference(v, offset)
        differs = z3.Or(
            v["d_ver"] != truth["r_ver"], v["d_txt"] != truth["r_txt"]
        )
        wrong.append(z3.And(v["d_pos"] == offset, differs))
    return z3.Or(wrong)


def apply(v: Values, step: Step) -> Values:
    """Give every variable's next value, noting a version that falls."""
    after = {**v, **step.changes}
    if step.name != RESTART:
        falls = after["d_ver"] < v["d_ver"]
        after["d_fell"] = z3.Or(v["d_fell"], falls)
    return after


def check(dropped: str) -> z3.CheckSatResult:
    """Ask Spacer whether an unsafe state can be reached."""
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
    """Unroll the steps to the shortest way to an unsafe state."""
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
    """Name the variables after a number of steps."""
    return {
        name: z3.Const(f"{name}@{depth}", sort)
        for name, sort in sorts().items()
    }


def transition(v: Values, after: Values, dropped: str, depth: int) -> Expr:
    """Relate two states by one of the steps, whose number is kept."""
    choice = z3.Int(f"step@{depth}")
    ways = []
    for number, step in enumerate(steps(v, dropped)):
        changed = apply(v, step)
        equal = [after[name] == changed[name] for name in v]
        ways.append(z3.And(choice == number, step.condition, *equal))
    return z3.Or(ways)


def describe(model: z3.ModelRef, states: list[Values]) -> list[str]:
    """Write the records, then each step with what it led to."""
    first = states[0]

    def show(v: Values, names: tuple[str, ...]) -> str:
        values = {name: model.eval(v[name], True) for name in names}
        return " ".join(f"{name}={value}" for name, value in values.items())

    fields = tuple(f"{key}{n}" for n in IDS for key in ("id", "base", "new"))
    lines = [f"records: {show(first, fields)}"]
    names = [step.name for step in steps(first, "")]
    for depth, state in enumerate(states[1:]):
        taken = model.eval(z3.Int(f"step@{depth}")).as_long()
        lines.append(f"{names[taken]}: {show(state, SHOWN)}")
    return lines


def main() -> int:
    """Check the whole system, then with each guard dropped."""
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
    """Write one line."""
    sys.stdout.write(f"{line}\n")
    sys.stdout.flush()


if __name__ == "__main__":
    sys.exit(main())
